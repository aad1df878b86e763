#include "cli/load_runner.hpp"

#include "core/error.hpp"
#include "loop/run_after.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

constexpr duration resend_delay = std::chrono::milliseconds(100);
constexpr duration default_timeout = std::chrono::seconds(10);
constexpr int status_ok = 200;

std::string expand_number(std::string_view pattern, std::uint64_t number)
{
    std::string text(pattern);
    const auto at = text.find("{n}");
    if (at != std::string::npos)
    {
        text.replace(at, 3, std::to_string(number));
    }
    return text;
}

} // namespace

/// One request of a caller with its resends.
struct load_runner::request : ref_counted_local<load_runner::request>
{
    const load_kind* kind_ = nullptr;
    std::uint64_t number_ = 0;
    instant planned_time_;
    std::string tag_;
    std::string key_;
    std::string organisation_;
    std::string body_;
    std::size_t server_index_ = 0;
    std::uint32_t resends_ = 0;
    std::size_t refusals_ = 0; ///< Consecutive servers that refused the connection.
    bool measured_ = true;
};

load_runner::load_runner(event_loop& loop, const load_plan& plan, std::uint64_t seed)
    : loop_(loop), plan_(plan), random_(seed), client_(loop, static_cast<long>(plan.connections_)),
      arrival_timer_(loop, [this] { send_due_requests(); }),
      run_id_(random_source(entropy_seed()).identifier())
{
}

load_result load_runner::run()
{
    request_count_ = static_cast<std::uint64_t>(plan_.rate_ * (plan_.seconds_ + plan_.warm_up_s_));
    start_time_ = clock_.now();
    send_due_requests();
    loop_.run();
    result_.elapsed_s_ = std::chrono::duration<double>(clock_.now() - start_time_).count();
    return std::move(result_);
}

void load_runner::send_due_requests()
{
    const instant now = clock_.now();
    for (;;)
    {
        if (started_count_ == request_count_)
        {
            if (ended_count_ == request_count_)
            {
                loop_.request_stop();
            }
            return;
        }
        const instant planned =
            start_time_ + from_ms(1000.0 * static_cast<double>(started_count_) / plan_.rate_);
        if (planned > now)
        {
            arrival_timer_.arm(planned - now);
            return;
        }
        send(make_request(planned));
    }
}

load_runner::request_ptr load_runner::make_request(instant planned)
{
    double total = 0.0;
    for (const load_kind& kind : plan_.kinds_)
    {
        total += kind.share_;
    }
    double at = random_.uniform() * total;
    const load_kind* chosen = &plan_.kinds_.back();
    for (const load_kind& kind : plan_.kinds_)
    {
        at -= kind.share_;
        if (at < 0.0)
        {
            chosen = &kind;
            break;
        }
    }
    request_ptr item(new request);
    item->kind_ = chosen;
    item->number_ = started_count_++;
    item->planned_time_ = planned;
    item->measured_ = planned - start_time_ >= from_ms(plan_.warm_up_s_ * 1000.0);
    item->tag_ = run_id_ + "-" + std::to_string(item->number_);
    item->key_ = chosen->keyed_ ? "key-" + item->tag_ : "";
    item->body_ = expand_number(chosen->body_, item->number_);
    item->server_index_ = random_.index(plan_.callers_.size());
    if (!chosen->organisations_.empty())
    {
        item->organisation_ = chosen->organisations_[random_.index(chosen->organisations_.size())];
    }
    return item;
}

void load_runner::send(const request_ptr& item)
{
    ++result_.sends_;
    const load_kind& kind = *item->kind_;
    transfer_request request;
    request.server_ = plan_.callers_[item->server_index_ % plan_.callers_.size()];
    request.timeout_ =
        kind.timeout_ms_ == 0 ? default_timeout : std::chrono::milliseconds(kind.timeout_ms_) * 2;
    request.message_.method_ = kind.method_;
    request.message_.host_ = kind.host_;
    request.message_.target_ = expand_number(kind.path_, item->number_);
    request.message_.body_ = item->body_;
    header_list& headers = request.message_.headers_;
    headers.push_back(header{"X-Tag", item->tag_});
    if (!item->organisation_.empty())
    {
        headers.push_back(header{kind.organisation_header_, item->organisation_});
    }
    if (!item->key_.empty())
    {
        headers.push_back(header{"Idempotency-Key", item->key_});
    }
    if (kind.timeout_ms_ != 0)
    {
        headers.push_back(header{"X-Request-Timeout-Ms", std::to_string(kind.timeout_ms_)});
    }
    client_.start(std::move(request),
                  [this, item](const transfer_result& ended) { on_transfer_end(item, ended); });
}

void load_runner::on_transfer_end(const request_ptr& item, const transfer_result& ended)
{
    if (ended.end_ == transfer_end::refused && ++item->refusals_ < plan_.callers_.size())
    {
        // The request was not sent, so it can go to the next server.
        ++item->server_index_;
        send(item);
        return;
    }
    load_outcome request_outcome = load_outcome::lost;
    if (ended.end_ == transfer_end::complete)
    {
        const header_list& headers = ended.response_.headers_;
        const auto reported_outcome = find_header(headers, "Bamboohoist-Outcome");
        const auto body = nlohmann::json::parse(ended.response_.body_, nullptr, false);
        const bool matches_request = body.is_object() && body.value("tag", "") == item->tag_ &&
                                     body.value("body", "") == item->body_;
        if (reported_outcome)
        {
            request_outcome = parse_outcome(*reported_outcome) == outcome::not_run
                                  ? load_outcome::not_run
                                  : load_outcome::unknown;
            ++result_.errors_[std::string(find_header(headers, "Bamboohoist-Error").value_or("?"))];
            if (request_outcome == load_outcome::not_run && !item->key_.empty())
            {
                result_.reported_not_run_.emplace_back(
                    find_header(headers, "Bamboohoist-Request").value_or("?"));
            }
        }
        else if (ended.response_.status_ != status_ok)
        {
            request_outcome = load_outcome::failed;
            ++result_.errors_["status " + std::to_string(ended.response_.status_)];
        }
        else
        {
            request_outcome = matches_request ? load_outcome::complete : load_outcome::wrong;
        }
    }
    else
    {
        ++result_.errors_[ended.detail_];
    }
    if (may_resend(*item, request_outcome))
    {
        resend(item);
        return;
    }
    finish(item, request_outcome);
}

bool load_runner::may_resend(const request& item, load_outcome request_outcome) const
{
    if (item.resends_ >= plan_.resends_ || request_outcome == load_outcome::complete ||
        request_outcome == load_outcome::wrong)
    {
        return false;
    }
    const bool repeatable = is_idempotent_method(item.kind_->method_) || !item.key_.empty();
    return request_outcome == load_outcome::not_run || repeatable;
}

void load_runner::resend(const request_ptr& item)
{
    ++item->resends_;
    ++item->server_index_;
    item->refusals_ = 0;
    run_after(loop_, resend_delay, [this, item] { send(item); });
}

void load_runner::finish(const request_ptr& item, load_outcome request_outcome)
{
    ++ended_count_;
    if (!item->key_.empty())
    {
        result_.outcomes_by_key_[item->key_] = request_outcome;
    }
    if (item->measured_)
    {
        ++result_.outcomes_[request_outcome];
        const double latency_ms = to_ms(clock_.now() - item->planned_time_);
        result_.latencies_.add(latency_ms);
        result_.latencies_by_kind_[item->kind_->name_].add(latency_ms);
        if (request_outcome == load_outcome::complete && !item->organisation_.empty())
        {
            ++result_.complete_by_organisation_[item->organisation_];
        }
    }
    if (ended_count_ == request_count_)
    {
        loop_.request_stop();
    }
}

std::string_view to_string(load_outcome request_outcome)
{
    constexpr std::array<std::string_view, 6> names{"whole",   "wrong",  "not_run",
                                                    "unknown", "failed", "lost"};
    return names[static_cast<std::size_t>(request_outcome)];
}

} // namespace bamboohoist
