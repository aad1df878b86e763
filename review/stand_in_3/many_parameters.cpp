/// Case 13: an order with many query parameters runs, and the connection of its caller is closed
/// without an answer, because the parsed request and the head of the answer share one buffer.

#include "deployment.hpp"

namespace {

using namespace review;

constexpr int many_parameters = 440;
constexpr int few_parameters = 20;
constexpr std::size_t max_header_bytes = 16384; ///< MaxHeaderBytes of the operator's document.
constexpr std::size_t answer_field_bytes = 2000;
constexpr int orders_sent = 20;
constexpr int most_closed = 3; ///< So many connections may be closed without an answer.
/// With more parameters the request isn't even answered; this is recorded and not judged.
constexpr int parameters_of_lookup = 500;
constexpr int lookups_sent = 3;

std::string path_with_parameters(const std::string& path, int count)
{
    std::string target = path;
    for (int i = 0; i < count; ++i)
    {
        target += (i == 0 ? "?" : "&") + ("id=" + std::to_string(i));
    }
    return target;
}

http_message make_call(std::string_view method, const std::string& target, const std::string& id)
{
    return make_request(method, target,
                        {{"Host", "sieves.example"},
                         {"X-Bamboohoist-Attempt-Id", id},
                         {"X-Bamboohoist-Deadline-Remaining", "4000"}},
                        method == "POST" ? "order" : "");
}

std::size_t head_bytes(const http_message& request)
{
    return request.text().find("\r\n\r\n") + 4;
}

void record_lookups(record_file& record, const node& only)
{
    for (int number = 1; number <= lookups_sent; ++number)
    {
        const std::string id = "lookup-" + std::to_string(number);
        const http_message lookup =
            make_call("GET", path_with_parameters("/lookups/" + id, parameters_of_lookup), id);
        record.line("sent " + id + ", head of " + std::to_string(head_bytes(lookup)) + " bytes");
        std::string end;
        const auto answer = call(only.outbound(), lookup, 4000, &end);
        record.line("answered " + id + ": " +
                    (answer ? std::to_string(answer->status()) : "none, " + end));
    }
}

verdict play(record_file& record)
{
    const scratch_folder folder;
    kv_store store;
    store.put("op/config",
              operator_document(7, {{"sieves.example", "/orders/", "ordenes", false},
                                    {"sieves.example", "/lookups/", "ordenes", true}}));
    target server(record, "i-ordenes", "ordenes", "z1", 20);
    node only({"n1", "z1", "r1", "ordenes", server.address()}, store.address(), folder.path());
    only.start();
    if (!only.wait_ready(10000))
    {
        cannot_run("the node did not get ready");
    }
    server.announce_to(only);
    sleep_ms(2000);
    server.set_further_fields(answer_field_bytes);
    const int parameters = with_trouble() ? many_parameters : few_parameters;
    int closed = 0;
    auto kept = connection::open(only.outbound());
    for (int number = 1; number <= orders_sent; ++number)
    {
        const std::string id = "order-" + std::to_string(number);
        const http_message order =
            make_call("POST", path_with_parameters("/orders/" + id, parameters), id);
        if (head_bytes(order) > max_header_bytes)
        {
            cannot_run("the head of the order is too large");
        }
        record.line("sent " + id + ", head of " + std::to_string(head_bytes(order)) + " bytes");
        kept->write(order.text());
        const auto answer = kept->read_message(true);
        record.line("answered " + id + ": " +
                    (answer ? std::to_string(answer->status()) : "none, " + kept->end()));
        if (!answer)
        {
            closed += kept->end() == "closed" ? 1 : 0;
            kept = connection::open(only.outbound());
        }
    }
    const auto ran = server.runs().size();
    if (with_trouble())
    {
        record_lookups(record, only);
    }
    return {closed > most_closed && ran > most_closed,
            std::to_string(closed) + " of " + std::to_string(ran) +
                " orders that ran ended with a closed connection and no answer"};
}

} // namespace

int main()
{
    return run_case(&play);
}
