#include "stand_in/platform_store.hpp"

#include "store/base64.hpp"

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration tick_period = std::chrono::milliseconds(50);

std::string argument(std::string_view target, std::string_view name)
{
    const std::string wanted = std::string(name) + "=";
    const auto question = target.find('?');
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty())
    {
        const std::string_view part = query.substr(0, query.find('&'));
        if (part.starts_with(wanted))
        {
            return std::string(part.substr(wanted.size()));
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
    return {};
}

std::uint64_t number(std::string_view text)
{
    return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

} // namespace

platform_store::platform_store(event_loop& loop)
    : front_(loop,
             http_server_options{
                 .name_ = "platform-store", .address_ = "127.0.0.1", .idle_timeout_s_ = 0},
             [this](const exchange_ptr& call) { handle(call); }),
      ticker_(loop, [this] { wake(); })
{
}

bool platform_store::start()
{
    ticker_.repeat(tick_period);
    return front_.start();
}

void platform_store::stop()
{
    ticker_.cancel();
    waiters_.clear();
    front_.stop();
}

std::string platform_store::address() const
{
    return "127.0.0.1:" + std::to_string(front_.port());
}

void platform_store::put(std::string_view key, std::string_view value)
{
    items_.insert_or_assign(std::string(key), item{std::string(value), ++revision_, 0});
    wake();
}

void platform_store::set_failure_status(int status)
{
    refusal_ = status;
}

void platform_store::compact_history()
{
    history_from_ = revision_ + 1;
    ++revision_;
    wake();
}

void platform_store::revoke_leases()
{
    leases_.clear();
    std::erase_if(items_, [this](const auto& pair) {
        const bool leased = pair.second.lease_ != 0;
        if (leased)
        {
            tombstones_[pair.first] = ++revision_;
        }
        return leased;
    });
    wake();
}

bool platform_store::contains(std::string_view key) const
{
    return items_.contains(key);
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
    if (refusal_ != 0)
    {
        call->complete(json_response(refusal_, "{}"));
    }
    else if (path == "/v1/kv-range")
    {
        call->complete(range(argument(request.target_, "Prefix")));
    }
    else if (path == "/v1/kv-watch")
    {
        watch(call);
    }
    else if (path == "/v1/kv-txn")
    {
        call->complete(transact(request.body_));
    }
    else if (path == "/v1/kv-lease")
    {
        leases_[next_lease_] = true;
        const json reply{{"LeaseId", next_lease_++}, {"Ttl", "600000ms"}};
        call->complete(json_response(200, reply.dump()));
    }
    else if (path.starts_with("/v1/kv-keep/"))
    {
        const bool known = leases_.contains(number(path.substr(path.rfind('/') + 1)));
        call->complete(json_response(known ? 200 : 404, "{}"));
    }
    else
    {
        call->complete(json_response(404, "{}"));
    }
}

response_message platform_store::range(std::string_view prefix) const
{
    json list = json::array();
    for (const auto& [key, value] : items_)
    {
        if (key.starts_with(prefix))
        {
            list.push_back({{"Key", key},
                            {"Value", encode_base64(value.value_)},
                            {"Revision", value.revision_},
                            {"LeaseId", value.lease_}});
        }
    }
    const json body{{"items", std::move(list)}, {"HasMore", false}, {"At", revision_}};
    return json_response(200, body.dump());
}

response_message platform_store::transact(std::string_view body)
{
    const json wanted = json::parse(body);
    for (const json& row : wanted.value("ExpectedRev", json::array()))
    {
        const auto found = items_.find(row["Key"].get<std::string>());
        const std::uint64_t present = found == items_.end() ? 0 : found->second.revision_;
        if (present != row["Revision"].get<std::uint64_t>())
        {
            return json_response(412, "{\"items\":[]}");
        }
    }
    for (const json& row : wanted.value("SetKeys", json::array()))
    {
        const std::uint64_t lease = row.value("LeaseId", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease))
        {
            return json_response(404, "{}");
        }
        const auto value = decode_base64(row["Value"].get<std::string>()).value_or("");
        items_.insert_or_assign(row["Key"].get<std::string>(), item{value, ++revision_, lease});
    }
    for (const json& key : wanted.value("Remove", json::array()))
    {
        if (items_.erase(key.get<std::string>()) > 0)
        {
            tombstones_[key.get<std::string>()] = ++revision_;
        }
    }
    wake();
    return json_response(200, json{{"Revision", revision_}}.dump());
}

void platform_store::watch(const exchange_ptr& call)
{
    const std::string& target = call->request().target_;
    waiter added;
    added.exchange_ = call;
    added.prefix_ = argument(target, "Prefix");
    added.after_ = number(argument(target, "after"));
    added.until_ = clock_.now() + std::chrono::milliseconds(number(argument(target, "WaitMs")));
    waiters_.push_back(std::move(added));
    wake();
}

json platform_store::events(std::string_view prefix, std::uint64_t after) const
{
    json list = json::array();
    for (const auto& [key, value] : items_)
    {
        if (key.starts_with(prefix) && value.revision_ > after)
        {
            list.push_back({{"Key", key},
                            {"Value", encode_base64(value.value_)},
                            {"Revision", value.revision_}});
        }
    }
    for (const auto& [key, revision] : tombstones_)
    {
        if (key.starts_with(prefix) && revision > after && !items_.contains(key))
        {
            list.push_back({{"Key", key}, {"Revision", revision}, {"Tombstone", true}});
        }
    }
    return list;
}

void platform_store::wake()
{
    std::erase_if(waiters_, [this](const waiter& entry) {
        if (entry.after_ < history_from_)
        {
            entry.exchange_->complete(json_response(410, "{}"));
            return true;
        }
        json list = events(entry.prefix_, entry.after_);
        if (list.empty() && clock_.now() < entry.until_)
        {
            return entry.exchange_->closed();
        }
        const json body{{"events", std::move(list)}, {"At", revision_}};
        entry.exchange_->complete(json_response(200, body.dump()));
        return true;
    });
}

} // namespace bamboohoist::testing
