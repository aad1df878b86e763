#include "harness/fleet.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

/// The part of the requests of a load that got a complete response.
double completed_part(const load_result& result)
{
    double all = 0.0;
    for (const auto& [kind, count] : result.outcomes_)
    {
        all += static_cast<double>(count);
    }
    return static_cast<double>(result.outcomes_.at(load_outcome::complete)) / all;
}

load_plan make_plan(const fleet& started, std::string_view path, double rate)
{
    load_plan plan = make_load_plan(started.callers(), path, rate, 4.0);
    plan.kinds_.front().method_ = "POST"; // Runs once: neither retries nor second attempts.
    plan.kinds_.front().timeout_ms_ = 1500;
    return plan;
}

} // namespace

TEST_CASE("at twice the capacity urgent requests are served before others of the same service")
{
    // Guards against a rank that is lost on the way from the ingress to the queue of the guard.
    fleet started;
    started.add_node("n1", "baires", "baires-1");
    started.add_node("n2", "baires", "baires-2");
    backend_process& item = started.add_backend("orders", "n1", 2);
    started.set_backend_fault(item.target_, {{"service_ms", 100.0}, {"sigma", 0.1}});
    started.wait_until_converged(2, 1);
    auto manifest = make_manifest({"orders"}, {{"baires", {"baires-1", "baires-2"}}});
    manifest["services"][0]["queue"] = 6;
    manifest["routes"] = nlohmann::json::array(
        {{{"host", "*"}, {"prefix", "/orders/urgent"}, {"service", "orders"}, {"priority", 0}},
         {{"host", "*"}, {"prefix", "/orders/later"}, {"service", "orders"}, {"priority", 2}}});
    started.apply(manifest);

    // 20 requests a second can be served: half of them urgent, and thirty a second that are not.
    background_load later(make_plan(started, "/orders/later/{n}", 30.0), 1);
    const double urgent_part =
        completed_part(background_load(make_plan(started, "/orders/urgent/{n}", 10.0), 2).finish());
    const double later_part = completed_part(later.finish());
    CAPTURE(urgent_part);
    CAPTURE(later_part);
    CHECK(urgent_part >= later_part + 0.25);
    CHECK(later_part > 0.0);
    CHECK(started.metric("n1", "guard_displaced_by_rank_total") > 0);
}
