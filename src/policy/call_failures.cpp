#include "policy/call_failures.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// A target that fails because of a failed call responds within this time of the failure.
constexpr duration max_propagation_time = std::chrono::milliseconds(100);

} // namespace

void call_failures::record(std::string_view service, instant now)
{
    const std::scoped_lock lock(mutex_);
    failures_[next_ % max_failures] = failure{hash_text(service), now};
    ++next_;
}

bool call_failures::attribute_error(std::string_view service, instant now)
{
    const std::scoped_lock lock(mutex_);
    const std::uint64_t own = hash_text(service);
    const auto found = std::ranges::find_if(failures_, [&](const failure& item) {
        return item.at_ != instant{} && item.service_ != own &&
               now - item.at_ < max_propagation_time;
    });
    if (found == failures_.end())
    {
        return false;
    }
    found->at_ = instant{};
    return true;
}

} // namespace bamboohoist
