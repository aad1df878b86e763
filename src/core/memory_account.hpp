#ifndef BAMBOOHOIST_CORE_MEMORY_ACCOUNT_HPP
#define BAMBOOHOIST_CORE_MEMORY_ACCOUNT_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <limits>

namespace bamboohoist {

/// What accounted bytes are used for. Each use may take only a part of the capacity.
enum class memory_use
{
    transit,  ///< Bodies on their way between callers, nodes and targets.
    upload,   ///< Request bodies that are not complete. Half of the capacity.
    response, ///< Responses that their callers have not read. A quarter of the capacity.
    count,    ///< Number of uses; not a use.
};

/// The bytes that bodies hold in a process. All functions may be called from any thread and take no
/// lock.
class memory_account
{
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max() / 2;
    /// Bodies up to this size may use the reserve, an eighth of the capacity that larger ones don't
    /// get.
    static constexpr std::size_t small_body_bytes = 16384;

    explicit memory_account(std::size_t capacity = unlimited);

    /// Charges the growth of a body to `total` bytes. Charges nothing and returns false when it
    /// does not fit.
    bool try_charge(memory_use use, std::size_t growth, std::size_t total);

    /// Charges bytes that are already held.
    void charge(memory_use use, std::size_t bytes);
    void release(memory_use use, std::size_t bytes);

    /// True when a body of this size would fit now.
    bool has_room(memory_use use, std::size_t bytes) const;

    std::size_t used() const;
    std::size_t capacity() const;

private:
    bool fits(memory_use use, std::size_t used, std::size_t used_for_it, std::size_t total) const;

    std::size_t capacity_;
    std::atomic<std::size_t> used_ = 0;
    std::array<std::atomic<std::size_t>, static_cast<std::size_t>(memory_use::count)> used_by_{};
};

/// The bytes that one body holds in an account. Releases them when it is destroyed.
class memory_charge
{
public:
    memory_charge(memory_account& account, memory_use use);
    ~memory_charge();

    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) = delete;
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    /// Sets the number of bytes held, as far as a growth fits; false when it does not.
    bool try_resize(std::size_t bytes);

    /// Sets the number of bytes held, also when they do not fit.
    void resize(std::size_t bytes);

    /// Holds the bytes for another use from now on.
    void set_use(memory_use use);

    std::size_t bytes() const;

private:
    memory_account* account_;
    memory_use use_;
    std::size_t bytes_ = 0;
};

} // namespace bamboohoist

#endif
