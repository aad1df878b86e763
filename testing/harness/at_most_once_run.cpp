#include "harness/at_most_once_run.hpp"

#include "harness/fleet.hpp"
#include "harness/idempotency_check.hpp"
#include "harness/temporary_file.hpp"

#include <csignal>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr const char* service = "disbursement";
constexpr const char* domains[] = {"lagos-ikeja", "lagos-lekki", "kano-nassarawa", "kano-fagge"};

/// One run with its fleet, in which the fault-injecting proxy stands before each node's guard.
class at_most_once_run
{
public:
    explicit at_most_once_run(const at_most_once_options& options)
        : options_(options), random_(options.seed_)
    {
        fleet_.set_journal(journal_.path());
        for (std::size_t i = 0; i < std::size(domains); ++i)
        {
            add_node(i);
        }
        for (std::size_t i = 0; i < std::size(domains); ++i)
        {
            fleet_.add_backend(service, name(i));
            fleet_.add_backend(service, name(i));
        }
        fleet_.wait_until_converged(std::size(domains), 2 * std::size(domains));
        fleet_.apply(make_manifest(
            {service}, {{"lagos", {domains[0], domains[1]}}, {"kano", {domains[2], domains[3]}}}));
    }

    at_most_once_result run()
    {
        background_load load(make_plan(), options_.seed_);
        const system_clock clock;
        const instant end = clock.now() + from_ms(options_.seconds_ * 1000.0);
        while (clock.now() < end)
        {
            inject_random_fault();
        }
        clear_store_faults();
        return collect_result(load.finish());
    }

private:
    static std::string name(std::size_t index)
    {
        return "node-" + std::to_string(index);
    }

    void add_node(std::size_t index)
    {
        // The node advertises the path's port, so the path is made first and gets the address of
        // the guard afterwards.
        const int path = fleet_.make_path({{"server", "127.0.0.1:1"}});
        paths_.push_back(path);
        node_process& added =
            fleet_.add_node(name(index), index < 2 ? "lagos" : "kano", domains[index],
                            {{"advertise_peers", "127.0.0.1:" + std::to_string(path)}});
        fleet_.set_path(path, {{"server", added.peers_}});
    }

    load_plan make_plan()
    {
        load_plan plan = make_load_plan(fleet_.callers(), "/disbursement/{n}", options_.rate_,
                                        options_.seconds_);
        plan.resends_ = 40;
        load_kind& kind = plan.kinds_.front();
        kind.method_ = "POST";
        kind.body_ = "pay {n}";
        kind.keyed_ = true;
        kind.timeout_ms_ = 2000;
        return plan;
    }

    /// Injects a fault of a random kind and ends it after a random time.
    void inject_random_fault()
    {
        using fault = void (at_most_once_run::*)();
        constexpr std::pair<const char*, fault> kinds[] = {
            {"kill target", &at_most_once_run::kill_target},
            {"kill node", &at_most_once_run::kill_node},
            {"freeze node", &at_most_once_run::freeze_node},
            {"freeze target", &at_most_once_run::freeze_target},
            {"cut link one way", &at_most_once_run::cut_link},
            {"reset links", &at_most_once_run::reset_links},
            {"store down", &at_most_once_run::store_down},
            {"store loses replies", &at_most_once_run::store_loses_replies},
            {"store slow", &at_most_once_run::store_slow},
        };
        const auto& [label, inject_one] = kinds[random_.index(std::size(kinds))];
        ++faults_[label];
        (this->*inject_one)();
        wait_for_duration(std::chrono::milliseconds(200 + random_.index(400)));
    }

    backend_process& random_target()
    {
        return fleet_.backends()[random_.index(fleet_.backends().size())];
    }

    node_process& random_node()
    {
        return fleet_.nodes()[random_.index(fleet_.nodes().size())];
    }

    void wait_random_time()
    {
        wait_for_duration(std::chrono::milliseconds(300 + random_.index(1200)));
    }

    void kill_target()
    {
        backend_process& target = random_target();
        target.process_->kill();
        wait_random_time();
        fleet_.replace_backend(target);
    }

    void kill_node()
    {
        node_process& node = random_node();
        node.process_->kill();
        wait_random_time();
        fleet_.restart_node(node.name_);
    }

    void freeze_node()
    {
        node_process& node = random_node();
        node.process_->signal(SIGSTOP);
        wait_random_time();
        node.process_->signal(SIGCONT);
    }

    void freeze_target()
    {
        backend_process& target = random_target();
        target.process_->signal(SIGSTOP);
        wait_random_time();
        target.process_->signal(SIGCONT);
    }

    void cut_link()
    {
        const int path = paths_[random_.index(paths_.size())];
        const char* direction = random_.chance(0.5) ? "forward" : "backward";
        fleet_.set_path(path, {{direction, {{"black_hole", true}}}});
        wait_random_time();
        // The connections are reset after the cut, as the bytes that were dropped are missing from
        // their streams.
        fleet_.set_path(path, {{direction, {{"black_hole", false}}}, {"reset", true}});
    }

    void reset_links()
    {
        fleet_.set_path(paths_[random_.index(paths_.size())], {{"reset", true}});
    }

    void store_down()
    {
        fleet_.set_store_fault({{"down", true}});
        wait_random_time();
        fleet_.set_store_fault({{"down", false}});
    }

    void store_loses_replies()
    {
        fleet_.set_store_fault({{"lose_replies", 20}});
    }

    void store_slow()
    {
        fleet_.set_store_fault({{"delay_ms", 300}});
        wait_random_time();
        fleet_.set_store_fault({{"delay_ms", 0}});
    }

    void clear_store_faults()
    {
        fleet_.set_store_fault({{"down", false}, {"delay_ms", 0}, {"lose_replies", 0}});
    }

    at_most_once_result collect_result(const load_result& load)
    {
        at_most_once_result result;
        const idempotency_violations violations = check_idempotency(journal_.path(), load);
        result.double_runs_ = violations.double_runs_;
        result.false_not_run_ = violations.false_not_run_;
        result.phantom_responses_ = violations.phantom_responses_;
        result.requests_ = load.outcomes_by_key_.size();
        result.sends_ = load.sends_;
        result.complete_ = count_outcomes(load, load_outcome::complete);
        result.wrong_ =
            count_outcomes(load, load_outcome::wrong) + count_outcomes(load, load_outcome::failed);
        result.unknown_ = count_outcomes(load, load_outcome::unknown);
        result.not_run_ = count_outcomes(load, load_outcome::not_run);
        result.lost_ = count_outcomes(load, load_outcome::lost);
        result.elapsed_s_ = load.elapsed_s_;
        result.faults_ = faults_;
        result.errors_ = load.errors_;
        result.store_writes_ = fleet_.store_calls()["writes"];
        return result;
    }

    at_most_once_options options_;
    random_source random_;
    fleet fleet_;
    temporary_file journal_; ///< Keyed requests that the backend servers ran.
    std::vector<int> paths_;
    std::map<std::string, std::uint64_t> faults_;
};

} // namespace

at_most_once_result run_at_most_once(const at_most_once_options& options)
{
    at_most_once_run current(options);
    return current.run();
}

} // namespace bamboohoist::testing
