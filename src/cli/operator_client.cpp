#include "cli/operator_client.hpp"

#include "cli/flags.hpp"
#include "http/http_client.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bamboohoist {

namespace {

constexpr duration call_timeout = std::chrono::seconds(30);

} // namespace

std::optional<operator_reply> call_node(std::string_view method, std::string_view path,
                                        std::string_view body)
{
    process_metrics metrics;
    event_loop loop(metrics);
    http_client client(loop, 1);
    transfer_request request;
    request.server_ = FLAGS_node;
    request.message_.method_ = std::string(method);
    request.message_.target_ = std::string(path);
    request.message_.body_ = std::string(body);
    request.timeout_ = call_timeout;
    request.max_response_bytes_ = 256U << 20U;
    transfer_result result;
    client.start(std::move(request), [&](transfer_result ended) {
        result = std::move(ended);
        loop.request_stop();
    });
    loop.run();
    if (result.end_ != transfer_end::complete)
    {
        std::cerr << "bamboohoist: the node " << FLAGS_node
                  << " does not answer: " << result.detail_ << '\n';
        return std::nullopt;
    }
    auto parsed = nlohmann::ordered_json::parse(result.response_.body_, nullptr, false);
    if (parsed.is_discarded())
    {
        std::cerr << "bamboohoist: the response of " << FLAGS_node << " is not valid JSON\n";
        return std::nullopt;
    }
    return operator_reply{result.response_.status_, std::move(parsed)};
}

std::optional<std::string> read_file(std::string_view path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file{std::string(path)};
    if (!file)
    {
        std::cerr << "bamboohoist: cannot read \"" << path << "\"\n";
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

bool write_file(std::string_view path, std::string_view text)
{
    std::ofstream file{std::string(path)};
    file << text;
    file.close();
    if (!file)
    {
        std::cerr << "bamboohoist: cannot write \"" << path << "\"\n";
        return false;
    }
    return true;
}

exit_status usage_error(std::string_view name)
{
    const auto row = std::ranges::find(commands(), name, &command::name_);
    std::cerr << "usage: bamboohoist " << row->name_ << ' ' << row->usage_ << '\n';
    return exit_status::bad_usage;
}

exit_status print_refusal(const operator_reply& reply)
{
    if (FLAGS_json)
    {
        std::cout << reply.body_.dump() << '\n';
    }
    std::cerr << "bamboohoist: " << reply.body_.value("error", "refused") << ": "
              << reply.body_.value("detail", "") << '\n';
    return exit_status::refused;
}

} // namespace bamboohoist
