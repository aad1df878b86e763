#include "stand_in/platform_store.hpp"

#include "store/base64.hpp"

#include <algorithm>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration tick_period = std::chrono::milliseconds(50);
constexpr std::size_t max_transaction_entries = 32;

std::string query_argument(std::string_view target, std::string_view name)
{
    const std::string prefix = std::string(name) + "=";
    const auto question = target.find('?');
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty())
    {
        const std::string_view part = query.substr(0, query.find('&'));
        if (part.starts_with(prefix))
        {
            return std::string(part.substr(prefix.size()));
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

platform_store::platform_store(event_loop& loop)
    : http_server_(loop,
                   http_server_options{
                       .name_ = "platform-store", .address_ = "127.0.0.1", .idle_timeout_s_ = 0},
                   [this](const exchange_ptr& call) { handle(call); }),
      ticker_(loop, [this] { notify_waiters(); })
{
}

bool platform_store::start()
{
    ticker_.repeat(tick_period);
    return http_server_.start();
}

void platform_store::stop()
{
    ticker_.cancel();
    waiters_.clear();
    http_server_.stop();
}

std::string platform_store::address() const
{
    return "127.0.0.1:" + std::to_string(http_server_.port());
}

void platform_store::put(std::string_view key, std::string_view value)
{
    contents_.items_.insert_or_assign(std::string(key),
                                      item{std::string(value), ++contents_.revision_, 0});
    notify_waiters();
}

void platform_store::set_failure_status(int status)
{
    failure_status_ = status;
}

void platform_store::compact_history()
{
    contents_.compacted_revision_ = contents_.revision_ + 1;
    ++contents_.revision_;
    notify_waiters();
}

void platform_store::revoke_leases()
{
    contents_.leases_.clear();
    std::erase_if(contents_.items_, [this](const auto& pair) {
        const bool leased = pair.second.lease_ != 0;
        if (leased)
        {
            contents_.tombstones_[pair.first] = ++contents_.revision_;
        }
        return leased;
    });
    notify_waiters();
}

void platform_store::save_copy()
{
    copy_ = contents_;
}

void platform_store::restore_copy()
{
    contents_ = copy_;
    ++era_;
    notify_waiters();
}

std::uint64_t platform_store::revision() const
{
    return contents_.revision_;
}

void platform_store::set_names_era(bool names_era)
{
    names_era_ = names_era;
}

bool platform_store::contains(std::string_view key) const
{
    return contents_.items_.contains(key);
}

bool platform_store::holds(std::string_view prefix, std::string_view text) const
{
    return std::ranges::any_of(contents_.items_, [&](const auto& pair) {
        return pair.first.starts_with(prefix) && pair.second.value_.find(text) != std::string::npos;
    });
}

std::size_t platform_store::calls() const
{
    return calls_;
}

void platform_store::handle(const exchange_ptr& call)
{
    ++calls_;
    const request_message& request = call->request();
    const std::string_view path = path_without_query(request.target_);
    if (failure_status_ != 0)
    {
        respond(call, json_response(failure_status_, "{}"));
    }
    else if (path == "/v1/kv-range")
    {
        respond(call, range(query_argument(request.target_, "Prefix")));
    }
    else if (path == "/v1/kv-watch")
    {
        watch(call);
    }
    else if (path == "/v1/kv-txn")
    {
        respond(call, apply_transaction(request.body_));
    }
    else if (path == "/v1/kv-lease")
    {
        contents_.leases_[contents_.next_lease_] = true;
        const json reply{{"LeaseId", contents_.next_lease_++}, {"Ttl", "600000ms"}};
        respond(call, json_response(200, reply.dump()));
    }
    else if (path.starts_with("/v1/kv-keep/"))
    {
        const bool known =
            contents_.leases_.contains(parse_number(path.substr(path.rfind('/') + 1)));
        respond(call, json_response(known ? 200 : 404, "{}"));
    }
    else
    {
        respond(call, json_response(404, "{}"));
    }
}

response_message platform_store::range(std::string_view prefix) const
{
    json list = json::array();
    for (const auto& [key, value] : contents_.items_)
    {
        if (key.starts_with(prefix))
        {
            list.push_back({{"Key", key},
                            {"Value", encode_base64(value.value_)},
                            {"Revision", value.revision_},
                            {"LeaseId", value.lease_}});
        }
    }
    const json body{{"items", std::move(list)}, {"HasMore", false}, {"At", contents_.revision_}};
    return json_response(200, body.dump());
}

response_message platform_store::apply_transaction(std::string_view body)
{
    const json transaction = json::parse(body);
    std::size_t entries = 0;
    for (const std::string_view part : {"ExpectedRev", "SetKeys", "Remove"})
    {
        entries += transaction.value(part, json::array()).size();
    }
    if (entries > max_transaction_entries)
    {
        return json_response(400, "{}");
    }
    for (const json& row : transaction.value("ExpectedRev", json::array()))
    {
        const auto found = contents_.items_.find(row["Key"].get<std::string>());
        const std::uint64_t present = found == contents_.items_.end() ? 0 : found->second.revision_;
        if (present != row["Revision"].get<std::uint64_t>())
        {
            return json_response(412, "{\"items\":[]}");
        }
    }
    for (const json& row : transaction.value("SetKeys", json::array()))
    {
        const std::uint64_t lease = row.value("LeaseId", std::uint64_t{0});
        if (lease != 0 && !contents_.leases_.contains(lease))
        {
            return json_response(404, "{}");
        }
        const auto value = decode_base64(row["Value"].get<std::string>()).value_or("");
        contents_.items_.insert_or_assign(row["Key"].get<std::string>(),
                                          item{value, ++contents_.revision_, lease});
    }
    for (const json& key : transaction.value("Remove", json::array()))
    {
        if (contents_.items_.erase(key.get<std::string>()) > 0)
        {
            contents_.tombstones_[key.get<std::string>()] = ++contents_.revision_;
        }
    }
    notify_waiters();
    return json_response(200, json{{"Revision", contents_.revision_}}.dump());
}

void platform_store::watch(const exchange_ptr& call)
{
    const std::string& target = call->request().target_;
    waiter added;
    added.exchange_ = call;
    added.prefix_ = query_argument(target, "Prefix");
    added.after_ = parse_number(query_argument(target, "after"));
    added.until_ =
        clock_.now() + std::chrono::milliseconds(parse_number(query_argument(target, "WaitMs")));
    waiters_.push_back(std::move(added));
    notify_waiters();
}

void platform_store::respond(const exchange_ptr& call, response_message response) const
{
    if (names_era_)
    {
        response.headers_.push_back(header{"Store-Era", std::to_string(era_)});
    }
    call->complete(std::move(response));
}

json platform_store::events(std::string_view prefix, std::uint64_t after) const
{
    json list = json::array();
    for (const auto& [key, value] : contents_.items_)
    {
        if (key.starts_with(prefix) && value.revision_ > after)
        {
            list.push_back({{"Key", key},
                            {"Value", encode_base64(value.value_)},
                            {"Revision", value.revision_}});
        }
    }
    for (const auto& [key, revision] : contents_.tombstones_)
    {
        if (key.starts_with(prefix) && revision > after && !contents_.items_.contains(key))
        {
            list.push_back({{"Key", key}, {"Revision", revision}, {"Tombstone", true}});
        }
    }
    return list;
}

void platform_store::notify_waiters()
{
    std::erase_if(waiters_, [this](const waiter& entry) {
        const bool has_revision =
            entry.after_ >= contents_.compacted_revision_ && entry.after_ <= contents_.revision_;
        if (!has_revision)
        {
            respond(entry.exchange_, json_response(410, "{}"));
            return true;
        }
        json list = events(entry.prefix_, entry.after_);
        if (list.empty() && clock_.now() < entry.until_)
        {
            return entry.exchange_->closed();
        }
        const json body{{"events", std::move(list)}, {"At", contents_.revision_}};
        respond(entry.exchange_, json_response(200, body.dump()));
        return true;
    });
}

} // namespace bamboohoist::testing
