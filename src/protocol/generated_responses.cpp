#include "protocol/generated_responses.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

std::string serialize(const nlohmann::ordered_json& body)
{
    // Details may quote bytes from a caller that are not valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string format_seconds(duration value)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.2f",
                                   std::chrono::duration<double>(value).count());
    return std::string(text.data(), static_cast<std::size_t>(size));
}

} // namespace

response_message make_error_response(int status, const generated_response& generated)
{
    const nlohmann::ordered_json body{{"error", error_response_for(generated.kind_).name_},
                                      {"outcome", to_string(generated.outcome_)},
                                      {"detail", generated.detail_},
                                      {"request", generated.request_}};
    response_message response;
    response.status_ = status;
    response.headers_.push_back(header{"Content-Type", "application/json"});
    if (generated.retry_after_)
    {
        response.headers_.push_back(header{"Retry-After", format_seconds(*generated.retry_after_)});
    }
    response.body_ = serialize(body);
    return response;
}

response_message make_refusal_response(const reason& cause)
{
    const error_response& row = error_response_for(cause.kind_);
    response_message response;
    response.status_ = row.status_;
    response.headers_.push_back(header{"Content-Type", "application/json"});
    response.body_ = serialize({{"error", row.name_}, {"detail", cause.text_}});
    return response;
}

} // namespace bamboohoist
