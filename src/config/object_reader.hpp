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

/// Reads the fields of one JSON object into an aggregate. The first problem is kept as the last
/// reason with the path of the key, its line and what was expected; reading then goes on without
/// effect, so that callers check once, with `finish()`.
class object_reader
{
public:
    object_reader(const json_document& document, const nlohmann::json& node, std::string path);

    /// Optional fields: the value is left as it is when the key is absent.
    void read(std::string_view key, std::string& value);
    void read(std::string_view key, bool& value);
    void read(std::string_view key, std::uint32_t& value, std::uint32_t least = 0);
    void read(std::string_view key, std::uint64_t& value);
    void read(std::string_view key, std::int64_t& value);
    void read(std::string_view key, double& value, double least, double most);
    void read(std::string_view key, std::vector<std::string>& value);

    /// A text that must be one of the names; `value` receives its position.
    void read_choice(std::string_view key, std::size_t& value,
                     std::initializer_list<std::string_view> names);

    /// As `read()`, but the key must be there and the text not empty.
    void read_required(std::string_view key, std::string& value);

    /// Calls `each` with a reader of every object in an array.
    void read_objects(std::string_view key, const std::function<void(object_reader&)>& each);

    /// Calls `use` with a reader of an object, when there is one.
    void read_object(std::string_view key, const std::function<void(object_reader&)>& use);

    /// Records a problem with one key.
    void report_error(std::string_view key, std::string_view problem);

    /// Refuses keys that nothing has read. True when there was no problem at all.
    bool finish();

private:
    const nlohmann::json* find(std::string_view key);
    void expect(std::string_view key, std::string_view expected, const nlohmann::json& got);

    const json_document& document_;
    const nlohmann::json& node_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
    bool good_ = true;
};

/// Parses a text that is one JSON object into an aggregate: `read` takes the reader and the
/// aggregate. Empty, with a last reason of the given kind, when anything in it is wrong.
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
