#include "harness/http_call.hpp"

#include "http/http_client.hpp"

#include <stdexcept>

namespace bamboohoist::testing {

std::optional<response_message> http_call(std::string_view server, request_message request,
                                          duration timeout)
{
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 1);
    transfer_request transfer;
    transfer.server_ = std::string(server);
    transfer.message_ = std::move(request);
    transfer.timeout_ = timeout;
    transfer.max_response_bytes_ = 256U << 20U;
    transfer_result result;
    client.start(std::move(transfer), [&](transfer_result ended) {
        result = std::move(ended);
        loop.request_stop();
    });
    loop.run();
    if (result.end_ != transfer_end::complete)
    {
        return std::nullopt;
    }
    return std::move(result.response_);
}

json_reply json_call(std::string_view server, std::string_view method, std::string_view target,
                     const nlohmann::json& body, duration timeout)
{
    request_message request;
    request.method_ = std::string(method);
    request.target_ = std::string(target);
    request.body_ = body.is_null() ? "" : body.dump();
    const auto response = http_call(server, std::move(request), timeout);
    if (!response)
    {
        throw std::runtime_error("no response from " + std::string(server) + std::string(target));
    }
    return {response->status_, nlohmann::json::parse(response->body_, nullptr, false)};
}

} // namespace bamboohoist::testing
