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
constexpr std::size_t most_at_once = 4;
/// A node that is asked to stop ends by then.
constexpr std::uint32_t leave_limit_ms = 4000;
constexpr duration exit_timeout = std::chrono::seconds(8);
/// How soon the fleet serves again after the last fault, as the platform's rules have it.
constexpr duration recovery_time = std::chrono::seconds(15);
/// A change under faults is not waited for.
constexpr duration operator_timeout = std::chrono::milliseconds(300);
constexpr double recovery_check_s = 2.0;
constexpr double least_recovered_share = 0.95;

/// One run: the fleet, the faults under way and what has been seen.
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
            end_due();
            if (under_way_.size() < most_at_once && random_.chance(0.5))
            {
                begin_one();
            }
            wait_for_duration(std::chrono::milliseconds(100 + random_.index(300)));
        }
        end_all();
        judge(keyed.finish(), reads.finish());
        check_recovery();
        check_processes();
        keep_evidence();
        return std::move(result_);
    }

private:
    /// A fault that has begun, what it is on, and what ends it.
    struct open_fault
    {
        instant ends_;
        std::string label_;
        std::string on_;
        std::function<void()> finish_;
    };

    using begin_fault = std::function<void()> (soak::*)(std::string& on);

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

    static json whole_manifest()
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
        result_.time_line_.push_back(std::to_string(at_ms) + " ms  " + text);
        if (options_.verbose_)
        {
            std::cout << result_.time_line_.back() << std::endl;
        }
    }

    void begin_one()
    {
        static constexpr std::pair<const char*, begin_fault> kinds[] = {
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
            {"refusing link", &soak::refuse_link},
            {"store down", &soak::store_down},
            {"store slow", &soak::store_slow},
            {"store loses replies", &soak::store_loses_replies},
            {"new configuration", &soak::change_configuration},
        };
        const auto& [label, begin] = kinds[random_.index(std::size(kinds))];
        std::string on;
        auto finish = (this->*begin)(on);
        if (!finish)
        {
            return; // What it would be on has a fault already.
        }
        ++result_.faults_[label];
        record_event(std::string(label) + " begins: " + on);
        busy_.insert(on);
        const duration length = std::chrono::milliseconds(200 + random_.index(2800));
        under_way_.push_back({clock_.now() + length, label, on, std::move(finish)});
    }

    void end_due()
    {
        const instant now = clock_.now();
        for (std::size_t i = 0; i < under_way_.size();)
        {
            if (under_way_[i].ends_ > now)
            {
                ++i;
                continue;
            }
            const open_fault due = std::move(under_way_[i]);
            under_way_.erase(under_way_.begin() + static_cast<std::ptrdiff_t>(i));
            due.finish_();
            busy_.erase(due.on_);
            record_event(due.label_ + " ends: " + due.on_);
        }
    }

    void end_all()
    {
        for (open_fault& fault : under_way_)
        {
            fault.ends_ = instant{};
        }
        end_due();
    }

    node_process* free_node(std::string& on)
    {
        node_process& node = fleet_.nodes()[random_.index(fleet_.nodes().size())];
        on = node.name_;
        return busy_.contains(on) ? nullptr : &node;
    }

    backend_process* free_target(std::string& on)
    {
        const std::size_t index = random_.index(fleet_.backends().size());
        backend_process& target = fleet_.backends()[index];
        on = "backend " + std::to_string(index) + " of " + target.node_;
        // An announcement needs its node.
        return busy_.contains(on) || busy_.contains(target.node_) ? nullptr : &target;
    }

    std::optional<int> free_path(std::string& on)
    {
        const std::size_t index = random_.index(paths_.size());
        on = "path to node-" + std::to_string(index);
        return busy_.contains(on) ? std::nullopt : std::optional(paths_[index]);
    }

    std::function<void()> kill_node(std::string& on)
    {
        node_process* node = free_node(on);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->kill();
        return [this, node] { fleet_.restart_node(node->name_); };
    }

    std::function<void()> stop_node(std::string& on)
    {
        node_process* node = free_node(on);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGTERM);
        return [this, node] {
            const auto status = node->process_->wait_exit(exit_timeout);
            if (status != 0)
            {
                result_.ends_.push_back(node->name_ + " did not stop with status 0");
            }
            fleet_.restart_node(node->name_);
        };
    }

    std::function<void()> freeze_node(std::string& on)
    {
        node_process* node = free_node(on);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGSTOP);
        return [node] { node->process_->signal(SIGCONT); };
    }

    std::function<void()> reload_node(std::string& on)
    {
        node_process* node = free_node(on);
        if (node == nullptr)
        {
            return nullptr;
        }
        node->process_->signal(SIGHUP);
        return [node] { node->process_->signal(SIGHUP); };
    }

    std::function<void()> kill_target(std::string& on)
    {
        backend_process* target = free_target(on);
        if (target == nullptr)
        {
            return nullptr;
        }
        target->process_->kill();
        return [this, target] { fleet_.replace_backend(*target); };
    }

    std::function<void()> freeze_target(std::string& on)
    {
        backend_process* target = free_target(on);
        if (target == nullptr)
        {
            return nullptr;
        }
        target->process_->signal(SIGSTOP);
        return [target] { target->process_->signal(SIGCONT); };
    }

    std::function<void()> hang_target(std::string& on)
    {
        return misbehave(on, {{"stall_share", 0.75}}, {{"stall_share", 0.0}});
    }

    std::function<void()> fail_target(std::string& on)
    {
        return misbehave(on, {{"error_share", 0.5}}, {{"error_share", 0.0}});
    }

    std::function<void()> misbehave(std::string& on, const json& ill, const json& well)
    {
        backend_process* target = free_target(on);
        if (target == nullptr)
        {
            return nullptr;
        }
        fleet_.set_backend_fault(target->target_, ill);
        return [this, target, well] { fleet_.set_backend_fault(target->target_, well); };
    }

    std::function<void()> cut_link(std::string& on)
    {
        const char* direction = random_.chance(0.5) ? "forward" : "backward";
        // What was swallowed cannot be made up for, so the connections end with the cut.
        return harm_path(on, {{direction, {{"black_hole", true}}}},
                         {{direction, {{"black_hole", false}}}, {"reset", true}});
    }

    std::function<void()> slow_link(std::string& on)
    {
        return harm_path(on, {{"forward", {{"delay_ms", 150.0}, {"jitter_ms", 100.0}}}},
                         {{"forward", {{"delay_ms", 0.0}, {"jitter_ms", 0.0}}}});
    }

    std::function<void()> reset_link(std::string& on)
    {
        return harm_path(on, {{"reset", true}}, {{"reset", true}});
    }

    std::function<void()> refuse_link(std::string& on)
    {
        return harm_path(on, {{"refuse", true}, {"reset", true}}, {{"refuse", false}});
    }

    std::function<void()> harm_path(std::string& on, const json& harm, const json& heal)
    {
        const auto path = free_path(on);
        if (!path)
        {
            return nullptr;
        }
        fleet_.set_path(*path, harm);
        return [this, port = *path, heal] { fleet_.set_path(port, heal); };
    }

    std::function<void()> store_down(std::string& on)
    {
        return harm_store(on, {{"down", true}}, {{"down", false}});
    }

    std::function<void()> store_slow(std::string& on)
    {
        return harm_store(on, {{"delay_ms", 300}}, {{"delay_ms", 0}});
    }

    std::function<void()> store_loses_replies(std::string& on)
    {
        return harm_store(on, {{"lose_replies", 20}}, {{"lose_replies", 0}});
    }

    std::function<void()> harm_store(std::string& on, const json& harm, const json& heal)
    {
        on = "store";
        if (busy_.contains(on))
        {
            return nullptr;
        }
        fleet_.set_store_fault(harm);
        return [this, heal] { fleet_.set_store_fault(heal); };
    }

    std::function<void()> change_configuration(std::string& on)
    {
        node_process* node = free_node(on);
        if (node == nullptr)
        {
            return nullptr;
        }
        // It may fail or be refused: what counts is what becomes of the requests.
        request_message look;
        look.method_ = "GET";
        look.target_ = "/v1/status";
        const auto status = http_call(node->operators_, std::move(look), operator_timeout);
        const json seen = status ? json::parse(status->body_, nullptr, false) : json();
        if (!seen.is_object() || !seen.contains("newest"))
        {
            return nullptr;
        }
        json manifest = whole_manifest();
        manifest["notes"].push_back(
            {{"who", "soak"}, {"why", "change " + std::to_string(++changes_)}});
        request_message apply;
        apply.method_ = "POST";
        apply.target_ = "/v1/apply";
        apply.body_ = json{{"manifest", manifest.dump()},
                           {"base", seen["newest"]["revision"]},
                           {"who", "soak"},
                           {"why", "a change under faults"}}
                          .dump();
        http_call(node->operators_, std::move(apply), operator_timeout);
        return [] {};
    }

    void judge(const load_result& keyed, const load_result& reads)
    {
        result_.keyed_ = check_idempotency(journal_.path(), keyed);
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
        const instant limit = clock_.now() + recovery_time;
        do
        {
            load_plan plan = make_plan(false);
            plan.seconds_ = recovery_check_s;
            plan.resends_ = 0;
            const load_result load = run_load_plan(plan, options_.seed_ + 2);
            const double sent = plan.rate_ * plan.seconds_;
            result_.recovered_fraction_ =
                static_cast<double>(count_outcomes(load, load_outcome::complete)) / sent;
        } while (result_.recovered_fraction_ < least_recovered_share && clock_.now() < limit);
        record_event("served whole after the faults: " +
                     std::to_string(result_.recovered_fraction_));
    }

    void check_processes()
    {
        for (const node_process& node : fleet_.nodes())
        {
            if (node.process_->wait_exit(duration::zero()))
            {
                result_.ends_.push_back(node.name_ + " ended by itself");
            }
        }
    }

    void keep_evidence()
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
        std::ofstream time_line(options_.evidence_folder_ + "/time-line.txt");
        for (const std::string& line : result_.time_line_)
        {
            time_line << line << '\n';
        }
        std::filesystem::copy_file(journal_.path(), options_.evidence_folder_ + "/journal.txt",
                                   std::filesystem::copy_options::overwrite_existing);
    }

    soak_options options_;
    random_source random_;
    system_clock clock_;
    instant begin_;
    fleet fleet_;
    temporary_file journal_; ///< What the backend servers ran.
    std::vector<int> paths_;
    std::vector<open_fault> under_way_;
    std::set<std::string> busy_; ///< What has a fault now.
    std::uint64_t changes_ = 0;
    soak_result result_;
};

} // namespace

std::vector<std::string> soak_result::violations() const
{
    std::vector<std::string> violations = ends_;
    const auto check = [&](std::uint64_t count, const char* what) {
        if (count > 0)
        {
            violations.push_back(std::to_string(count) + " " + what);
        }
    };
    check(keyed_.double_runs_, "keys ran more than once");
    check(keyed_.false_not_run_, "requests ran although their callers were told otherwise");
    check(keyed_.phantom_responses_, "answers to keys that never ran");
    check(wrong_, "answers that were cut short or belong to other requests");
    if (recovered_fraction_ < least_recovered_share)
    {
        violations.push_back("only " + std::to_string(recovered_fraction_) +
                             " served after the faults");
    }
    return violations;
}

soak_result run_soak(const soak_options& options)
{
    soak trial(options);
    return trial.run();
}

} // namespace bamboohoist::testing
