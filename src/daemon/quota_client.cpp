#include "daemon/quota_client.hpp"

#include "core/log.hpp"
#include "daemon/quota_owner.hpp"
#include "wire/quota_codec.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// An ask without a reply is repeated after this time. Three asks, two to the owner and one to the
/// node after it, fit into `max_wait`.
constexpr duration ask_timeout = std::chrono::milliseconds(75);
constexpr duration max_wait = std::chrono::milliseconds(250);
/// A request waits for at most this fraction of its remaining time.
constexpr int wait_divisor = 4;
constexpr duration limit_check_period = std::chrono::milliseconds(10);
constexpr duration event_period = std::chrono::seconds(1);

} // namespace

quota_client::quota_client(const traffic_context& context, link_finder find_link)
    : context_(context), find_link_(std::move(find_link)),
      accounts_(quota_rule_of(context.settings_)),
      limit_timer_(context.loop_, [this] { check_limits(); })
{
}

void quota_client::set_fleet(const fleet_ptr& fleet)
{
    if (!fleet->known_)
    {
        accounts_.set_provisional_parts(
            fleet->provisional_parts_ * context_.settings_.ingress_threads_, context_.clock_.now());
        resolve_all();
        return;
    }
    const std::size_t nodes =
        std::max(fleet->share_count_, fleet->node_count_ + fleet->cut_off_nodes_.size());
    const bool first = !accounts_.knows_fleet();
    accounts_.set_fleet(fleet->quota_owners_, nodes * context_.settings_.ingress_threads_,
                        context_.clock_.now());
    if (first)
    {
        resolve_all();
    }
}

void quota_client::resolve_all()
{
    for (const std::string& organisation : waiting_organisations())
    {
        resolve(organisation);
    }
}

void quota_client::admit(const active_revision& active, std::string_view organisation,
                         duration time_left, callback on_decided)
{
    const auto limit = find_quota_limit(active, organisation);
    if (!limit || limit->rate_per_s_ <= 0.0)
    {
        on_decided({});
        return;
    }
    const instant now = context_.clock_.now();
    const std::string name(organisation);
    const quota_decision decision =
        accounts_.decide(organisation, *limit, context_.random_.uniform(), now);
    if (decision.result_ == quota_decision::result::waits)
    {
        if (queues_.empty())
        {
            limit_timer_.repeat(limit_check_period);
        }
        queues_[name].requests_.push_back(
            {std::move(on_decided), now + std::min<duration>(max_wait, time_left / wait_divisor)});
        send_ask(name);
        return;
    }
    report(decision, organisation, on_decided);
    send_ask(name);
}

void quota_client::give_back(std::string_view organisation, instant taken)
{
    accounts_.give_back(organisation, taken, context_.clock_.now());
}

void quota_client::stop()
{
    limit_timer_.cancel();
    const auto queues = std::move(queues_);
    queues_.clear();
    for (const auto& [organisation, queue] : queues)
    {
        if (queue.link_ != nullptr)
        {
            queue.link_->cancel(queue.call_);
        }
    }
}

void quota_client::prune()
{
    accounts_.prune(context_.clock_.now());
}

void quota_client::send_ask(std::string_view organisation)
{
    const auto found = queues_.find(organisation);
    if (found != queues_.end() && found->second.link_ != nullptr)
    {
        return;
    }
    const std::size_t waiting = found == queues_.end() ? 0 : found->second.requests_.size();
    auto call = accounts_.begin_ask(organisation, static_cast<std::uint32_t>(waiting),
                                    context_.clock_.now());
    if (!call)
    {
        // Without a known fleet there is nobody to ask, and the requests wait.
        if (accounts_.knows_fleet())
        {
            resolve(organisation);
        }
        return;
    }
    context_.metrics_.add(counter::quota_asks);
    if (queues_.empty())
    {
        limit_timer_.repeat(limit_check_period);
    }
    waiting_queue& queue = queues_[std::string(organisation)];
    queue.link_ = &find_link_(call->node_.guard_address_);
    queue.node_ = call->node_.node_;
    queue.asked_at_ = context_.clock_.now();
    struct call_number : ref_counted_local<call_number>
    {
        peer_link::call_id value_ = 0;
    };
    const ref_ptr<call_number> number(new call_number);
    number->value_ = queue.link_->call(encode_quota_call(call->ask_),
                                       [this, organisation = std::string(organisation), number,
                                        alive = lifetime_.watch()](const call_result& result) {
                                           if (alive)
                                           {
                                               on_reply(organisation, number->value_, result);
                                           }
                                       });
    queue.call_ = number->value_;
}

void quota_client::on_reply(std::string_view organisation, peer_link::call_id call,
                            const call_result& result)
{
    const auto found = queues_.find(organisation);
    if (found == queues_.end() || found->second.link_ == nullptr || found->second.call_ != call)
    {
        return;
    }
    waiting_queue& queue = found->second;
    const auto reply = result.response_ ? decode_quota_reply(*result.response_) : std::nullopt;
    if (!reply)
    {
        fail_ask(organisation, queue, false);
        resolve(organisation);
        return;
    }
    queue.link_ = nullptr;
    const std::uint32_t admitted = accounts_.end_ask(
        organisation, queue.node_, *reply, static_cast<std::uint32_t>(queue.requests_.size()),
        context_.clock_.now());
    if (reply->verdict_ == quota_verdict::granted || reply->verdict_ == quota_verdict::refused)
    {
        set_fixed_share_in_use(false, organisation);
    }
    for (std::uint32_t i = 0; i < admitted; ++i)
    {
        decide_first(organisation, {.balance_ = reply->balance_});
    }
    resolve(organisation);
}

void quota_client::fail_ask(std::string_view organisation, waiting_queue& queue, bool timed_out)
{
    context_.metrics_.add(counter::quota_asks_failed);
    queue.link_ = nullptr;
    accounts_.fail_ask(organisation, queue.node_, timed_out, context_.clock_.now());
}

void quota_client::resolve(std::string_view organisation)
{
    while (true)
    {
        const auto found = queues_.find(organisation);
        if (found == queues_.end())
        {
            return;
        }
        if (found->second.requests_.empty())
        {
            remove_if_empty(organisation);
            return;
        }
        const quota_decision decision = accounts_.decide_waiting(
            organisation, context_.random_.uniform(), context_.clock_.now());
        if (decision.result_ == quota_decision::result::waits)
        {
            send_ask(organisation);
            return;
        }
        decide_first(organisation, decision);
    }
}

void quota_client::decide_first(std::string_view organisation, const quota_decision& decision)
{
    const auto found = queues_.find(organisation);
    if (found == queues_.end() || found->second.requests_.empty())
    {
        return;
    }
    const waiting_request first = std::move(found->second.requests_.front());
    found->second.requests_.pop_front();
    report(decision, organisation, first.on_decided_);
}

void quota_client::report(const quota_decision& decision, std::string_view organisation,
                          const callback& on_decided)
{
    if (decision.decider_ == quota_decider::fixed_share)
    {
        context_.metrics_.add(counter::quota_fixed_part);
        set_fixed_share_in_use(true, organisation);
    }
    if (decision.result_ == quota_decision::result::refused)
    {
        context_.metrics_.add(counter::quota_refused);
    }
    on_decided(decision);
}

void quota_client::check_limits()
{
    const instant now = context_.clock_.now();
    for (const std::string& organisation : waiting_organisations())
    {
        const auto found = queues_.find(organisation);
        if (found == queues_.end())
        {
            continue;
        }
        waiting_queue& queue = found->second;
        if (queue.link_ != nullptr && now - queue.asked_at_ >= ask_timeout)
        {
            queue.link_->cancel(queue.call_);
            fail_ask(organisation, queue, true);
            resolve(organisation);
        }
        // Requests with little time left have earlier limits than those before them.
        if (const auto waiting = queues_.find(organisation); waiting != queues_.end())
        {
            auto& requests = waiting->second.requests_;
            std::stable_partition(requests.begin(), requests.end(),
                                  [now](const auto& item) { return item.limit_ <= now; });
        }
        for (auto next = queues_.find(organisation);
             next != queues_.end() && !next->second.requests_.empty() &&
             next->second.requests_.front().limit_ <= now;
             next = queues_.find(organisation))
        {
            decide_first(organisation, accounts_.decide_without_owner(
                                           organisation, context_.random_.uniform(), now));
        }
        remove_if_empty(organisation);
    }
}

std::vector<std::string> quota_client::waiting_organisations() const
{
    std::vector<std::string> organisations;
    for (const auto& [organisation, queue] : queues_)
    {
        organisations.push_back(organisation);
    }
    return organisations;
}

void quota_client::remove_if_empty(std::string_view organisation)
{
    const auto found = queues_.find(organisation);
    if (found != queues_.end() && found->second.requests_.empty() && found->second.link_ == nullptr)
    {
        queues_.erase(found);
    }
    if (queues_.empty())
    {
        limit_timer_.cancel();
    }
}

void quota_client::set_fixed_share_in_use(bool in_use, std::string_view organisation)
{
    const instant now = context_.clock_.now();
    if (in_use == fixed_share_in_use_ || now - last_event_ < event_period)
    {
        return;
    }
    fixed_share_in_use_ = in_use;
    last_event_ = now;
    event entry;
    entry.at_.wall_ms_ = context_.clock_.wall_ms();
    entry.node_ = context_.settings_.node_;
    entry.subject_ = std::string(organisation);
    entry.what_ = in_use ? "quota decided by the fixed share" : "quota decided by its owner again";
    entry.rule_ = in_use ? "quota: no owner of the organisation's shard replied"
                         : "quota: an owner of the organisation's shard replied";
    log_event(entry);
}

std::string describe_refusal(std::string_view organisation, const quota_decision& decision)
{
    return "organisation " + std::string(organisation) + " is over its quota; credits left " +
           std::to_string(static_cast<long>(decision.balance_)) + ", retry in " +
           std::to_string(static_cast<long>(to_ms(decision.retry_after_))) + " ms, decided by " +
           std::string(to_string(decision.decider_));
}

} // namespace bamboohoist
