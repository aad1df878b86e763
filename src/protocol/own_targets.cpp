#include "protocol/own_targets.hpp"

#include "protocol/own_callers.hpp"

namespace bamboohoist {

void own_targets::dress(request_message& message, const target_call& call) const
{
    const auto left_ms = static_cast<long long>(to_ms(call.time_left_));
    message.headers_.push_back(header{std::string(timeout_header), std::to_string(left_ms)});
    message.headers_.push_back(header{"Bamboohoist-Request", std::string(call.request_)});
}

reply_meaning own_targets::read(const answer_message&, const target_call&) const
{
    return reply_meaning::answer;
}

} // namespace bamboohoist
