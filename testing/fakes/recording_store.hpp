#ifndef BAMBOOHOIST_TESTING_RECORDING_STORE_HPP
#define BAMBOOHOIST_TESTING_RECORDING_STORE_HPP

#include "store/store_client.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohoist::testing {

/// A value that a node has written.
struct recorded_write
{
    std::string key_;
    std::string value_;
    std::string session_; ///< Empty for a lasting value.
};

/// A store that records leased and lasting writes and confirms them only on request. It opens every
/// session, lists what the test has set, and holds no value that can be read.
class recording_store : public store_client
{
public:
    void read(std::string_view, callback on_reply) override
    {
        reply(on_reply, store_status::absent);
    }

    void list(std::string_view prefix, callback on_reply) override
    {
        store_reply found;
        if (lists_fail_)
        {
            on_reply(found);
            return;
        }
        found.status_ = store_status::ok;
        std::ranges::copy_if(
            entries_, std::back_inserter(found.entries_),
            [prefix](const store_entry& entry) { return entry.key_.starts_with(prefix); });
        on_reply(found);
    }

    void write(std::string_view, std::string_view, const store_condition&,
               callback on_reply) override
    {
        reply(on_reply, store_status::unavailable);
    }

    void watch(std::string_view, std::uint64_t, duration, callback on_reply) override
    {
        reply(on_reply, store_status::unavailable);
    }

    void remove(std::string_view, callback on_reply) override
    {
        ++removals_;
        reply(on_reply, store_status::ok);
    }

    void remove_all(std::span<const std::string> keys, callback on_reply) override
    {
        std::erase_if(entries_, [keys](const store_entry& entry) {
            return std::ranges::find(keys, entry.key_) != keys.end();
        });
        reply(on_reply, store_status::ok);
    }

    void open_session(std::string_view, duration, callback on_reply) override
    {
        store_reply opened;
        opened.status_ = store_status::ok;
        opened.text_ = "session-" + std::to_string(++sessions_);
        on_reply(opened);
    }

    void renew_session(std::string_view, callback on_reply) override
    {
        reply(on_reply, store_status::ok);
    }

    void write_lasting(std::string_view key, std::string_view value, callback on_reply) override
    {
        write_leased(key, value, "", std::move(on_reply));
    }

    void write_leased(std::string_view key, std::string_view value, std::string_view session,
                      callback on_reply) override
    {
        writes_.push_back({std::string(key), std::string(value), std::string(session)});
        unanswered_.push_back(std::move(on_reply));
    }

    /// Answers all writes that have no reply yet.
    void answer_writes(store_status status)
    {
        for (const callback& on_reply : std::exchange(unanswered_, {}))
        {
            reply(on_reply, status);
        }
    }

    /// The writes of keys with this prefix, oldest first.
    std::vector<recorded_write> writes(std::string_view prefix) const
    {
        std::vector<recorded_write> selected;
        std::ranges::copy_if(
            writes_, std::back_inserter(selected),
            [prefix](const recorded_write& write) { return write.key_.starts_with(prefix); });
        return selected;
    }

    std::size_t sessions() const
    {
        return sessions_;
    }

    std::size_t removals() const
    {
        return removals_;
    }

    /// From now on the store rejects lists, or no longer.
    void set_lists_fail(bool lists_fail)
    {
        lists_fail_ = lists_fail;
    }

    /// Adds a value that `list()` finds.
    void add_entry(std::string key, std::string value)
    {
        entries_.push_back({std::move(key), std::move(value), 1});
    }

    /// The keys that `list()` finds.
    std::vector<std::string> keys() const
    {
        std::vector<std::string> found;
        std::ranges::transform(entries_, std::back_inserter(found), &store_entry::key_);
        return found;
    }

private:
    static void reply(const callback& on_reply, store_status status)
    {
        store_reply made;
        made.status_ = status;
        on_reply(made);
    }

    std::vector<store_entry> entries_;
    std::vector<recorded_write> writes_;
    std::vector<callback> unanswered_;
    std::size_t sessions_ = 0;
    std::size_t removals_ = 0;
    bool lists_fail_ = false;
};

} // namespace bamboohoist::testing

#endif
