#include "config/chunks.hpp"

#include "core/error.hpp"
#include "core/hash.hpp"

#include <nlohmann/json.hpp>
#include <zstd.h>

namespace bamboohoist {

namespace {

constexpr int compression_level = 6;
/// On average, one line in this many ends a chunk.
constexpr std::uint64_t lines_per_chunk = 512;
/// A chunk ends at the first line end beyond this size, before compression. The store accepts
/// values of up to 1 MB.
constexpr std::size_t max_chunk_bytes = 256U << 10U;
constexpr std::size_t max_decompressed_bytes = 8U << 20U;
constexpr std::size_t address_digits = 32;

std::string compress(std::string_view text)
{
    std::string bytes(::ZSTD_compressBound(text.size()), '\0');
    bytes.resize(
        ::ZSTD_compress(bytes.data(), bytes.size(), text.data(), text.size(), compression_level));
    return bytes;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    const auto size = ::ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
        size > max_decompressed_bytes)
    {
        return fail(error_kind::internal,
                    "a chunk of the configuration is damaged: its size is unknown or too large");
    }
    std::string text(size, '\0');
    const auto written = ::ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
    if (::ZSTD_isError(written) != 0 || written != size)
    {
        return fail(error_kind::internal, "a chunk of the configuration cannot be decompressed");
    }
    return text;
}

std::string add_chunk(std::string_view text, chunk_map& chunks)
{
    std::string bytes = compress(text);
    std::string address = content_address(bytes);
    chunks.emplace(address, std::move(bytes));
    return address;
}

} // namespace

chunked_text split_into_chunks(std::string_view text)
{
    chunked_text result;
    std::string list;
    std::size_t start = 0;
    std::size_t at = 0;
    while (at < text.size())
    {
        const auto end = std::min(text.find('\n', at), text.size() - 1) + 1;
        const std::string_view line = text.substr(at, end - at);
        at = end;
        const bool is_boundary = hash_text(line) % lines_per_chunk == 0;
        if (is_boundary || at - start >= max_chunk_bytes || at == text.size())
        {
            list += add_chunk(text.substr(start, at - start), result.chunks_);
            start = at;
        }
    }
    result.list_address_ = add_chunk(list, result.chunks_);
    return result;
}

std::optional<std::vector<std::string>> read_chunk_list(std::string_view chunk)
{
    const auto list = decompress(chunk);
    if (!list)
    {
        return std::nullopt;
    }
    if (list->size() % address_digits != 0)
    {
        return fail(error_kind::internal,
                    "the list of chunks is damaged: its size is not a multiple of 32 bytes");
    }
    std::vector<std::string> addresses;
    for (std::size_t at = 0; at < list->size(); at += address_digits)
    {
        addresses.push_back(list->substr(at, address_digits));
    }
    return addresses;
}

std::optional<std::string> join_chunks(std::span<const std::string> addresses,
                                       const chunk_map& chunks)
{
    std::string text;
    for (const std::string& address : addresses)
    {
        const auto found = chunks.find(address);
        if (found == chunks.end())
        {
            return fail(error_kind::internal, "a chunk of the configuration is missing");
        }
        const auto decompressed = decompress(found->second);
        if (!decompressed)
        {
            return std::nullopt;
        }
        text += *decompressed;
    }
    return text;
}

bool verify_chunk(std::string_view address, std::string_view bytes)
{
    return content_address(bytes) == address;
}

std::string one_element_per_line(std::string_view json_text)
{
    const auto document = nlohmann::ordered_json::parse(json_text);
    std::string text = "{";
    const char* separator = "\n";
    for (const auto& [key, value] : document.items())
    {
        text += separator + nlohmann::json(key).dump() + ":";
        separator = ",\n";
        if (!value.is_array())
        {
            text += value.dump();
            continue;
        }
        text += "[";
        const char* comma = "\n";
        for (const auto& element : value)
        {
            text += comma + element.dump();
            comma = ",\n";
        }
        text += "\n]";
    }
    return text + "\n}\n";
}

} // namespace bamboohoist
