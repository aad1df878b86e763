#include "policy/introductions.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration first_pause = std::chrono::seconds(1);
constexpr duration max_pause = std::chrono::seconds(8);
constexpr std::size_t max_rounds = 12;
constexpr std::size_t min_count = 8;
/// A node that is served alone introduces itself to this part of the unknown nodes in a round.
constexpr std::size_t min_part = 4;

} // namespace

duration introductions::restart()
{
    rounds_ = 0;
    pause_ = first_pause;
    return pause_;
}

introduction_round introductions::next_round(std::size_t unknown)
{
    introduction_round round;
    if (unknown == 0)
    {
        return round;
    }
    round.count_ = std::min(unknown, std::max(min_count, unknown / min_part));
    if (++rounds_ < max_rounds)
    {
        round.next_ = pause_;
        pause_ = std::min(pause_ * 2, max_pause);
    }
    return round;
}

} // namespace bamboohoist
