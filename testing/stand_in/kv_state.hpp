#ifndef BAMBOOHOIST_TESTING_KV_STATE_HPP
#define BAMBOOHOIST_TESTING_KV_STATE_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist::testing {

/// A stored value of the stand-in store.
struct kv_value
{
    std::string value_;
    std::uint64_t modify_index_ = 0; ///< Index of the last change.
    std::string session_;            ///< The session that has locked the value, or empty.
};

/// The contents of the stand-in store: values, sessions and one increasing index.
class kv_state
{
public:
    const std::map<std::string, kv_value, std::less<>>& values() const;
    const kv_value* find(std::string_view key) const;
    std::uint64_t index() const;

    /// The index of the last change of a key, its removal included.
    std::uint64_t last_change_index(std::string_view key) const;

    bool put(std::string_view key, std::string value, std::optional<std::uint64_t> expected);
    bool acquire(std::string_view key, std::string value, std::string_view session);
    void remove(std::string_view key);

    std::string open_session(duration time_to_live, instant now);
    bool renew(std::string_view session, instant now);
    void end_session(std::string_view session);

    /// Ends the sessions that were not renewed in time.
    void advance(instant now);

private:
    struct session
    {
        duration time_to_live_;
        instant renewed_;
    };

    std::uint64_t index_ = 1;
    std::uint64_t next_session_ = 1;
    std::map<std::string, kv_value, std::less<>> values_;
    std::map<std::string, std::uint64_t, std::less<>> change_indexes_;
    std::map<std::string, session, std::less<>> sessions_;
};

} // namespace bamboohoist::testing

#endif
