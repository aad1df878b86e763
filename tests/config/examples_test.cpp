#include "cli/load_plan.hpp"
#include "config/manifest_json.hpp"
#include "core/error.hpp"
#include "policy/route_table.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>

using namespace bamboohoist;

namespace {

std::string read_example(const std::string& name)
{
    std::ifstream file(std::string(BAMBOOHOIST_SOURCE_FOLDER) + "/examples/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

TEST_CASE("every request of an example load has a route in the example's manifest")
{
    for (const std::string deployment : {"demo", "cooperative", "ferraro"})
    {
        CAPTURE(deployment);
        const auto content = parse_manifest(read_example(deployment + "/manifest.json"));
        const auto plan = parse_load_plan(read_example(deployment + "/load.json"));
        REQUIRE(content);
        REQUIRE(plan);
        const route_table routes(**content);
        for (const load_kind& kind : plan->kinds_)
        {
            CHECK(routes.match(kind.host_, kind.path_, kind.organisations_.front()));
            for (const std::string& organisation : kind.organisations_)
            {
                CHECK(routes.find_organisation(organisation));
            }
        }
    }
}
