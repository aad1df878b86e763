#include "harness/platform_messages.hpp"

namespace bamboohoist::testing {

response_message make_signed_response(const request_message& request, std::string body)
{
    response_message response;
    response.status_ = 200;
    response.headers_.push_back(
        {"X-Bamboohoist-Attempt-Id",
         std::string(find_header(request.headers_, "X-Bamboohoist-Attempt-Id").value_or(""))});
    response.headers_.push_back({"X-Bamboohoist-Response-Signature", "3e1b.07"});
    response.body_ = std::move(body);
    return response;
}

request_message make_request(std::string_view method, std::string_view path)
{
    request_message request;
    request.method_ = std::string(method);
    request.host_ = "shop.example";
    request.target_ = std::string(path);
    request.headers_ = {{"X-Bamboohoist-Attempt-Id", "9c41d07be2a35f68"},
                        {"X-Bamboohoist-Deadline-Remaining", "4000"},
                        {"X-Bamboohoist-Caller-Service", "forged"}};
    return request;
}

} // namespace bamboohoist::testing
