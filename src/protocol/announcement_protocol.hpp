#ifndef BAMBOOHOIST_PROTOCOL_ANNOUNCEMENT_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_ANNOUNCEMENT_PROTOCOL_HPP

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/message.hpp"
#include "policy/local_target.hpp"

#include <optional>

namespace bamboohoist {

/// An announcement by a backend server of this VM.
struct announcement
{
    local_target target_; ///< Only `instance_` or `id_` is set when `deregistered_` is true.
    bool deregistered_ = false;
};

/// The reply to an announcement.
struct announcement_reply
{
    duration lease_{};     ///< How long the announcement is valid without renewal.
    bool stopped_ = false; ///< A stop plan or an operator stopped the target; it gets no requests.
};

/// Decodes the announcements of the backend servers of this VM and encodes the replies.
class announcement_protocol
{
public:
    virtual ~announcement_protocol() = default;

    /// Empty with `not_found` or `bad_request` when the request is not an announcement.
    virtual std::optional<announcement> read(const request_message& request) const = 0;

    virtual response_message write(const announcement& received,
                                   const announcement_reply& reply) const = 0;
};

} // namespace bamboohoist

#endif
