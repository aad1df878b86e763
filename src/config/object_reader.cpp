#include "config/object_reader.hpp"

#include <algorithm>
#include <limits>

namespace bamboohoist {

using json = nlohmann::json;

object_reader::object_reader(const json_document& document, const json& object, std::string path)
    : document_(document), object_(object), path_(std::move(path))
{
    if (!object_.is_object())
    {
        const std::string where = path_.empty() ? "the document" : path_;
        fail(document_.kind(), where + " (line " + std::to_string(document_.line_of(path_)) +
                                   "): expected an object, got " + object_.type_name());
        valid_ = false;
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
        report_unexpected(key, "a string", *field);
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
        report_unexpected(key, "true or false", *field);
        return;
    }
    value = field->get<bool>();
}

void object_reader::read(std::string_view key, std::uint32_t& value, std::uint32_t minimum)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    const bool fits = field->is_number_unsigned() && field->get<std::uint64_t>() >= minimum &&
                      field->get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (!fits)
    {
        report_unexpected(key, "an integer of at least " + std::to_string(minimum), *field);
        return;
    }
    value = field->get<std::uint32_t>();
}

void object_reader::read(std::string_view key, std::optional<std::uint32_t>& value)
{
    if (find(key) != nullptr)
    {
        read(key, value.emplace());
    }
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
        report_unexpected(key, "an integer of at least 0", *field);
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
        report_unexpected(key, "an integer", *field);
        return;
    }
    value = field->get<std::int64_t>();
}

void object_reader::read(std::string_view key, double& value, double minimum, double maximum)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    const bool fits =
        field->is_number() && field->get<double>() >= minimum && field->get<double>() <= maximum;
    if (!fits)
    {
        report_unexpected(
            key, "a number from " + json(minimum).dump() + " to " + json(maximum).dump(), *field);
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
        report_unexpected(key, "an array of strings", *field);
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
    report_unexpected(key, expected, *field);
}

void object_reader::read_required(std::string_view key, std::string& value)
{
    if (valid_ && !object_.contains(key))
    {
        report_error(key, "is missing; expected a string");
        return;
    }
    read(key, value);
    if (valid_ && value.empty())
    {
        report_error(key, "expected a non-empty string");
    }
}

void object_reader::read_objects(std::string_view key,
                                 const std::function<void(object_reader&)>& read_item)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    if (!field->is_array())
    {
        report_unexpected(key, "an array of objects", *field);
        return;
    }
    for (std::size_t i = 0; i < field->size() && valid_; ++i)
    {
        const std::string path = path_ + "/" + std::string(key) + "/" + std::to_string(i);
        object_reader item(document_, (*field)[i], path);
        if (item.valid_)
        {
            read_item(item);
        }
        valid_ = item.finish();
    }
}

void object_reader::read_object(std::string_view key,
                                const std::function<void(object_reader&)>& read_fields)
{
    const json* field = find(key);
    if (field == nullptr)
    {
        return;
    }
    object_reader item(document_, *field, path_ + "/" + std::string(key));
    if (item.valid_)
    {
        read_fields(item);
    }
    valid_ = item.finish();
}

void object_reader::report_error(std::string_view key, std::string_view problem)
{
    if (!valid_)
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
    valid_ = false;
}

bool object_reader::finish()
{
    if (!valid_)
    {
        return false;
    }
    for (const auto& [key, value] : object_.items())
    {
        if (known_keys_.contains(key))
        {
            continue;
        }
        std::string expected;
        for (const std::string& name : known_keys_)
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
    known_keys_.emplace(key);
    if (!valid_)
    {
        return nullptr;
    }
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

void object_reader::report_unexpected(std::string_view key, std::string_view expected,
                                      const json& found)
{
    std::string found_text = found.dump();
    constexpr std::size_t max_shown_bytes = 40;
    if (found_text.size() > max_shown_bytes)
    {
        found_text = found_text.substr(0, max_shown_bytes) + "…";
    }
    report_error(key, "expected " + std::string(expected) + ", got " + found_text);
}

} // namespace bamboohoist
