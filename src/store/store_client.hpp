#ifndef BAMBOOHOIST_STORE_STORE_CLIENT_HPP
#define BAMBOOHOIST_STORE_STORE_CLIENT_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// The result of a call to the store.
enum class store_status
{
    ok,
    absent,      ///< A read found no value.
    conflict,    ///< A write was refused because the value had changed.
    unavailable, ///< No usable reply; a write may or may not have taken effect.
};

/// A value of the store with the index that a conditional write must match.
struct store_entry
{
    std::string key_;
    std::string value_;
    std::uint64_t index_ = 0; ///< Modification index, never 0 for a stored value.
};

/// What a conditional write requires of the stored value, as found in an earlier reply. A store
/// that was restored from an older copy issues its indices again, so an index is valid only in the
/// era of the reply that it comes from.
struct store_condition
{
    std::uint64_t index_ = 0;          ///< 0 means that the key does not exist yet.
    std::optional<std::uint64_t> era_; ///< Empty: valid in every era.
};

/// The reply of the store to one call.
struct store_reply
{
    store_status status_ = store_status::unavailable;
    std::vector<store_entry> entries_; ///< One for `read` and `watch`, any number for `list`.
    std::uint64_t index_ = 0;          ///< For the next `watch`.
    std::optional<std::uint64_t> era_; ///< Of the entries; empty for a store that names no eras.
    std::string text_;      ///< The new session's identifier; the reason when unavailable.
    bool has_more_ = false; ///< More pages of the `list` follow.
    std::string last_key_;  ///< Of this page of the `list`, also when its entry is unreadable.
};

/// An increase of a store's era: the store was restored from an older copy.
struct store_era_change
{
    std::uint64_t former_ = 0;
    std::uint64_t present_ = 0;
};

/// Receives what a store tells apart from the replies to calls.
class store_listener
{
public:
    virtual ~store_listener() = default;

    /// Writes that the store had confirmed may be lost, leases included, and indices that it has
    /// returned may come again for other values. Runs once for each increase of the era that is
    /// seen, before any reply of the new era.
    virtual void on_writes_lost(const store_era_change& change) = 0;
};

/// A client of the key-value store. Calls never block; callbacks run on the caller's event loop.
class store_client
{
public:
    using callback = std::function<void(store_reply)>;

    virtual ~store_client() = default;

    /// The listener has to outlive the client's calls. Stores that name no eras never call it.
    void set_listener(store_listener& listener)
    {
        listener_ = &listener;
    }

    virtual void read(std::string_view key, callback on_reply) = 0;

    virtual void list(std::string_view prefix, callback on_reply) = 0;

    /// Writes if the stored value still meets the condition. A condition of an older era than the
    /// store's present one is a conflict.
    virtual void write(std::string_view key, std::string_view value,
                       const store_condition& expected, callback on_reply) = 0;

    /// Replies once the value's index differs from `known_index`, or after `wait`.
    virtual void watch(std::string_view key, std::uint64_t known_index, duration wait,
                       callback on_reply) = 0;

    virtual void remove(std::string_view key, callback on_reply) = 0;

    /// Removes several keys with as few calls as the store allows, until one fails.
    virtual void remove_all(std::span<const std::string> keys, callback on_reply) = 0;

    /// Opens a session that ends when it is not renewed within `time_to_live`.
    virtual void open_session(std::string_view name, duration time_to_live, callback on_reply) = 0;

    virtual void renew_session(std::string_view session, callback on_reply) = 0;

    /// Writes a value that stays until it is removed, whatever the key has now.
    virtual void write_lasting(std::string_view key, std::string_view value, callback on_reply) = 0;

    /// Writes a value that is deleted when the session ends. Sessions may end together, and at any
    /// moment while the store is not available.
    virtual void write_leased(std::string_view key, std::string_view value,
                              std::string_view session, callback on_reply) = 0;

protected:
    void notify_writes_lost(const store_era_change& change)
    {
        if (listener_ != nullptr)
        {
            listener_->on_writes_lost(change);
        }
    }

private:
    store_listener* listener_ = nullptr;
};

} // namespace bamboohoist

#endif
