#ifndef BAMBOOHOIST_PROTOCOL_ANNOUNCEMENT_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_ANNOUNCEMENT_PROTOCOL_HPP

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/message.hpp"
#include "policy/local_target.hpp"

#include <optional>

namespace bamboohoist {

/// What a backend server of this VM says about itself.
struct announcement
{
    local_target target_; ///< Only `instance_` or `id_` is set when the target is gone.
    bool deregistered_ = false;
};

/// What a backend server hears in reply.
struct announcement_reply
{
    duration lease_{};     ///< How long the announcement holds without renewal.
    bool stopped_ = false; ///< It gets no work: a plan or an operator stopped it.
};

/// How the backend servers of a VM announce themselves.
class announcement_protocol
{
public:
    virtual ~announcement_protocol() = default;

    /// Empty with `not_found` or `bad_request` when this is no announcement.
    virtual std::optional<announcement> read(const request_message& request) const = 0;

    virtual response_message write(const announcement& heard,
                                   const announcement_reply& reply) const = 0;
};

} // namespace bamboohoist

#endif
