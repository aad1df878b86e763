#ifndef BAMBOOHOIST_CONFIG_CHUNKS_HPP
#define BAMBOOHOIST_CONFIG_CHUNKS_HPP

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// Compressed pieces of configuration by the address of their compressed bytes.
using chunk_map = std::map<std::string, std::string, std::less<>>;

/// A text cut into pieces, and the piece that lists them.
struct chunked_text
{
    std::string list_address_; ///< Address of the chunk that holds the list of the others.
    chunk_map chunks_;         ///< The list included.
};

/// Cuts a text at lines chosen by their content, so that a change of one line changes one piece
/// and the list, and compresses each piece.
chunked_text split_into_chunks(std::string_view text);

/// The addresses in a list chunk; empty with `internal` when it is malformed.
std::optional<std::vector<std::string>> read_chunk_list(std::string_view chunk);

/// Joins the pieces of a list; empty with `internal` when one is missing or damaged.
std::optional<std::string> join_chunks(std::span<const std::string> addresses,
                                       const chunk_map& chunks);

/// True when the bytes have this address.
bool verify_chunk(std::string_view address, std::string_view bytes);

/// The text of a JSON document with one array element a line, as `split_into_chunks()` wants it;
/// the meaning is unchanged.
std::string one_element_per_line(std::string_view json_text);

} // namespace bamboohoist

#endif
