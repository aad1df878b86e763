#include "harness/transfer.hpp"

namespace bamboohoist::testing {

transfer_request make_transfer(std::string_view method, std::string_view server)
{
    transfer_request request;
    request.server_ = std::string(server);
    request.message_ = {std::string(method), "", "/", {}, ""};
    request.timeout_ = std::chrono::seconds(5);
    return request;
}

transfer_result run_transfer(transfer_request request)
{
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 2);
    transfer_result ended;
    client.start(std::move(request), [&](transfer_result result) {
        ended = std::move(result);
        loop.request_stop();
    });
    loop.run();
    return ended;
}

} // namespace bamboohoist::testing
