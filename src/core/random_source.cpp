#include "core/random_source.hpp"

#include <cmath>
#include <cstdio>

namespace bamboohoist {

random_source::random_source(std::uint64_t seed) : engine_(seed) {}

std::size_t random_source::index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
}

double random_source::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

bool random_source::chance(double probability)
{
    return uniform() < probability;
}

double random_source::log_normal(double median, double sigma)
{
    return std::lognormal_distribution<double>(std::log(median), sigma)(engine_);
}

std::string random_source::identifier()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine_()));
    return text;
}

std::string unique_identifier()
{
    thread_local random_source source(entropy_seed());
    return source.identifier();
}

std::uint64_t entropy_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace bamboohoist
