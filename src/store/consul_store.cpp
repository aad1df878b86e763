#include "store/consul_store.hpp"

#include "store/base64.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

using json = nlohmann::json;

constexpr duration call_timeout = std::chrono::seconds(3);
/// Added to the wait of a watch for the timeout of its call.
constexpr duration watch_timeout_margin = std::chrono::seconds(5);
constexpr long max_connections = 32;
constexpr std::string_view key_path = "/v1/kv/";
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

std::uint64_t read_consul_index(const response_message& response)
{
    std::uint64_t index = 0;
    if (const auto text = find_header(response.headers_, "X-Consul-Index"))
    {
        std::from_chars(text->data(), text->data() + text->size(), index);
    }
    return index;
}

store_reply parse_entries(const response_message& response)
{
    store_reply reply;
    reply.index_ = read_consul_index(response);
    if (response.status_ == status_not_found)
    {
        reply.status_ = store_status::absent;
        return reply;
    }
    const json body = json::parse(response.body_, nullptr, false);
    if (response.status_ != status_ok || !body.is_array())
    {
        return reply;
    }
    for (const json& item : body)
    {
        const json value = item.value("Value", json());
        auto decoded = decode_base64(value.is_string() ? value.get<std::string>() : "");
        if (!decoded)
        {
            return reply;
        }
        reply.entries_.push_back(store_entry{item.value("Key", ""), std::move(*decoded),
                                             item.value("ModifyIndex", std::uint64_t{0})});
    }
    reply.status_ = store_status::ok;
    return reply;
}

store_reply parse_write_result(const response_message& response)
{
    store_reply reply;
    const json written = json::parse(response.body_, nullptr, false);
    if (response.status_ == status_ok && written.is_boolean())
    {
        reply.status_ = written.get<bool>() ? store_status::ok : store_status::conflict;
    }
    return reply;
}

store_reply parse_session(const response_message& response)
{
    store_reply reply;
    if (response.status_ == status_not_found)
    {
        reply.status_ = store_status::absent;
        return reply;
    }
    const json body = json::parse(response.body_, nullptr, false);
    if (response.status_ == status_ok && !body.is_discarded())
    {
        reply.status_ = store_status::ok;
        reply.text_ = body.is_object() ? body.value("ID", "") : "";
    }
    return reply;
}

std::string key_target(std::string_view key)
{
    return std::string(key_path) + std::string(key);
}

} // namespace

consul_store::consul_store(event_loop& loop, const endpoint& server, process_metrics& metrics)
    : server_(to_string(server)), metrics_(metrics), client_(loop, max_connections)
{
}

void consul_store::read(std::string_view key, callback on_reply)
{
    send(counter::store_reads, "GET", key_target(key), "", call_timeout, &parse_entries,
         std::move(on_reply));
}

void consul_store::list(std::string_view prefix, callback on_reply)
{
    send(counter::store_reads, "GET", key_target(prefix) + "?recurse=true", "", call_timeout,
         &parse_entries, std::move(on_reply));
}

void consul_store::write(std::string_view key, std::string_view value,
                         const store_condition& expected, callback on_reply)
{
    send(counter::store_writes, "PUT", key_target(key) + "?cas=" + std::to_string(expected.index_),
         value, call_timeout, &parse_write_result, std::move(on_reply));
}

void consul_store::watch(std::string_view key, std::uint64_t known_index, duration wait,
                         callback on_reply)
{
    const auto wait_ms = static_cast<long long>(to_ms(wait));
    const std::string query =
        "?index=" + std::to_string(known_index) + "&wait=" + std::to_string(wait_ms) + "ms";
    send(counter::store_watches, "GET", key_target(key) + query, "", wait + watch_timeout_margin,
         &parse_entries, std::move(on_reply));
}

void consul_store::remove(std::string_view key, callback on_reply)
{
    send(counter::store_writes, "DELETE", key_target(key), "", call_timeout, &parse_write_result,
         std::move(on_reply));
}

void consul_store::remove_all(std::span<const std::string> keys, callback on_reply)
{
    if (keys.empty())
    {
        store_reply none;
        none.status_ = store_status::ok;
        on_reply(std::move(none));
        return;
    }
    remove(keys.front(), [this, rest = std::vector<std::string>(keys.begin() + 1, keys.end()),
                          reply_to = std::move(on_reply)](store_reply reply) mutable {
        if (reply.status_ != store_status::ok || rest.empty())
        {
            reply_to(std::move(reply));
            return;
        }
        remove_all(rest, std::move(reply_to));
    });
}

void consul_store::open_session(std::string_view name, duration time_to_live, callback on_reply)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time_to_live).count();
    const json body{{"Name", name},
                    {"TTL", std::to_string(seconds) + "s"},
                    {"Behavior", "delete"},
                    {"LockDelay", "0s"}};
    send(counter::store_writes, "PUT", "/v1/session/create", body.dump(), call_timeout,
         &parse_session, std::move(on_reply));
}

void consul_store::renew_session(std::string_view session, callback on_reply)
{
    send(counter::store_writes, "PUT", "/v1/session/renew/" + std::string(session), "",
         call_timeout, &parse_session, std::move(on_reply));
}

void consul_store::write_lasting(std::string_view key, std::string_view value, callback on_reply)
{
    send(counter::store_writes, "PUT", key_target(key), value, call_timeout, &parse_write_result,
         std::move(on_reply));
}

void consul_store::write_leased(std::string_view key, std::string_view value,
                                std::string_view session, callback on_reply)
{
    send(counter::store_writes, "PUT", key_target(key) + "?acquire=" + std::string(session), value,
         call_timeout, &parse_write_result, std::move(on_reply));
}

void consul_store::send(counter kind, std::string_view method, std::string target,
                        std::string_view body, duration timeout, reply_parser parse_reply,
                        callback on_reply)
{
    metrics_.add(kind);
    transfer_request request;
    request.server_ = server_;
    request.message_.method_ = std::string(method);
    request.message_.target_ = std::move(target);
    request.message_.body_ = std::string(body);
    request.timeout_ = timeout;
    request.fresh_connection_ = connections_doubtful_;
    client_.start(std::move(request), [this, kind, parse_reply,
                                       reply = std::move(on_reply)](const transfer_result& result) {
        if (kind != counter::store_watches)
        {
            metrics_.observe(latency::store_call, result.elapsed_);
        }
        connections_doubtful_ = result.end_ == transfer_end::timed_out;
        store_reply converted;
        if (result.end_ == transfer_end::complete)
        {
            converted = parse_reply(result.response_);
        }
        if (converted.status_ == store_status::unavailable)
        {
            metrics_.add(counter::store_errors);
        }
        reply(std::move(converted));
    });
}

} // namespace bamboohoist
