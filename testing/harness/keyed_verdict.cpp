#include "harness/keyed_verdict.hpp"

#include <fstream>
#include <map>
#include <set>

namespace bamboohoist::testing {

keyed_verdict judge_keyed(std::string_view journal, const load_result& load)
{
    keyed_verdict verdict;
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
        verdict.double_runs_ += count > 1 ? 1 : 0;
    }
    for (const std::string& told : load.told_not_run_)
    {
        verdict.false_not_run_ += started_requests.contains(told) ? 1 : 0;
    }
    for (const auto& [sent, end] : load.by_key_)
    {
        verdict.phantom_ += end == load_end::whole && !starts.contains(sent) ? 1 : 0;
    }
    return verdict;
}

std::uint64_t count_ends(const load_result& load, load_end end)
{
    const auto found = load.ends_.find(end);
    return found == load.ends_.end() ? 0 : found->second;
}

} // namespace bamboohoist::testing
