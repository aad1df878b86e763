#ifndef BAMBOOHOIST_TESTING_FAILING_STORE_HPP
#define BAMBOOHOIST_TESTING_FAILING_STORE_HPP

#include "core/clock.hpp"
#include "store/store_client.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace bamboohoist::testing {

/// A store that returns an error for every call, and records when lists were asked for.
class failing_store : public store_client
{
public:
    explicit failing_store(const clock_source& clock) : clock_(clock) {}

    void read(std::string_view, callback on_reply) override
    {
        fail(on_reply);
    }

    void list(std::string_view, callback on_reply) override
    {
        listed_at_.push_back(clock_.now());
        fail(on_reply);
    }

    void write(std::string_view, std::string_view, const store_condition&,
               callback on_reply) override
    {
        fail(on_reply);
    }

    void watch(std::string_view, std::uint64_t, duration, callback on_reply) override
    {
        fail(on_reply);
    }

    void remove(std::string_view, callback on_reply) override
    {
        fail(on_reply);
    }

    void remove_all(std::span<const std::string>, callback on_reply) override
    {
        fail(on_reply);
    }

    void open_session(std::string_view, duration, callback on_reply) override
    {
        fail(on_reply);
    }

    void renew_session(std::string_view, callback on_reply) override
    {
        fail(on_reply);
    }

    void write_lasting(std::string_view, std::string_view, callback on_reply) override
    {
        fail(on_reply);
    }

    void write_leased(std::string_view, std::string_view, std::string_view,
                      callback on_reply) override
    {
        fail(on_reply);
    }

    /// When each list was asked for, oldest first.
    std::span<const instant> listed_at() const
    {
        return listed_at_;
    }

private:
    static void fail(const callback& on_reply)
    {
        store_reply failed;
        failed.status_ = store_status::unavailable;
        on_reply(failed);
    }

    const clock_source& clock_;
    std::vector<instant> listed_at_;
};

} // namespace bamboohoist::testing

#endif
