#include "protocol/generated_responses.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

std::string dump(const nlohmann::ordered_json& body)
{
    // Details may quote bytes of a caller that are no UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string seconds_text(duration value)
{
    std::array<char, 32> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.2f",
                                   std::chrono::duration<double>(value).count());
    return std::string(text.data(), static_cast<std::size_t>(size));
}

} // namespace

response_message make_error_response(int status, const generated_response& made)
{
    const nlohmann::ordered_json body{{"error", error_response_for(made.kind_).name_},
                                      {"outcome", to_string(made.outcome_)},
                                      {"detail", made.detail_},
                                      {"request", made.request_}};
    response_message answer;
    answer.status_ = status;
    answer.headers_.push_back(header{"Content-Type", "application/json"});
    if (made.retry_after_)
    {
        answer.headers_.push_back(header{"Retry-After", seconds_text(*made.retry_after_)});
    }
    answer.body_ = dump(body);
    return answer;
}

response_message make_refusal_response(const reason& why)
{
    const error_response& row = error_response_for(why.kind_);
    response_message answer;
    answer.status_ = row.status_;
    answer.headers_.push_back(header{"Content-Type", "application/json"});
    answer.body_ = dump({{"error", row.name_}, {"detail", why.text_}});
    return answer;
}

} // namespace bamboohoist
