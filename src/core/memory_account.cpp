#include "core/memory_account.hpp"

#include <utility>

namespace bamboohoist {

namespace {

/// Divisors of the capacity, in the order of `memory_use`.
constexpr std::array<std::size_t, static_cast<std::size_t>(memory_use::count)> use_divisors{1, 2,
                                                                                            4};
constexpr std::size_t reserve_divisor = 8;

std::size_t index_of(memory_use use)
{
    return static_cast<std::size_t>(use);
}

} // namespace

memory_account::memory_account(std::size_t capacity) : capacity_(capacity) {}

bool memory_account::fits(memory_use use, std::size_t used, std::size_t used_for_it,
                          std::size_t total) const
{
    if (total <= small_body_bytes)
    {
        return used <= capacity_;
    }
    return used <= capacity_ - capacity_ / reserve_divisor &&
           used_for_it <= capacity_ / use_divisors[index_of(use)];
}

bool memory_account::try_charge(memory_use use, std::size_t growth, std::size_t total)
{
    // Charged before the check, so that two threads can't both take the last bytes.
    const std::size_t used = used_.fetch_add(growth, std::memory_order_relaxed) + growth;
    const std::size_t used_for_it =
        used_by_[index_of(use)].fetch_add(growth, std::memory_order_relaxed) + growth;
    if (fits(use, used, used_for_it, total))
    {
        return true;
    }
    release(use, growth);
    return false;
}

void memory_account::charge(memory_use use, std::size_t bytes)
{
    used_.fetch_add(bytes, std::memory_order_relaxed);
    used_by_[index_of(use)].fetch_add(bytes, std::memory_order_relaxed);
}

void memory_account::release(memory_use use, std::size_t bytes)
{
    used_.fetch_sub(bytes, std::memory_order_relaxed);
    used_by_[index_of(use)].fetch_sub(bytes, std::memory_order_relaxed);
}

bool memory_account::has_room(memory_use use, std::size_t bytes) const
{
    return fits(use, used() + bytes,
                used_by_[index_of(use)].load(std::memory_order_relaxed) + bytes, bytes);
}

std::size_t memory_account::used() const
{
    return used_.load(std::memory_order_relaxed);
}

std::size_t memory_account::capacity() const
{
    return capacity_;
}

memory_charge::memory_charge(memory_account& account, memory_use use)
    : account_(&account), use_(use)
{
}

memory_charge::~memory_charge()
{
    resize(0);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(other.account_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0))
{
}

bool memory_charge::try_resize(std::size_t bytes)
{
    if (bytes > bytes_ && !account_->try_charge(use_, bytes - bytes_, bytes))
    {
        return false;
    }
    if (bytes < bytes_)
    {
        account_->release(use_, bytes_ - bytes);
    }
    bytes_ = bytes;
    return true;
}

void memory_charge::resize(std::size_t bytes)
{
    if (bytes > bytes_)
    {
        account_->charge(use_, bytes - bytes_);
    }
    else if (bytes < bytes_)
    {
        account_->release(use_, bytes_ - bytes);
    }
    bytes_ = bytes;
}

void memory_charge::set_use(memory_use use)
{
    const std::size_t bytes = bytes_;
    resize(0);
    use_ = use;
    resize(bytes);
}

std::size_t memory_charge::bytes() const
{
    return bytes_;
}

} // namespace bamboohoist
