#ifndef BAMBOOHOIST_PROTOCOL_DEFAULT_TARGET_PROTOCOL_HPP
#define BAMBOOHOIST_PROTOCOL_DEFAULT_TARGET_PROTOCOL_HPP

#include "protocol/target_protocol.hpp"

namespace bamboohoist {

/// The product's own way to targets: the time left and the request's identifier go along, and
/// whatever the target answers is its answer.
class default_target_protocol : public target_protocol
{
public:
    void add_request_headers(request_message& message,
                             const target_request_metadata& call) const override;
    response_kind read(const response_message& answer,
                       const target_request_metadata& call) const override;
};

} // namespace bamboohoist

#endif
