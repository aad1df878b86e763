// Stand-in of the users' key-value store. It serves one state at two doors, so that some machines
// can be turned away while the others are served.
//
// Usage: store ADDRESS PORT_OF_DOOR_1 PORT_OF_DOOR_2 PORT_OF_CONTROL
// Control: PUT /config (the body is the operator's document); PUT /door/N/ok, /busy or /silent.

#include "http.hpp"

#include <array>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace {

using json = nlohmann::json;
using namespace review;

enum class door_state
{
    ok,
    busy,
    silent,
};

std::string encode_base64(std::string_view bytes)
{
    constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            const unsigned char byte = i + j < bytes.size() ? bytes[i + j] : 0;
            group = group << 8U | byte;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            const bool padding = i + j > bytes.size();
            text += padding ? '=' : letters[group >> (18 - 6 * j) & 63U];
        }
    }
    return text;
}

struct item
{
    std::string value_; ///< In base64.
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    std::uint64_t lease_ = 0;
};

/// An item as it was written, or its removal.
struct change
{
    std::uint64_t revision_ = 0;
    std::string key_;
    item item_;
    bool removed_ = false;
};

json item_json(const std::string& key, const item& stored)
{
    return {{"Key", key},
            {"Value", stored.value_},
            {"Revision", stored.revision_},
            {"CreatedRev", stored.created_},
            {"LeaseId", stored.lease_}};
}

http_response json_response(int status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

class store
{
public:
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        set(key, encode_base64(value), 0);
        changed_.notify_all();
    }

    void set_door(std::size_t door, door_state state)
    {
        const std::lock_guard lock(mutex_);
        doors_.at(door) = state;
    }

    http_response handle(std::size_t door, const http_request& request)
    {
        std::unique_lock lock(mutex_);
        if (doors_.at(door) == door_state::busy)
        {
            return json_response(503, json::object());
        }
        if (doors_.at(door) == door_state::silent)
        {
            http_response none;
            none.silent_ = true;
            return none;
        }
        const std::string path = request.target_.substr(0, request.target_.find('?'));
        if (path == "/v1/kv-key")
        {
            return read(query_argument(request.target_, "Key"));
        }
        if (path == "/v1/kv-range")
        {
            return range(query_argument(request.target_, "Prefix"));
        }
        if (path == "/v1/kv-watch")
        {
            return watch(request.target_, lock);
        }
        if (path == "/v1/kv-txn")
        {
            return apply(json::parse(request.body_, nullptr, false));
        }
        if (path == "/v1/kv-lease")
        {
            leases_[++last_lease_] = true;
            const json body = json::parse(request.body_, nullptr, false);
            return json_response(200, {{"LeaseId", last_lease_}, {"Ttl", body.value("Ttl", "")}});
        }
        return lease_call(path);
    }

private:
    void set(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        item& stored = items_[key];
        stored.value_ = value;
        stored.revision_ = ++revision_;
        stored.created_ = stored.created_ == 0 ? revision_ : stored.created_;
        stored.lease_ = lease;
        changes_.push_back({revision_, key, stored, false});
    }

    void remove(const std::string& key)
    {
        if (items_.erase(key) > 0)
        {
            changes_.push_back({++revision_, key, {}, true});
        }
    }

    http_response read(const std::string& key) const
    {
        const auto found = items_.find(key);
        if (found == items_.end())
        {
            return json_response(404, json::object());
        }
        json body = item_json(key, found->second);
        body["At"] = revision_;
        return json_response(200, body);
    }

    http_response range(const std::string& prefix) const
    {
        json list = json::array();
        for (const auto& [key, stored] : items_)
        {
            if (key.starts_with(prefix))
            {
                list.push_back(item_json(key, stored));
            }
        }
        return json_response(200, {{"items", list}, {"HasMore", false}, {"At", revision_}});
    }

    http_response watch(const std::string& target, std::unique_lock<std::mutex>& lock)
    {
        const std::string prefix = query_argument(target, "Prefix");
        const auto after = std::strtoull(query_argument(target, "after").c_str(), nullptr, 10);
        const std::chrono::milliseconds wait(
            std::strtol(query_argument(target, "WaitMs").c_str(), nullptr, 10));
        json events = json::array();
        const auto collect = [&] {
            for (const change& entry : changes_)
            {
                if (entry.revision_ <= after || !entry.key_.starts_with(prefix))
                {
                    continue;
                }
                events.push_back(entry.removed_ ? json{{"Key", entry.key_},
                                                       {"Revision", entry.revision_},
                                                       {"Tombstone", true}}
                                                : item_json(entry.key_, entry.item_));
            }
            return !events.empty();
        };
        changed_.wait_for(lock, wait, collect);
        return json_response(200, {{"events", events}, {"At", revision_}});
    }

    http_response apply(const json& transaction)
    {
        if (!transaction.is_object())
        {
            return json_response(400, json::object());
        }
        for (const json& row : transaction.value("ExpectedRev", json::array()))
        {
            const auto found = items_.find(row.value("Key", ""));
            const std::uint64_t present = found == items_.end() ? 0 : found->second.revision_;
            if (present != row.value("Revision", std::uint64_t{0}))
            {
                return json_response(412, {{"items", json::array()}});
            }
        }
        const json sets = transaction.value("SetKeys", json::array());
        for (const json& row : sets)
        {
            const auto lease = row.value("LeaseId", std::uint64_t{0});
            if (lease != 0 && !leases_.contains(lease))
            {
                return json_response(404, json::object());
            }
        }
        for (const json& row : sets)
        {
            set(row.value("Key", ""), row.value("Value", ""),
                row.value("LeaseId", std::uint64_t{0}));
        }
        for (const json& key : transaction.value("Remove", json::array()))
        {
            remove(key.get<std::string>());
        }
        changed_.notify_all();
        return json_response(200, {{"Revision", revision_}});
    }

    http_response lease_call(const std::string& path)
    {
        const auto lease = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (!leases_.contains(lease))
        {
            return json_response(404, json::object());
        }
        if (path.starts_with("/v1/kv-lease-end/"))
        {
            leases_.erase(lease);
            std::vector<std::string> ended;
            for (const auto& [key, stored] : items_)
            {
                if (stored.lease_ == lease)
                {
                    ended.push_back(key);
                }
            }
            for (const std::string& key : ended)
            {
                remove(key);
            }
            changed_.notify_all();
        }
        return json_response(200, json::object());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> changes_;
    std::map<std::uint64_t, bool> leases_;
    std::uint64_t last_lease_ = 77'000;
    std::uint64_t revision_ = 1;
    std::array<door_state, 2> doors_{door_state::ok, door_state::ok};
};

http_response control(store& contents, const http_request& request)
{
    const std::string& path = request.target_;
    if (path == "/config")
    {
        contents.put("op/config", request.body_);
        return {};
    }
    if (path.size() > 8 && path.starts_with("/door/"))
    {
        const std::string state = path.substr(8);
        contents.set_door(path[6] == '1' ? 0 : 1, state == "busy"     ? door_state::busy
                                                  : state == "silent" ? door_state::silent
                                                                      : door_state::ok);
        return {};
    }
    return {404, {}, ""};
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::fprintf(stderr, "usage: store ADDRESS DOOR_1 DOOR_2 CONTROL\n");
        return 2;
    }
    store contents;
    const std::string address = argv[1];
    bool started = true;
    for (std::size_t door = 0; door < 2; ++door)
    {
        started &=
            serve(address, std::atoi(argv[2 + door]), [&contents, door](const http_request& call) {
                return contents.handle(door, call);
            });
    }
    started &= serve(address, std::atoi(argv[4]),
                     [&contents](const http_request& call) { return control(contents, call); });
    if (!started)
    {
        std::fprintf(stderr, "store: cannot listen\n");
        return 2;
    }
    ::pause();
}
