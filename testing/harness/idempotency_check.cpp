#include "harness/idempotency_check.hpp"

#include <fstream>
#include <map>
#include <set>

namespace bamboohoist::testing {

idempotency_violations check_idempotency(std::string_view journal, const load_result& load)
{
    idempotency_violations violations;
    std::map<std::string, std::uint64_t> starts;
    std::set<std::string> started_requests;
    std::ifstream lines{std::string(journal)};
    std::string key;
    std::string request;
    while (lines >> key >> request)
    {
        ++starts[key];
        started_requests.insert(request);
    }
    for (const auto& [started, count] : starts)
    {
        violations.double_runs_ += count > 1 ? 1 : 0;
    }
    for (const std::string& not_run : load.reported_not_run_)
    {
        violations.false_not_run_ += started_requests.contains(not_run) ? 1 : 0;
    }
    for (const auto& [sent, outcome] : load.outcomes_by_key_)
    {
        violations.phantom_responses_ +=
            outcome == load_outcome::complete && !starts.contains(sent) ? 1 : 0;
    }
    return violations;
}

std::uint64_t count_outcomes(const load_result& load, load_outcome outcome)
{
    const auto found = load.outcomes_.find(outcome);
    return found == load.outcomes_.end() ? 0 : found->second;
}

} // namespace bamboohoist::testing
