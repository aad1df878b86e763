#include "policy/shedding.hpp"

namespace bamboohoist {

namespace {

double rate_of(const held_body& body)
{
    return static_cast<double>(body.moved_bytes_) / (to_ms(body.age_) + 1.0);
}

} // namespace

bool is_shed_before(const held_body& first, const held_body& second)
{
    if (first.held_bytes_ != second.held_bytes_)
    {
        return first.held_bytes_ > second.held_bytes_;
    }
    const double first_rate = rate_of(first);
    const double second_rate = rate_of(second);
    return first_rate != second_rate ? first_rate < second_rate : first.age_ > second.age_;
}

} // namespace bamboohoist
