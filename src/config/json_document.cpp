#include "config/json_document.hpp"

#include <vector>

namespace bamboohoist {

namespace {

using json = nlohmann::json;

/// Iterates over characters and counts the line ends that it passes.
class line_counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    line_counting_iterator(const char* at, std::size_t* line) : at_(at), line_(line) {}

    reference operator*() const
    {
        return *at_;
    }

    line_counting_iterator& operator++()
    {
        if (*at_ == '\n')
        {
            ++*line_;
        }
        ++at_;
        return *this;
    }

    line_counting_iterator operator++(int)
    {
        line_counting_iterator old = *this;
        ++*this;
        return old;
    }

    bool operator==(const line_counting_iterator& other) const
    {
        return at_ == other.at_;
    }

    bool operator!=(const line_counting_iterator& other) const
    {
        return at_ != other.at_;
    }

private:
    const char* at_;
    std::size_t* line_;
};

/// Records the line of each value while the text is parsed, and detects repeated keys.
class line_recorder : public nlohmann::json_sax<json>
{
public:
    line_recorder(const std::size_t& line, std::unordered_map<std::string, std::size_t>& lines)
        : line_(line), lines_(lines)
    {
    }

    std::string problem_;
    std::size_t problem_line_ = 0;

    bool null() override
    {
        return record_value();
    }
    bool boolean(bool) override
    {
        return record_value();
    }
    bool number_integer(number_integer_t) override
    {
        return record_value();
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return record_value();
    }
    bool number_float(number_float_t, const string_t&) override
    {
        return record_value();
    }
    bool string(string_t&) override
    {
        return record_value();
    }
    bool binary(binary_t&) override
    {
        return record_value();
    }
    bool start_object(std::size_t) override
    {
        record_value();
        open_containers_.push_back(open_container{false, 0, {}, {}});
        return true;
    }
    bool key(string_t& name) override
    {
        open_container& innermost = open_containers_.back();
        innermost.key_ = name;
        if (!innermost.keys_.insert({name, true}).second)
        {
            problem_ = "the key \"" + name + "\" appears twice in one object";
            problem_line_ = line_;
            return false;
        }
        return true;
    }
    bool end_object() override
    {
        open_containers_.pop_back();
        return true;
    }
    bool start_array(std::size_t) override
    {
        record_value();
        open_containers_.push_back(open_container{true, 0, {}, {}});
        return true;
    }
    bool end_array() override
    {
        open_containers_.pop_back();
        return true;
    }
    bool parse_error(std::size_t, const std::string&, const json::exception& error) override
    {
        problem_ = error.what();
        problem_line_ = line_;
        return false;
    }

private:
    struct open_container
    {
        bool is_array_;
        std::size_t next_index_;
        std::string key_;
        std::unordered_map<std::string, bool> keys_;
    };

    bool record_value()
    {
        if (!open_containers_.empty() && open_containers_.back().is_array_)
        {
            ++open_containers_.back().next_index_;
        }
        std::string pointer;
        for (const open_container& container : open_containers_)
        {
            pointer += "/" + (container.is_array_ ? std::to_string(container.next_index_ - 1)
                                                  : container.key_);
        }
        lines_.emplace(std::move(pointer), line_);
        return true;
    }

    const std::size_t& line_;
    std::unordered_map<std::string, std::size_t>& lines_;
    std::vector<open_container> open_containers_;
};

} // namespace

std::optional<json_document> json_document::parse(std::string_view text, error_kind kind)
{
    json_document document;
    document.kind_ = kind;
    std::size_t line = 1;
    line_recorder recorder(line, document.lines_);
    const line_counting_iterator first(text.data(), &line);
    const line_counting_iterator last(text.data() + text.size(), &line);
    if (!json::sax_parse(first, last, &recorder))
    {
        return fail(kind, "line " + std::to_string(recorder.problem_line_) +
                              ": not valid JSON: " + recorder.problem_);
    }
    document.root_ = json::parse(text);
    return document;
}

std::optional<json_document> json_document::parse_validated(std::string_view text, error_kind kind)
{
    json_document document;
    document.kind_ = kind;
    document.root_ = json::parse(text, nullptr, false);
    if (document.root_.is_discarded())
    {
        return fail(kind, "not valid JSON");
    }
    return document;
}

const nlohmann::json& json_document::root() const
{
    return root_;
}

error_kind json_document::kind() const
{
    return kind_;
}

std::size_t json_document::line_of(std::string_view pointer) const
{
    const auto found = lines_.find(std::string(pointer));
    return found == lines_.end() ? 0 : found->second;
}

} // namespace bamboohoist
