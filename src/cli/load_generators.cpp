#include "cli/load_generators.hpp"

#include <algorithm>
#include <thread>
#include <vector>

namespace bamboohoist {

namespace {

load_result run_on_this_thread(const load_plan& plan, std::uint64_t seed)
{
    process_metrics metrics;
    event_loop loop(metrics);
    return load_runner(loop, plan, seed).run();
}

template <typename Key, typename Value>
void add_counts(std::map<Key, Value>& sum, const std::map<Key, Value>& part)
{
    for (const auto& [key, value] : part)
    {
        sum[key] += value;
    }
}

void add_result(load_result& sum, load_result part)
{
    add_counts(sum.outcomes_, part.outcomes_);
    add_counts(sum.errors_, part.errors_);
    add_counts(sum.complete_by_organisation_, part.complete_by_organisation_);
    for (const auto& [kind, samples] : part.latencies_by_kind_)
    {
        sum.latencies_by_kind_[kind].merge(samples);
    }
    sum.latencies_.merge(part.latencies_);
    sum.outcomes_by_key_.merge(part.outcomes_by_key_);
    sum.reported_not_run_.insert(sum.reported_not_run_.end(), part.reported_not_run_.begin(),
                                 part.reported_not_run_.end());
    sum.sends_ += part.sends_;
    sum.elapsed_s_ = std::max(sum.elapsed_s_, part.elapsed_s_);
}

} // namespace

load_result run_load_plan(const load_plan& plan, std::uint64_t seed)
{
    load_plan thread_plan = plan;
    thread_plan.rate_ /= plan.generators_;
    thread_plan.connections_ = std::max(1U, plan.connections_ / plan.generators_);
    std::vector<load_result> parts(plan.generators_);
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < parts.size(); ++i)
    {
        threads.emplace_back([&thread_plan, &part = parts[i], seed, i] {
            part = run_on_this_thread(thread_plan, seed + i);
        });
    }
    load_result sum = run_on_this_thread(thread_plan, seed);
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    for (std::size_t i = 1; i < parts.size(); ++i)
    {
        add_result(sum, std::move(parts[i]));
    }
    return sum;
}

} // namespace bamboohoist
