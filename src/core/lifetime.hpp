#ifndef BAMBOOHOIST_CORE_LIFETIME_HPP
#define BAMBOOHOIST_CORE_LIFETIME_HPP

#include "core/ref_counted.hpp"

namespace bamboohoist {

/// Lets deferred work on the same thread find out whether its object still exists. The object
/// holds the lifetime as a member; the work holds a token.
class lifetime
{
    struct flag : ref_counted_local<flag>
    {
        bool alive_ = true;
    };

public:
    /// Tells whether the object that handed it out still exists.
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

    token watch() const
    {
        return token(state_);
    }

private:
    ref_ptr<flag> state_;
};

} // namespace bamboohoist

#endif
