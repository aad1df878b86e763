#ifndef BAMBOOHOIST_PROTOCOL_DEFAULT_ANNOUNCEMENT_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_DEFAULT_ANNOUNCEMENT_PROTOCOL_HPP

#include "protocol/announcement_protocol.hpp"

namespace bamboohoist {

/// The default announcements: `PUT /v1/targets` with a JSON object (service, address, slots,
/// incarnation, leaving), repeated within the lease; `DELETE` with the service and address
/// deregisters the target.
class default_announcement_protocol : public announcement_protocol
{
public:
    std::optional<announcement> read(const request_message& request) const override;
    response_message write(const announcement& received,
                           const announcement_reply& reply) const override;
};

} // namespace bamboohoist

#endif
