#ifndef BAMBOOHOIST_HTTP_RESPONSE_HEAD_HPP
#define BAMBOOHOIST_HTTP_RESPONSE_HEAD_HPP

#include "core/message.hpp"

#include <cstddef>
#include <string_view>

namespace bamboohoist {

/// What a line told the reader of a head.
enum class head_line
{
    part,      ///< The head goes on, or the line is a trailer.
    end,       ///< The line ends an interim head or the final one.
    malformed, ///< The lines are not those of one response.
    too_large, ///< The lines exceed the limit of a head.
};

/// Reads the heads of the responses to one request: interim ones, the final one and its trailers.
class response_head
{
public:
    /// Takes the next line, with its line end.
    head_line add_line(std::string_view line);

    /// Returns the fields of the head that a line has just ended. To be called when it is the final
    /// one, not an interim one; what follows are trailers.
    const header_list& complete();

    /// True when the final head has ended.
    bool is_complete() const;

private:
    bool mixes_responses(std::string_view line) const;
    head_line check_trailer(std::string_view line) const;
    head_line add_field(std::string_view line);

    header_list headers_;
    std::size_t bytes_ = 0; ///< Of all lines.
    bool open_ = false;     ///< A status line has come, but not yet the empty line after its head.
    bool complete_ = false;
};

} // namespace bamboohoist

#endif
