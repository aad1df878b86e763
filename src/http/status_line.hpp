#ifndef BAMBOOHOIST_HTTP_STATUS_LINE_HPP
#define BAMBOOHOIST_HTTP_STATUS_LINE_HPP

#include <cstddef>
#include <string_view>

namespace bamboohoist {

/// Returns the offset, from `start` on, of the first `HTTP/1.x` with a status after it; `npos` when
/// there is none.
std::size_t find_status_line(std::string_view text, std::size_t start);

/// True when a text ends within such a version and status, at least `min_bytes` of it.
bool ends_in_status_line(std::string_view text, std::size_t min_bytes);

} // namespace bamboohoist

#endif
