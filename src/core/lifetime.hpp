#ifndef BAMBOOHOIST_CORE_LIFETIME_HPP
#define BAMBOOHOIST_CORE_LIFETIME_HPP

#include "core/ref_counted.hpp"

namespace bamboohoist {

/// Lets a deferred callback on the same thread check whether the object that it refers to still
/// exists. The object has a `lifetime` as a member; the callback holds a token of it.
class lifetime
{
    struct flag : ref_counted_local<flag>
    {
        bool alive_ = true;
    };

public:
    /// Converts to true while the object that created it exists.
    class token
    {
    public:
        explicit token(ref_ptr<flag> state) : state_(std::move(state)) {}

        explicit operator bool() const
        {
            return state_->alive_;
        }

    private:
        ref_ptr<flag> state_;
    };

    lifetime() : state_(new flag) {}

    ~lifetime()
    {
        state_->alive_ = false;
    }

    lifetime(const lifetime&) = delete;
    lifetime& operator=(const lifetime&) = delete;

    /// Returns a token of this object.
    token watch() const
    {
        return token(state_);
    }

private:
    ref_ptr<flag> state_;
};

} // namespace bamboohoist

#endif
