#include "stand_in/kv_server.hpp"

#include "loop/run_after.hpp"
#include "store/base64.hpp"

#include <nlohmann/json.hpp>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr std::size_t max_value = 2U << 20U;

/// The value of a query argument; empty when there is none.
std::string_view query_argument(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
    {
        return {};
    }
    std::string_view query = target.substr(question + 1);
    while (!query.empty())
    {
        const std::string_view part = query.substr(0, query.find('&'));
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name)
        {
            return equals == std::string_view::npos ? "" : part.substr(equals + 1);
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
    return {};
}

std::uint64_t parse_number(std::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

} // namespace

kv_server::kv_server(event_loop& loop, std::string address, std::uint16_t port)
    : loop_(loop), http_server_(loop,
                                http_server_options{.name_ = "store",
                                                    .address_ = std::move(address),
                                                    .port_ = port,
                                                    .max_body_bytes_ = max_value,
                                                    .idle_timeout_s_ = 0},
                                [this](const exchange_ptr& item) { handle(item); }),
      ticker_(loop, [this] { tick(); })
{
}

bool kv_server::start()
{
    ticker_.repeat(tick_period);
    return http_server_.start();
}

std::uint16_t kv_server::port() const
{
    return http_server_.port();
}

void kv_server::handle(const exchange_ptr& item)
{
    const std::string_view path = path_without_query(item->request().target_);
    if (path == "/fault" || path == "/calls" || path == "/lapse")
    {
        handle_control(item, path);
        return;
    }
    if (faults_.down_)
    {
        reply(item, json_response(500, "\"down\""));
        return;
    }
    constexpr std::string_view kv = "/v1/kv/";
    constexpr std::string_view sessions = "/v1/session/";
    if (path.starts_with(kv))
    {
        handle_kv(item, path.substr(kv.size()));
    }
    else if (path.starts_with(sessions))
    {
        handle_session(item, path.substr(sessions.size()));
    }
    else
    {
        reply(item, json_response(404, "\"no such path\""));
    }
}

void kv_server::handle_control(const exchange_ptr& item, std::string_view path)
{
    if (path == "/fault")
    {
        const json body = json::parse(item->request().body_, nullptr, false);
        faults_.down_ = body.value("down", faults_.down_);
        faults_.delay_ms_ = body.value("delay_ms", faults_.delay_ms_);
        faults_.lose_replies_ = body.value("lose_replies", faults_.lose_replies_);
    }
    else if (path == "/lapse")
    {
        state_.advance(clock_.now() + std::chrono::hours(24 * 365));
    }
    const json calls{
        {"reads", calls_.reads_}, {"writes", calls_.writes_}, {"waits", calls_.waits_}};
    item->complete(json_response(200, calls.dump()));
}

void kv_server::handle_kv(const exchange_ptr& item, std::string_view key)
{
    if (item->request().method_ == "GET")
    {
        read(item, key);
    }
    else
    {
        write(item, key);
    }
}

void kv_server::handle_session(const exchange_ptr& item, std::string_view path)
{
    ++calls_.writes_;
    constexpr std::string_view renew = "renew/";
    if (path == "create")
    {
        const json body = json::parse(item->request().body_, nullptr, false);
        const auto seconds = parse_number(body.value("TTL", "60s"));
        const std::string id = state_.open_session(std::chrono::seconds(seconds), clock_.now());
        reply(item, json_response(200, json{{"ID", id}}.dump()));
        return;
    }
    const bool renewed =
        path.starts_with(renew) && state_.renew(path.substr(renew.size()), clock_.now());
    reply(item, json_response(renewed ? 200 : 404, renewed ? "[]" : "\"unknown session\""));
}

void kv_server::read(const exchange_ptr& item, std::string_view key)
{
    const std::string& target = item->request().target_;
    const bool recurse = target.find("recurse") != std::string::npos;
    const std::string_view known_index = query_argument(target, "index");
    if (!known_index.empty())
    {
        ++calls_.waits_;
        const auto wait = std::chrono::milliseconds(parse_number(query_argument(target, "wait")));
        waiters_.push_back(
            waiter{item, std::string(key), parse_number(known_index), clock_.now() + wait});
        notify_waiters();
        return;
    }
    ++calls_.reads_;
    reply(item, entries(key, recurse));
}

void kv_server::write(const exchange_ptr& item, std::string_view key)
{
    ++calls_.writes_;
    const request_message& request = item->request();
    if (request.method_ == "DELETE")
    {
        state_.remove(key);
        reply_write(item, "true");
    }
    else if (const auto session = query_argument(request.target_, "acquire"); !session.empty())
    {
        const bool written = state_.acquire(key, request.body_, session);
        reply_write(item, written ? "true" : "false");
    }
    else
    {
        const std::string_view expected = query_argument(request.target_, "cas");
        const auto index = expected.empty() ? std::nullopt : std::optional(parse_number(expected));
        const bool written = state_.put(key, request.body_, index);
        reply_write(item, written ? "true" : "false");
    }
    notify_waiters();
}

void kv_server::reply(const exchange_ptr& item, response_message response)
{
    if (faults_.delay_ms_ == 0)
    {
        item->complete(std::move(response));
        return;
    }
    run_after(loop_, std::chrono::milliseconds(faults_.delay_ms_),
              [item, delayed = std::move(response)] { item->complete(delayed); });
}

void kv_server::reply_write(const exchange_ptr& item, std::string_view body)
{
    if (faults_.lose_replies_ > 0)
    {
        --faults_.lose_replies_;
        reply(item, json_response(500, "\"lost\""));
        return;
    }
    reply(item, json_response(200, std::string(body)));
}

response_message kv_server::entries(std::string_view key, bool recurse) const
{
    json found = json::array();
    for (const auto& [name, value] : state_.values())
    {
        if (name == key || (recurse && name.starts_with(key)))
        {
            found.push_back({{"Key", name},
                             {"Value", encode_base64(value.value_)},
                             {"ModifyIndex", value.modify_index_},
                             {"Session", value.session_}});
        }
    }
    response_message response = json_response(found.empty() ? 404 : 200, found.dump());
    const std::uint64_t index = recurse ? state_.index() : state_.last_change_index(key);
    response.headers_.push_back(
        header{"X-Consul-Index", std::to_string(std::max<std::uint64_t>(index, 1))});
    return response;
}

void kv_server::notify_waiters()
{
    const instant now = clock_.now();
    for (auto it = waiters_.begin(); it != waiters_.end();)
    {
        const bool changed =
            std::max<std::uint64_t>(state_.last_change_index(it->key_), 1) != it->known_index_;
        if (!changed && now < it->until_ && !faults_.down_)
        {
            ++it;
            continue;
        }
        const waiter notified = *it;
        it = waiters_.erase(it);
        reply(notified.exchange_,
              faults_.down_ ? json_response(500, "\"down\"") : entries(notified.key_, false));
    }
}

void kv_server::tick()
{
    state_.advance(clock_.now());
    notify_waiters();
}

} // namespace bamboohoist::testing
