#include "protocol/default_target_protocol.hpp"

#include "protocol/default_caller_protocol.hpp"

namespace bamboohoist {

void default_target_protocol::add_request_headers(request_message& message,
                                                  const target_request_metadata& metadata) const
{
    const auto time_left_ms = static_cast<long long>(to_ms(metadata.time_left_));
    message.headers_.push_back(header{std::string(timeout_header), std::to_string(time_left_ms)});
    message.headers_.push_back(header{"Bamboohoist-Request", std::string(metadata.request_)});
}

response_kind default_target_protocol::read(const response_message&,
                                            const target_request_metadata&) const
{
    return response_kind::valid;
}

} // namespace bamboohoist
