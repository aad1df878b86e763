#include "harness/erratic_run.hpp"

#include "fakes/erratic_target.hpp"
#include "harness/platform_fixture.hpp"
#include "harness/raw_caller.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <future>

namespace bamboohoist::testing {

namespace {

using json = nlohmann::json;

constexpr duration poll_period = std::chrono::milliseconds(20);
constexpr duration refusal_pause = std::chrono::milliseconds(5);
constexpr int refused_status = 503;
constexpr duration answer_grace = std::chrono::seconds(2);
constexpr std::array deadlines_ms{40, 120, 400, 1200, 3000};
constexpr std::array not_run_statuses{408, 421, 429, 503};
constexpr std::string_view id_field = "X-Bamboohoist-Attempt-Id";

json make_route(std::string_view prefix, std::string_view kind)
{
    return {{"Hostname", "shop.example"}, {"Prefix", prefix},    {"Kind", kind},  {"Timeout", "3s"},
            {"TargetLatency", "500ms"},   {"Service", "orders"}, {"Attempts", 3U}};
}

std::string make_document()
{
    const json body{{"Version", 1},
                    {"Routes",
                     {{"r-read", make_route("/read/", "idempotent")},
                      {"r-write", make_route("/write/", "non_idempotent")}}},
                    {"Services", {{"orders", {{"HealthPath", "/health"}}}}},
                    {"Limits", json::object()}};
    return body.dump();
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

class erratic_run
{
public:
    explicit erratic_run(const erratic_run_options& options)
        : options_(options), random_(options.seed_),
          fixture_([](const request_message&) { return response_message{}; }),
          end_(std::chrono::steady_clock::now())
    {
        fixture_.run_with_store(
            [](platform_store& store) { store.put("op/config", make_document()); });
        fixture_.start_node();
        if (!fixture_.wait_ready(200))
        {
            throw std::runtime_error("the node does not become ready");
        }
        sound_share_ = 0.3 + 0.5 * random_.uniform();
        slots_.resize(options_.targets_);
        replace_ended_targets();
    }

    erratic_run_result run()
    {
        end_ =
            std::chrono::steady_clock::now() +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(options_.seconds_));
        std::vector<std::future<void>> callers;
        for (std::size_t i = 0; i < options_.callers_; ++i)
        {
            callers.push_back(std::async(std::launch::async, [this, i] { call_until_end(i); }));
        }
        while (callers.back().wait_for(poll_period) != std::future_status::ready)
        {
            replace_ended_targets();
        }
        for (auto& caller : callers)
        {
            caller.get();
        }
        slots_.clear();
        check_runs();
        result_.faults_ = ledger_.fault_counts();
        save_evidence();
        return std::move(result_);
    }

private:
    /// What is checked after all requests have ended.
    struct sent_request
    {
        std::string id_;
        bool repeatable_ = false;
        int status_ = 0;
    };

    /// A target in service, and when its process is ended if it does not end before.
    struct target_slot
    {
        std::unique_ptr<erratic_target> target_;
        std::string instance_;
        instant ends_;
    };

    void replace_ended_targets()
    {
        const instant now = std::chrono::steady_clock::now();
        for (target_slot& slot : slots_)
        {
            if (!slot.target_ || slot.target_->ended() || now >= slot.ends_)
            {
                end_target(slot);
                start_target(slot);
                slot.ends_ = now + std::chrono::milliseconds(200 + random_.index(800));
            }
        }
    }

    /// The end is announced some time after it has happened, so that requests still run into it.
    void end_target(target_slot& slot)
    {
        slot.target_.reset();
        if (!slot.instance_.empty())
        {
            fixture_.send_deregistration(slot.instance_, 1);
        }
    }

    void start_target(target_slot& slot)
    {
        const std::size_t limit = random_.chance(0.5) ? 2 + random_.index(3) : 64;
        slot.target_ = std::make_unique<erratic_target>(
            erratic_options{options_.seed_, sound_share_, limit}, ledger_);
        slot.instance_ = "i-" + std::to_string(++result_.targets_);
        fixture_.send_heartbeat(slot.instance_, slot.target_->address());
    }

    void call_until_end(std::size_t index)
    {
        random_source random(options_.seed_ * 1000 + index);
        raw_caller caller(fixture_.callers());
        while (std::chrono::steady_clock::now() < end_)
        {
            call_once(caller, random);
        }
        if (caller.stray_bytes() > 0)
        {
            const std::lock_guard lock(mutex_);
            result_.violations_.push_back(std::to_string(caller.stray_bytes()) +
                                          " bytes followed the answers of a caller");
        }
    }

    void call_once(raw_caller& caller, random_source& random)
    {
        const int deadline_ms = deadlines_ms[random.index(deadlines_ms.size())];
        const bool repeatable = random.chance(0.6);
        const std::string id = random.identifier();
        request_message request;
        request.method_ = repeatable ? "GET" : "POST";
        request.host_ = "shop.example";
        request.target_ = (repeatable ? "/read/" : "/write/") + id;
        request.body_ = repeatable ? "" : id;
        request.headers_ = {{std::string(id_field), id},
                            {"X-Bamboohoist-Deadline-Remaining", std::to_string(deadline_ms)}};
        const auto answer =
            caller.call(request, std::chrono::milliseconds(deadline_ms) + answer_grace);
        check_answer(id, answer);
        const int status = answer ? answer->status_ : 0;
        {
            const std::lock_guard lock(mutex_);
            sent_.push_back({id, repeatable, status});
        }
        if (status == refused_status)
        {
            std::promise<void> never;
            never.get_future().wait_for(refusal_pause);
        }
    }

    void check_answer(const std::string& id, const std::optional<response_message>& answer)
    {
        const std::lock_guard lock(mutex_);
        ++result_.statuses_[answer ? answer->status_ : 0];
        if (!answer)
        {
            return;
        }
        const auto field = [&](std::string_view name) {
            return find_header(answer->headers_, name).value_or("");
        };
        const bool named = !field(id_field).empty() || is_success(answer->status_);
        if (named && field(id_field) != id)
        {
            add_violation(id, "the answer names " + std::string(field(id_field)));
        }
        if (!is_success(answer->status_))
        {
            return;
        }
        if (ledger_.was_meant(id, field("X-Bamboohoist-Response-Signature"), answer->body_))
        {
            ++result_.whole_;
            return;
        }
        add_violation(id, "status " + std::to_string(answer->status_) + " with " +
                              std::to_string(answer->body_.size()) + " bytes that no target meant");
    }

    void check_runs()
    {
        for (const sent_request& item : sent_)
        {
            const std::size_t runs = ledger_.runs(item.id_);
            if (!item.repeatable_ && runs > 1)
            {
                add_violation(item.id_, "was run again");
            }
            if (runs > 0 &&
                std::ranges::find(not_run_statuses, item.status_) != not_run_statuses.end())
            {
                add_violation(item.id_, "status " + std::to_string(item.status_) + ", but it ran");
            }
        }
    }

    void add_violation(std::string_view id, std::string_view what)
    {
        result_.violations_.push_back(std::string(id) + ": " + std::string(what) + " (" +
                                      ledger_.describe(id) + ")");
    }

    void save_evidence()
    {
        if (result_.violations_.empty() || options_.evidence_folder_.empty())
        {
            return;
        }
        std::filesystem::create_directories(options_.evidence_folder_);
        std::ofstream(options_.evidence_folder_ + "/node.log") << fixture_.node().output();
        std::ofstream(options_.evidence_folder_ + "/result.txt") << result_.describe() << '\n';
    }

    erratic_run_options options_;
    random_source random_;
    platform_fixture fixture_;
    instant end_;
    double sound_share_ = 0.0;
    answer_ledger ledger_;
    std::vector<target_slot> slots_;
    std::mutex mutex_; ///< Guards all below while callers run.
    std::vector<sent_request> sent_;
    erratic_run_result result_;
};

} // namespace

std::string erratic_run_result::describe() const
{
    std::string text = std::to_string(whole_) + " whole answers, " + std::to_string(targets_) +
                       " targets; answers by status:";
    for (const auto& [status, count] : statuses_)
    {
        text += " " + std::to_string(status) + "=" + std::to_string(count);
    }
    text += "; by what targets did:";
    for (const auto& [fault, count] : faults_)
    {
        text += " " + fault + "=" + std::to_string(count) + ",";
    }
    for (const std::string& violation : violations_)
    {
        text += "\n  " + violation;
    }
    return text;
}

erratic_run_result run_erratic(const erratic_run_options& options)
{
    return erratic_run(options).run();
}

} // namespace bamboohoist::testing
