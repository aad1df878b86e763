#include "stand_in/kv_state.hpp"

namespace bamboohoist::testing {

const std::map<std::string, kv_value, std::less<>>& kv_state::values() const
{
    return values_;
}

const kv_value* kv_state::find(std::string_view key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? nullptr : &found->second;
}

std::uint64_t kv_state::index() const
{
    return index_;
}

std::uint64_t kv_state::last_change_index(std::string_view key) const
{
    const auto found = change_indexes_.find(key);
    return found == change_indexes_.end() ? 0 : found->second;
}

bool kv_state::put(std::string_view key, std::string value, std::optional<std::uint64_t> expected)
{
    const kv_value* existing = find(key);
    if (expected && *expected != (existing == nullptr ? 0 : existing->modify_index_))
    {
        return false;
    }
    kv_value& stored = values_[std::string(key)];
    stored.value_ = std::move(value);
    stored.modify_index_ = ++index_;
    change_indexes_[std::string(key)] = index_;
    return true;
}

bool kv_state::acquire(std::string_view key, std::string value, std::string_view session)
{
    const kv_value* existing = find(key);
    const bool held =
        existing != nullptr && !existing->session_.empty() && existing->session_ != session;
    if (!sessions_.contains(session) || held)
    {
        return false;
    }
    put(key, std::move(value), std::nullopt);
    values_[std::string(key)].session_ = std::string(session);
    return true;
}

void kv_state::remove(std::string_view key)
{
    const auto found = values_.find(key);
    if (found != values_.end())
    {
        values_.erase(found);
        change_indexes_[std::string(key)] = ++index_;
    }
}

std::string kv_state::open_session(duration time_to_live, instant now)
{
    std::string name = "session-" + std::to_string(next_session_++);
    sessions_.emplace(name, session{time_to_live, now});
    return name;
}

bool kv_state::renew(std::string_view name, instant now)
{
    const auto found = sessions_.find(name);
    if (found == sessions_.end())
    {
        return false;
    }
    found->second.renewed_ = now;
    return true;
}

void kv_state::end_session(std::string_view name)
{
    const auto found = sessions_.find(name);
    if (found == sessions_.end())
    {
        return;
    }
    std::vector<std::string> held;
    for (const auto& [key, value] : values_)
    {
        if (value.session_ == name)
        {
            held.push_back(key);
        }
    }
    for (const std::string& key : held)
    {
        remove(key);
    }
    sessions_.erase(found);
}

void kv_state::advance(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [name, entry] : sessions_)
    {
        if (now - entry.renewed_ > entry.time_to_live_)
        {
            expired.push_back(name);
        }
    }
    for (const std::string& name : expired)
    {
        end_session(name);
    }
}

} // namespace bamboohoist::testing
