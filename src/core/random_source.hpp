#ifndef BAMBOOHOIST_CORE_RANDOM_SOURCE_HPP
#define BAMBOOHOIST_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>
#include <string>

namespace bamboohoist {

/// A seeded random number generator. Code that makes random choices takes one by reference, so that
/// a run can be repeated with the same seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// Returns an index uniformly distributed in `[0, count)`. `count` must be positive.
    std::size_t index(std::size_t count);

    /// Returns a number uniformly distributed in `[0, 1)`.
    double uniform();

    /// Returns true with the given probability.
    bool chance(double probability);

    /// Returns a number from the log-normal distribution with this median and shape.
    double log_normal(double median, double sigma);

    /// Returns an identifier of 16 random hexadecimal digits.
    std::string identifier();

private:
    std::mt19937_64 engine_;
};

/// Returns an identifier that is unique across processes and runs, independent of configured seeds.
std::string unique_identifier();

/// Returns a random seed from the operating system, for production use.
std::uint64_t entropy_seed();

} // namespace bamboohoist

#endif
