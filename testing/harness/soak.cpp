#include "harness/soak.hpp"

#include "harness/fleet.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr const char* keyed_service = "disbursement";
constexpr const char* read_service = "ledger-view";
constexpr const char* domains[] = {"lagos-ikeja", "lagos-lekki", "kano-nassarawa", "kano-fagge"};
constexpr std::size_t max_active_faults = 4;
/// Set for the nodes: a node that is asked to stop ends within this time.
constexpr std::uint32_t leave_limit_ms = 4000;
constexpr duration exit_timeout = std::chrono::seconds(8);
/// The fleet has to serve again within this time after the last fault, as the platform's rules
/// require.
constexpr duration recovery_timeout = std::chrono::seconds(15);
/// Short, as the soak does not wait for the outcome of a change under faults.
constexpr duration operator_timeout = std::chrono::milliseconds(300);
constexpr double recovery_check_s = 2.0;
constexpr double min_recovered_fraction = 0.95;

/// One run of the soak with its fleet, the active faults and the result so far.
class soak
{
public:
    explicit soak(const soak_options& options)
        : options_(options), random_(options.seed_), begin_(clock_.now())
    {
        fleet_.set_journal(journal_.path());
        for (std::size_t i = 0; i < options_.nodes_; ++i)
        {
            add_node(i);
        }
        for (node_process& node : fleet_.nodes())
        {
            fleet_.add_backend(keyed_service, node.name_);
            fleet_.add_backend(read_service, node.name_);
        }
        fleet_.wait_until_converged(options_.nodes_, fleet_.backends().size());
        fleet_.apply(
            make_manifest({keyed_service, read_service}, {{"lagos", {domains[0], domains[1]}},
                                                          {"kano", {domains[2], domains[3]}}}));
    }

    soak_result run()
    {
        begin_ = clock_.now();
        background_load keyed(make_plan(true), options_.seed_);
        background_load reads(make_plan(false), options_.seed_ + 1);
        const instant end = begin_ + from_ms(options_.seconds_ * 1000.0);
        while (clock_.now() < end)
        {
            end_due_faults();
            if (active_faults_.size() < max_active_faults && random_.chance(0.5))
            {
                start_random_fault();
            }
            wait_for_duration(std::chrono::milliseconds(100 + random_.index(300)));
        }
        end_all_faults();
        collect_results(keyed.finish(), reads.finish());
        check_recovery();
        check_processes();
        save_evidence();
        return std::move(result_);
    }

private:
    struct active_fault
    {
        instant end_;
        std::string label_;
        std::string subject_; ///< The process, path or store that is affected.
        std::function<void()> finish_;
    };

    /// Starts a fault, names its subject and returns what ends it. Returns an empty function when
    /// no fault was started, mostly because the subject that was drawn has one already.
    using fault_function = std::function<void()> (soak::*)(std::string& subject);

    void add_node(std::size_t index)
    {
        const std::string name = "node-" + std::to_string(index);
        const std::string domain = domains[index % std::size(domains)];
        const int path = fleet_.make_path({{"server", "127.0.0.1:1"}});
        const node_process& added =
            fleet_.add_node(name, domain.substr(0, domain.find('-')), domain,
                            {{"advertise_peers", "127.0.0.1:" + std::to_string(path)},
                             {"leave_limit_ms", leave_limit_ms}});
        fleet_.set_path(path, {{"server", added.peers_}});
        paths_.push_back(path);
    }

    static json full_manifest()
    {
        return make_manifest({keyed_service, read_service}, {{"lagos", {domains[0], domains[1]}},
                                                             {"kano", {domains[2], domains[3]}}});
    }

    load_plan make_plan(bool keyed) const
    {
        const std::string service = keyed ? keyed_service : read_service;
        load_plan plan = make_load_plan(fleet_.callers(), "/" + service + "/{n}", options_.rate_,
                                        options_.seconds_);
        plan.resends_ = 40;
        load_kind& kind = plan.kinds_.front();
        kind.method_ = keyed ? "POST" : "GET";
        kind.body_ = keyed ? "pay {n}" : "";
        kind.keyed_ = keyed;
        kind.timeout_ms_ = 2000;
        return plan;
    }

    void record_event(const std::string& text)
    {
        const auto at_ms = static_cast<long>(to_ms(clock_.now() - begin_));
        result_.timeline_.push_back(std::to_string(at_ms) + " ms  " + text);
        if (options_.verbose_)
        {
            std::cout << result_.timeline_.back() << std::endl;
        }
    }

    void start_random_fault()
    {
        static constexpr std::pair<const char*, fault_function> kinds[] = {
            {"kill node", &soak::kill_node},
            {"stop node", &soak::stop_node},
            {"freeze node", &soak::freeze_node},
            {"reload node", &soak::reload_node},
            {"kill backend server", &soak::kill_target},
            {"freeze backend server", &soak::freeze_target},
            {"hanging backend server", &soak::hang_target},
            {"failing backend server", &soak::fail_target},
            {"cut link one way", &soak::cut_link},
            {"slow link", &soak::slow_link},
            {"reset links", &soak::reset_link},
            {"silent links", &soak::silence_link},
            {"refusing link", &soak::refuse_link},
            {"store down", &soak::store_down},
            {"store slow", &soak::store_slow},
            {"store loses replies", &soak::store_loses_replies},
            {"new configuration", &soak::change_configuration},
        };
        const auto& [label, begin] = kinds[random_.index(std::size(kinds))];
        std::string subject;
        auto finish = (this->*begin)(subject);
        if (!finish)
        {
            return;
        }
        ++result_.faults_[label];
        record_event(std::string(label) + " begins: " + subject);
        faulted_subjects_.insert(subject);
        const duration length = std::chrono::milliseconds(200 + random_.index(2800));
        active_faults_.push_back({clock_.now() + length, label, subject, std::move(finish)});
    }

    void end_due_faults()
    {
        const instant now = clock_.now();
        for (std::size_t i = 0; i < active_faults_.size();)
        {
            if (active_faults_[i].end_ > now)
            {
                ++i;
                continue;
            }
            const active_fault due = std::move(active_faults_[i]);
            active_faults_.erase(active_faults_.begin() + static_cast<std::ptrdiff_t>(i));
            due.finish_();
            faulted_subjects_.erase(due.subject_);
            record_event(due.label_ + " ends: " + due.subject_);
        }
    }

    void end_all_faults()
    {
        for (active_fault& fault : active_faults_)
        {
            fault.end_ = instant{};
        }
        end_due_faults();
    }

    node_process* pick_free_node(std::string& subject)
    {
        node_process& node = fleet_.nodes()[random_.index(fleet_.nodes().size())];
        subject = node.name_;
        return faulted_subjects_.contains(subject) ? nullptr : &node;
    }

    backend_process* pick_free_target(std::string& subject)
    {
        const std::size_t index = random_.index(fleet_.backends().size());
        backend_process& target = fleet_.backends()[index];
        subject = "backend " + std::to_string(index) + " of " + target.node_;
        // A new process has to announce itself, for which its node has to run.
        return faulted_subjects_.contains(subject) || faulted_subjects_.contains(target.node_)
                   ? nullptr
                   : &target;
    }

    std::optional<int> pick_free_path(std::string& subject)
    {
        const std::size_t index = random_.index(paths_.size());
        subject = "path to node-" + std::to_string(index);
        return faulted_subjects_.contains(subject) ? std::nullopt : std::optional(paths_[index]);
    }

    std::function<void()> kill_node(std::string& subject)
    {
        node_process* node = pick_free_node(subject);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->kill();
        return [this, node] { fleet_.restart_node(node->name_); };
    }

    std::function<void()> stop_node(std::string& subject)
    {
        node_process* node = pick_free_node(subject);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGTERM);
        return [this, node] {
            const auto status = node->process_->wait_exit(exit_timeout);
            if (status != 0)
            {
                result_.unexpected_exits_.push_back(node->name_ + " did not stop with status 0");
            }
            fleet_.restart_node(node->name_);
        };
    }

    std::function<void()> freeze_node(std::string& subject)
    {
        node_process* node = pick_free_node(subject);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGSTOP);
        return [node] { node->process_->signal(SIGCONT); };
    }

    std::function<void()> reload_node(std::string& subject)
    {
        node_process* node = pick_free_node(subject);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGHUP);
        return [node] { node->process_->signal(SIGHUP); };
    }

    std::function<void()> kill_target(std::string& subject)
    {
        backend_process* target = pick_free_target(subject);
        if (target == nullptr)
        {
            return nullptr;
        }
        target->process_->kill();
        return [this, target] { fleet_.replace_backend(*target); };
    }

    std::function<void()> freeze_target(std::string& subject)
    {
        backend_process* target = pick_free_target(subject);
        if (target == nullptr)
        {
            return nullptr;
        }
        target->process_->signal(SIGSTOP);
        return [target] { target->process_->signal(SIGCONT); };
    }

    std::function<void()> hang_target(std::string& subject)
    {
        return inject_backend_fault(subject, {{"stall_share", 0.75}}, {{"stall_share", 0.0}});
    }

    std::function<void()> fail_target(std::string& subject)
    {
        return inject_backend_fault(subject, {{"error_share", 0.5}}, {{"error_share", 0.0}});
    }

    std::function<void()> inject_backend_fault(std::string& subject, const json& fault,
                                               const json& recovery)
    {
        backend_process* target = pick_free_target(subject);
        if (target == nullptr)
        {
            return nullptr;
        }
        fleet_.set_backend_fault(target->target_, fault);
        return [this, target, recovery] { fleet_.set_backend_fault(target->target_, recovery); };
    }

    std::function<void()> cut_link(std::string& subject)
    {
        const char* direction = random_.chance(0.5) ? "forward" : "backward";
        // The connections are reset after the cut, as the bytes that were dropped are missing from
        // their streams.
        return inject_path_fault(subject, {{direction, {{"black_hole", true}}}},
                                 {{direction, {{"black_hole", false}}}, {"reset", true}});
    }

    std::function<void()> slow_link(std::string& subject)
    {
        return inject_path_fault(subject,
                                 {{"forward", {{"delay_ms", 150.0}, {"jitter_ms", 100.0}}}},
                                 {{"forward", {{"delay_ms", 0.0}, {"jitter_ms", 0.0}}}});
    }

    std::function<void()> reset_link(std::string& subject)
    {
        return inject_path_fault(subject, {{"reset", true}}, {{"reset", true}});
    }

    std::function<void()> silence_link(std::string& subject)
    {
        return inject_path_fault(subject, {{"silence", true}}, {{"silence", true}});
    }

    std::function<void()> refuse_link(std::string& subject)
    {
        return inject_path_fault(subject, {{"refuse", true}, {"reset", true}}, {{"refuse", false}});
    }

    std::function<void()> inject_path_fault(std::string& subject, const json& fault,
                                            const json& recovery)
    {
        const auto path = pick_free_path(subject);
        if (!path)
        {
            return nullptr;
        }
        fleet_.set_path(*path, fault);
        return [this, port = *path, recovery] { fleet_.set_path(port, recovery); };
    }

    std::function<void()> store_down(std::string& subject)
    {
        return inject_store_fault(subject, {{"down", true}}, {{"down", false}});
    }

    std::function<void()> store_slow(std::string& subject)
    {
        return inject_store_fault(subject, {{"delay_ms", 300}}, {{"delay_ms", 0}});
    }

    std::function<void()> store_loses_replies(std::string& subject)
    {
        return inject_store_fault(subject, {{"lose_replies", 20}}, {{"lose_replies", 0}});
    }

    std::function<void()> inject_store_fault(std::string& subject, const json& fault,
                                             const json& recovery)
    {
        subject = "store";
        if (faulted_subjects_.contains(subject))
        {
            return nullptr;
        }
        fleet_.set_store_fault(fault);
        return [this, recovery] { fleet_.set_store_fault(recovery); };
    }

    std::function<void()> change_configuration(std::string& subject)
    {
        node_process* node = pick_free_node(subject);
        if (node == nullptr)
        {
            return nullptr;
        }
        // The change may fail or be refused; only its effect on the requests is checked.
        request_message status_request;
        status_request.method_ = "GET";
        status_request.target_ = "/v1/status";
        const auto response =
            http_call(node->operators_, std::move(status_request), operator_timeout);
        const json status = response ? json::parse(response->body_, nullptr, false) : json();
        if (!status.is_object() || !status.contains("newest"))
        {
            return nullptr;
        }
        json manifest = full_manifest();
        manifest["notes"].push_back(
            {{"who", "soak"}, {"why", "change " + std::to_string(++changes_)}});
        request_message apply_request;
        apply_request.method_ = "POST";
        apply_request.target_ = "/v1/apply";
        apply_request.body_ = json{{"manifest", manifest.dump()},
                                   {"base", status["newest"]["revision"]},
                                   {"who", "soak"},
                                   {"why", "a change under faults"}}
                                  .dump();
        http_call(node->operators_, std::move(apply_request), operator_timeout);
        return [] {};
    }

    void collect_results(const load_result& keyed, const load_result& reads)
    {
        result_.idempotency_ = check_idempotency(journal_.path(), keyed);
        result_.requests_ = keyed.outcomes_by_key_.size();
        for (const load_result* load : {&keyed, &reads})
        {
            result_.wrong_ += count_outcomes(*load, load_outcome::wrong);
            result_.complete_ += count_outcomes(*load, load_outcome::complete);
        }
        result_.lost_ = count_outcomes(keyed, load_outcome::lost);
    }

    void check_recovery()
    {
        const instant limit = clock_.now() + recovery_timeout;
        do
        {
            load_plan plan = make_plan(false);
            plan.seconds_ = recovery_check_s;
            plan.resends_ = 0;
            const load_result load = run_load_plan(plan, options_.seed_ + 2);
            const double sent = plan.rate_ * plan.seconds_;
            result_.recovered_fraction_ =
                static_cast<double>(count_outcomes(load, load_outcome::complete)) / sent;
        } while (result_.recovered_fraction_ < min_recovered_fraction && clock_.now() < limit);
        record_event("fraction of complete responses after the faults: " +
                     std::to_string(result_.recovered_fraction_));
    }

    void check_processes()
    {
        for (const node_process& node : fleet_.nodes())
        {
            if (node.process_->wait_exit(duration::zero()))
            {
                result_.unexpected_exits_.push_back(node.name_ + " ended on its own");
            }
        }
    }

    void save_evidence()
    {
        if (options_.evidence_folder_.empty() || result_.violations().empty())
        {
            return;
        }
        std::filesystem::create_directories(options_.evidence_folder_);
        for (const node_process& node : fleet_.nodes())
        {
            std::ofstream(options_.evidence_folder_ + "/" + node.name_ + ".log")
                << node.process_->output();
        }
        std::ofstream timeline(options_.evidence_folder_ + "/time-line.txt");
        for (const std::string& line : result_.timeline_)
        {
            timeline << line << '\n';
        }
        std::filesystem::copy_file(journal_.path(), options_.evidence_folder_ + "/journal.txt",
                                   std::filesystem::copy_options::overwrite_existing);
    }

    soak_options options_;
    random_source random_;
    system_clock clock_;
    instant begin_;
    fleet fleet_;
    temporary_file journal_; ///< Keyed requests that the backend servers ran.
    std::vector<int> paths_;
    std::vector<active_fault> active_faults_;
    std::set<std::string> faulted_subjects_; ///< Of the active faults.
    std::uint64_t changes_ = 0;
    soak_result result_;
};

} // namespace

std::vector<std::string> soak_result::violations() const
{
    std::vector<std::string> violations = unexpected_exits_;
    const auto check = [&](std::uint64_t count, const char* what) {
        if (count > 0)
        {
            violations.push_back(std::to_string(count) + " " + what);
        }
    };
    check(idempotency_.double_runs_, "keys ran more than once");
    check(idempotency_.false_not_run_, "requests ran although their callers were told otherwise");
    check(idempotency_.phantom_responses_, "answers to keys that never ran");
    check(wrong_, "answers that were cut short or belong to other requests");
    if (recovered_fraction_ < min_recovered_fraction)
    {
        violations.push_back("only " + std::to_string(recovered_fraction_) +
                             " served after the faults");
    }
    return violations;
}

soak_result run_soak(const soak_options& options)
{
    soak current(options);
    return current.run();
}

} // namespace bamboohoist::testing
