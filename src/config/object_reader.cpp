#include "config/object_reader.hpp"

#include <algorithm>
#include <limits>

namespace bamboohoist {

using json = nlohmann::json;

object_reader::object_reader(const json_document& document, const json& node, std::string path)
    : document_(document), node_(node), path_(std::move(path))
{
    if (!node_.is_object())
    {
        const std::string where = path_.empty() ? "the document" : path_;
        fail(document_.kind(), where + " (line " + std::to_string(document_.line_of(path_)) +
                                   "): expected an object, got " + node_.type_name());
        good_ = false;
    }
}

void object_reader::read(std::string_view key, std::string& value)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_string())
    {
        expect(key, "a string", *field);
        return;
    }
    value = field->get<std::string>();
}

void object_reader::read(std::string_view key, bool& value)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_boolean())
    {
        expect(key, "true or false", *field);
        return;
    }
    value = field->get<bool>();
}

void object_reader::read(std::string_view key, std::uint32_t& value, std::uint32_t least)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    const bool fits = field->is_number_unsigned() && field->get<std::uint64_t>() >= least &&
                      field->get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (!fits)
    {
        expect(key, "a whole number of at least " + std::to_string(least), *field);
        return;
    }
    value = field->get<std::uint32_t>();
}

void object_reader::read(std::string_view key, std::uint64_t& value)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_number_unsigned())
    {
        expect(key, "a whole number of at least 0", *field);
        return;
    }
    value = field->get<std::uint64_t>();
}

void object_reader::read(std::string_view key, std::int64_t& value)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_number_integer())
    {
        expect(key, "a whole number", *field);
        return;
    }
    value = field->get<std::int64_t>();
}

void object_reader::read(std::string_view key, double& value, double least, double most)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    const bool fits =
        field->is_number() && field->get<double>() >= least && field->get<double>() <= most;
    if (!fits)
    {
        expect(key, "a number from " + json(least).dump() + " to " + json(most).dump(), *field);
        return;
    }
    value = field->get<double>();
}

void object_reader::read(std::string_view key, std::vector<std::string>& value)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    const bool fits = field->is_array() && std::ranges::all_of(*field, [](const json& item) {
                          return item.is_string();
                      });
    if (!fits)
    {
        expect(key, "an array of strings", *field);
        return;
    }
    value = field->get<std::vector<std::string>>();
}

void object_reader::read_choice(std::string_view key, std::size_t& value,
                                std::initializer_list<std::string_view> names)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    std::string expected;
    std::size_t position = 0;
    for (const std::string_view name : names)
    {
        if (field->is_string() && field->get<std::string>() == name)
        {
            value = position;
            return;
        }
        expected += (position == 0 ? "\"" : " or \"") + std::string(name) + "\"";
        ++position;
    }
    expect(key, expected, *field);
}

void object_reader::read_required(std::string_view key, std::string& value)
{
    if (good_ && !node_.contains(key))
    {
        report_error(key, "is missing; expected a string");
        return;
    }
    read(key, value);
    if (good_ && value.empty())
    {
        report_error(key, "expected a string that is not empty");
    }
}

void object_reader::read_objects(std::string_view key,
                                 const std::function<void(object_reader&)>& each)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_array())
    {
        expect(key, "an array of objects", *field);
        return;
    }
    for (std::size_t i = 0; i < field->size() && good_; ++i)
    {
        const std::string path = path_ + "/" + std::string(key) + "/" + std::to_string(i);
        object_reader item(document_, (*field)[i], path);
        if (item.good_)
        {
            each(item);
        }
        good_ = item.finish();
    }
}

void object_reader::read_object(std::string_view key,
                                const std::function<void(object_reader&)>& use)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    object_reader item(document_, *field, path_ + "/" + std::string(key));
    if (item.good_)
    {
        use(item);
    }
    good_ = item.finish();
}

void object_reader::report_error(std::string_view key, std::string_view problem)
{
    if (!good_)
    {
        return;
    }
    const std::string pointer = path_ + "/" + std::string(key);
    std::size_t line = document_.line_of(pointer);
    if (line == 0)
    {
        line = document_.line_of(path_);
    }
    fail(document_.kind(),
         pointer + " (line " + std::to_string(line) + "): " + std::string(problem));
    good_ = false;
}

bool object_reader::finish()
{
    if (!good_)
    {
        return false;
    }
    for (const auto& [key, value] : node_.items())
    {
        if (known_.contains(key))
        {
            continue;
        }
        std::string expected;
        for (const std::string& name : known_)
        {
            expected += (expected.empty() ? "" : ", ") + name;
        }
        report_error(key, "unknown key; expected one of: " + expected);
        return false;
    }
    return true;
}

const json* object_reader::find(std::string_view key)
{
    known_.emplace(key);
    if (!good_)
    {
        return nullptr;
    }
    const auto found = node_.find(key);
    return found == node_.end() ? nullptr : &*found;
}

void object_reader::expect(std::string_view key, std::string_view expected, const json& got)
{
    std::string shown = got.dump();
    constexpr std::size_t longest = 40;
    if (shown.size() > longest)
    {
        shown = shown.substr(0, longest) + "…";
    }
    report_error(key, "expected " + std::string(expected) + ", got " + shown);
}

} // namespace bamboohoist
