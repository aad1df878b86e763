#include "core/memory_account.hpp"

#include <array>
#include <doctest/doctest.h>
#include <thread>

using namespace bamboohoist;

namespace {

constexpr std::size_t capacity = 8U << 20U;
constexpr std::size_t mib = 1U << 20U;

} // namespace

// Guards against unfinished uploads that leave no memory for requests that have arrived.
TEST_CASE("uploads get half of the capacity and responses a quarter")
{
    memory_account account(capacity);
    memory_charge uploads(account, memory_use::upload);
    CHECK(uploads.try_resize(4 * mib));
    CHECK_FALSE(uploads.try_resize(4 * mib + 1));
    memory_charge responses(account, memory_use::response);
    CHECK(responses.try_resize(2 * mib));
    CHECK_FALSE(responses.try_resize(2 * mib + 1));
    CHECK(account.used() == 6 * mib);
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST_CASE("small bodies have a reserve that large ones do not get")
{
    memory_account account(capacity);
    memory_charge transit(account, memory_use::transit);
    CHECK_FALSE(transit.try_resize(capacity));
    CHECK(transit.try_resize(7 * mib));
    memory_charge large(account, memory_use::transit);
    CHECK_FALSE(large.try_resize(20'000));
    memory_charge small(account, memory_use::upload);
    CHECK(small.try_resize(memory_account::small_body_bytes));
    CHECK(account.has_room(memory_use::transit, 2000));
    CHECK_FALSE(account.has_room(memory_use::transit, 20'000));
}

// Guards against bytes that stay charged after their body is gone.
TEST_CASE("a charge follows its body and ends with it")
{
    memory_account account(capacity);
    {
        memory_charge first(account, memory_use::upload);
        first.resize(3 * mib);
        memory_charge second(std::move(first));
        second.set_use(memory_use::transit);
        CHECK(account.used() == 3 * mib);
        CHECK(account.has_room(memory_use::upload, 4 * mib));
        second.resize(mib);
        CHECK(account.used() == mib);
    }
    CHECK(account.used() == 0);
}

// Guards against an account that drifts when threads charge at the same time.
TEST_CASE("charges of several threads never exceed the capacity and end at zero")
{
    memory_account account(capacity);
    std::array<std::thread, 4> threads;
    for (std::thread& thread : threads)
    {
        thread = std::thread([&account] {
            for (int round = 0; round < 10'000; ++round)
            {
                memory_charge charge(account, memory_use::transit);
                charge.try_resize(3 * mib);
            }
        });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(account.used() == 0);
}
