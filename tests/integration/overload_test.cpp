#include "harness/fleet.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr std::uint32_t slots = 3;
constexpr double service_ms = 80.0;
constexpr double seconds = 4.0;

/// Complete responses per second under a load of `load_factor` times 90 % of the slots' capacity.
double goodput(fleet& started, double load_factor)
{
    const auto backends = static_cast<double>(started.backends().size());
    load_plan plan =
        make_load_plan(started.callers(), "/orders/{n}",
                       0.9 * backends * slots * 1000.0 / service_ms * load_factor, seconds);
    plan.kinds_.front().timeout_ms_ = 500;
    const load_result result = background_load(plan, 6).finish();
    return static_cast<double>(result.outcomes_.at(load_outcome::complete)) / seconds;
}

} // namespace

TEST_CASE("at twice the capacity no slots are wasted on attempts that are cancelled")
{
    fleet started;
    started.add_node("n1", "baires", "baires-1");
    started.add_node("n2", "baires", "baires-2");
    for (int i = 0; i < 4; ++i)
    {
        backend_process& item = started.add_backend("orders", i % 2 == 0 ? "n1" : "n2", slots);
        started.set_backend_fault(item.target_, {{"service_ms", service_ms}, {"sigma", 0.1}});
    }
    started.wait_until_converged(2, 4);
    started.apply(make_manifest({"orders"}, {{"baires", {"baires-1", "baires-2"}}}));
    const double at_capacity = goodput(started, 1.0);
    const double at_twice_capacity = goodput(started, 2.0);
    CAPTURE(at_capacity);
    CHECK(at_twice_capacity >= 0.9 * at_capacity);
}
