#ifndef BAMBOOHOIST_CONFIG_CHUNKS_HPP
#define BAMBOOHOIST_CONFIG_CHUNKS_HPP

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Compressed chunks of the configuration, by the content address of their compressed bytes.
using chunk_map = std::map<std::string, std::string, std::less<>>;

/// A text split into chunks, with the list chunk that names them in order.
struct chunked_text
{
    std::string list_address_; ///< Address of the list chunk.
    chunk_map chunks_;         ///< Includes the list chunk.
};

/// Splits a text into compressed chunks. Chunks end at lines that are chosen by their content, so
/// that a change of one line changes only one chunk and the list.
chunked_text split_into_chunks(std::string_view text);

/// Returns the addresses in a list chunk; empty with `internal` when it is malformed.
std::optional<std::vector<std::string>> read_chunk_list(std::string_view chunk);

/// Joins the chunks with these addresses; empty with `internal` when one is missing or damaged.
std::optional<std::string> join_chunks(std::span<const std::string> addresses,
                                       const chunk_map& chunks);

/// True when the bytes have this content address.
bool verify_chunk(std::string_view address, std::string_view bytes);

/// Formats a JSON object with one element of its arrays on each line, as `split_into_chunks()`
/// expects it; the content is unchanged.
std::string one_element_per_line(std::string_view json_text);

} // namespace bamboohoist

#endif
