#include "core/clock.hpp"

namespace bamboohoist {

instant system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

std::int64_t system_clock::wall_ms() const
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace bamboohoist
