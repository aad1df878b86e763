/// Guards against nodes that do not share an organisation's quota, refuse without saying when to
/// try again, or exceed the quota while an owner is dead.

#include "harness/fleet.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr double rate = 20.0;
constexpr double burst = 10.0;

/// What the rule allows in a time of at least one window.
std::uint64_t allowed_in(double seconds)
{
    return static_cast<std::uint64_t>((rate * seconds + burst) * 1.1 + 20.0);
}

/// Three nodes with a backend server each; the organisation `acme` has a quota.
class quota_fleet_fixture
{
public:
    quota_fleet_fixture()
    {
        for (const char* name : {"n1", "n2", "n3"})
        {
            fleet_.add_node(name, "baires", "baires-1");
            fleet_.add_backend("orders", name);
        }
        fleet_.wait_until_converged(3, 3);
        json manifest = make_manifest({"orders"}, {{"baires", {"baires-1"}}});
        manifest["organisations"] = json::array(
            {{{"name", "acme"}, {"rate_per_s", rate}, {"burst", burst}}, {{"name", "free"}}});
        fleet_.apply(manifest);
    }

    load_plan plan_for(std::string_view organisation, double load, double seconds)
    {
        load_plan plan = make_load_plan(fleet_.callers(), "/orders/{n}", load, seconds);
        plan.kinds_.front().organisations_ = {std::string(organisation)};
        return plan;
    }

    std::uint64_t metric_sum(std::string_view name)
    {
        std::uint64_t sum = 0;
        for (const node_process& item : fleet_.nodes())
        {
            sum += fleet_.metric(item.name_, name);
        }
        return sum;
    }

    fleet fleet_;
};

std::uint64_t count_of(const load_result& result, load_outcome which)
{
    const auto found = result.outcomes_.find(which);
    return found == result.outcomes_.end() ? 0 : found->second;
}

request_message request_of(std::string_view organisation)
{
    request_message request;
    request.method_ = "GET";
    request.host_ = "localhost";
    request.target_ = "/orders/1";
    request.headers_.push_back({"X-Organisation", std::string(organisation)});
    return request;
}

} // namespace

TEST_CASE_FIXTURE(quota_fleet_fixture, "three nodes keep the quota of an organisation together")
{
    constexpr double seconds = 6.0;
    background_load free_load(plan_for("free", 50.0, seconds), 3);
    const load_result result = background_load(plan_for("acme", 100.0, seconds), 4).finish();
    const load_result free_result = free_load.finish();
    const std::uint64_t complete = count_of(result, load_outcome::complete);
    MESSAGE("complete " << complete << ", allowed " << allowed_in(seconds));
    CHECK(complete <= allowed_in(seconds));
    CHECK(complete >= static_cast<std::uint64_t>(0.8 * rate * seconds));
    CHECK(count_of(result, load_outcome::not_run) + complete == result.sends_);
    CHECK(count_of(free_result, load_outcome::complete) == free_result.sends_);
    CHECK(metric_sum("quota_asks_total") > 0);
    CHECK(metric_sum("quota_refused_total") == count_of(result, load_outcome::not_run));
}

TEST_CASE_FIXTURE(quota_fleet_fixture, "a request over the quota learns when to try again")
{
    std::optional<response_message> refused;
    for (int i = 0; i < 200 && !refused; ++i)
    {
        auto response = http_call(fleet_.node("n1").callers_, request_of("acme"));
        REQUIRE(response);
        if (response->status_ != 200)
        {
            refused = std::move(response);
        }
    }
    REQUIRE(refused);
    CHECK(refused->status_ == 429);
    CHECK(find_header(refused->headers_, "Retry-After"));
    CHECK(refused->body_.find("quota-exceeded") != std::string::npos);
    CHECK(refused->body_.find("not-run") != std::string::npos);
}

TEST_CASE_FIXTURE(quota_fleet_fixture, "the quota holds while a node is dead and starts again")
{
    constexpr double seconds = 14.0;
    load_plan plan = plan_for("acme", 100.0, seconds);
    plan.callers_ = {fleet_.node("n1").callers_, fleet_.node("n2").callers_};
    background_load load(plan, 5);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fleet_.node("n3").process_->kill();
    fleet_.wait_status("n1", [](const json& status) {
        for (const json& entry : status["nodes"])
        {
            if (entry["node"] == "n3")
            {
                return entry["state"] == "dead";
            }
        }
        return false;
    });
    fleet_.restart_node("n3");
    const load_result result = load.finish();
    const std::uint64_t complete = count_of(result, load_outcome::complete);
    MESSAGE("complete " << complete << ", allowed " << allowed_in(seconds));
    CHECK(complete <= allowed_in(seconds));
    CHECK(complete >= static_cast<std::uint64_t>(0.3 * rate * seconds));
}
