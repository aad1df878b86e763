#ifndef BAMBOOHOIST_CONFIG_OBJECT_READER_HPP
#define BAMBOOHOIST_CONFIG_OBJECT_READER_HPP

#include "config/json_document.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Reads the fields of one JSON object into an aggregate. The first error is kept as the last
/// reason with the path of the key, its line and what was expected. Later reads have no effect, so
/// callers check for errors only once, with `finish()`.
class object_reader
{
public:
    object_reader(const json_document& document, const nlohmann::json& object, std::string path);

    /// Reads an optional field; `value` is unchanged when the key is absent.
    void read(std::string_view key, std::string& value);
    void read(std::string_view key, bool& value);
    void read(std::string_view key, std::uint32_t& value, std::uint32_t minimum = 0);
    void read(std::string_view key, std::optional<std::uint32_t>& value);
    void read(std::string_view key, std::uint64_t& value);
    void read(std::string_view key, std::int64_t& value);
    void read(std::string_view key, double& value, double minimum, double maximum);
    void read(std::string_view key, std::vector<std::string>& value);

    /// Reads a string that must be one of the names; `value` receives its position.
    void read_choice(std::string_view key, std::size_t& value,
                     std::initializer_list<std::string_view> names);

    /// As `read()`, but the key is required and the string must not be empty.
    void read_required(std::string_view key, std::string& value);

    /// Calls `read_item` with a reader for each object of an array.
    void read_objects(std::string_view key, const std::function<void(object_reader&)>& read_item);

    /// Calls `read_fields` with a reader for an object, unless the key is absent.
    void read_object(std::string_view key, const std::function<void(object_reader&)>& read_fields);

    /// Records an error at one key.
    void report_error(std::string_view key, std::string_view problem);

    /// Reports keys that have not been read. True when there was no error.
    bool finish();

private:
    const nlohmann::json* find(std::string_view key);
    void report_unexpected(std::string_view key, std::string_view expected,
                           const nlohmann::json& found);

    const json_document& document_;
    const nlohmann::json& object_;
    std::string path_;
    std::set<std::string, std::less<>> known_keys_;
    bool valid_ = true;
};

/// Parses a JSON object into an aggregate with `read(reader, aggregate)`. Empty, with a last reason
/// of the given kind, when the text is not valid.
template <typename Result, typename Read>
std::optional<Result> parse_object(std::string_view text, error_kind kind, Read read)
{
    const auto document = json_document::parse(text, kind);
    if (!document)
    {
        return std::nullopt;
    }
    Result parsed;
    object_reader reader(*document, document->root(), "");
    read(reader, parsed);
    if (!reader.finish())
    {
        return std::nullopt;
    }
    return parsed;
}

} // namespace bamboohoist

#endif
