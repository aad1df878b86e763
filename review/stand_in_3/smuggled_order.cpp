/// Case 14: the body of an order whose Content-Length is folded is run as an order of its own.

#include "deployment.hpp"

#include <algorithm>

namespace {

using namespace review;

constexpr int orders_sent = 10;
constexpr const char* folded_length = "Content-Length:\r\n ";
constexpr const char* plain_length = "Content-Length: ";

/// What the body holds: the text of an order that no client sends as a request.
std::string inner_order(const std::string& id)
{
    return make_request("POST", "/orders/inner",
                        {{"Host", "sieves.example"},
                         {"X-Bamboohoist-Attempt-Id", id},
                         {"X-Bamboohoist-Deadline-Remaining", "4000"}})
        .text();
}

std::string outer_order(const std::string& id, const std::string& before_length,
                        const std::string& body)
{
    return "POST /orders/outer HTTP/1.1\r\nHost: sieves.example\r\nX-Bamboohoist-Attempt-Id: " +
           id + "\r\nX-Bamboohoist-Deadline-Remaining: 4000\r\n" + before_length +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

verdict play(record_file& record)
{
    const scratch_folder folder;
    kv_store store;
    store.put("op/config",
              operator_document(7, {{"sieves.example", "/orders/", "ordenes", false}}));
    target server(record, "i-ordenes", "ordenes", "z1", 20);
    node only({"n1", "z1", "r1", "ordenes", server.address()}, store.address(), folder.path());
    only.start();
    if (!only.wait_ready(10000))
    {
        cannot_run("the node did not get ready");
    }
    server.announce_to(only);
    sleep_ms(2000);
    for (int number = 1; number <= orders_sent; ++number)
    {
        const std::string id = std::to_string(number);
        const std::string body = inner_order("inner-" + id);
        record.line("sent outer-" + id + " with a body of " + std::to_string(body.size()) +
                    " bytes");
        const auto peer = connection::open(only.outbound(), 1000);
        peer->write(
            outer_order("outer-" + id, with_trouble() ? folded_length : plain_length, body));
        for (auto answer = peer->read_message(true); answer; answer = peer->read_message(true))
        {
            record.line("answered on the connection of outer-" + id + ": " +
                        std::to_string(answer->status()) + ", attempt " +
                        answer->field("X-Bamboohoist-Attempt-Id"));
        }
    }
    const auto runs = server.runs();
    const auto smuggled =
        std::ranges::count_if(runs, [](const run& item) { return item.id_.starts_with("inner-"); });
    if (!with_trouble() && runs.size() != orders_sent)
    {
        cannot_run("not every order with a plain length ran");
    }
    return {smuggled > 0, std::to_string(smuggled) + " of " + std::to_string(orders_sent) +
                              " bodies were run as orders of their own"};
}

} // namespace

int main()
{
    return run_case(&play);
}
