#include "harness/wait_for.hpp"

#include <future>

namespace bamboohoist::testing {

bool wait_for(const std::function<bool()>& condition, duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= deadline)
        {
            return false;
        }
        std::promise<void> never;
        never.get_future().wait_for(std::chrono::milliseconds(10));
    }
    return true;
}

} // namespace bamboohoist::testing
