#ifndef BAMBOOHOIST_PROTOCOL_DEFAULT_TARGET_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_DEFAULT_TARGET_PROTOCOL_HPP

#include "protocol/target_protocol.hpp"

namespace bamboohoist {

/// The default protocol to targets: sends the remaining time and the request's identifier, and
/// accepts every response as valid.
class default_target_protocol : public target_protocol
{
public:
    void add_request_headers(request_message& message,
                             const target_request_metadata& metadata) const override;
    response_kind read(const response_message& response,
                       const target_request_metadata& metadata) const override;
};

} // namespace bamboohoist

#endif
