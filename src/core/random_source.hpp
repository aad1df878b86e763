#ifndef BAMBOOHOIST_CORE_RANDOM_SOURCE_HPP
#define BAMBOOHOIST_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>
#include <string>

namespace bamboohoist {

/// Seeded random numbers. Each decision takes one by reference, so that a run can be repeated from
/// its seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// A uniform index in `[0, count)`. `count` must be positive.
    std::size_t index(std::size_t count);

    /// A uniform number in `[0, 1)`.
    double uniform();

    /// True with the given probability.
    bool chance(double probability);

    /// A number from the log-normal distribution with this median and shape.
    double log_normal(double median, double sigma);

    /// An identifier of 16 hexadecimal digits.
    std::string identifier();

private:
    std::mt19937_64 engine_;
};

/// An identifier that no other process and no earlier run hands out, whatever seeds are set.
std::string unique_identifier();

/// A seed from the operating system, for production use.
std::uint64_t entropy_seed();

} // namespace bamboohoist

#endif
