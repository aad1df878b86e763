#include "model/quota_model.hpp"

#include "model/quota_model_node.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohoist::testing {

namespace {

// As in `daemon/quota_client` and `daemon/quota_owner`.
constexpr double ask_timeout_s = 0.085;
constexpr double max_wait_s = 0.25;
constexpr double check_timeout_s = 0.2;

constexpr double min_delay_s = 0.0003;
constexpr double max_delay_s = 0.004;
/// A target gets an admitted request within this time.
constexpr double max_run_delay_s = 0.02;

} // namespace

double quota_use::worst_window(const quota_rule& rule) const
{
    std::vector<double> times = ran_s_;
    std::ranges::sort(times);
    const double window_s = to_seconds(rule.window_);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        while (times[i] - times[first] >= window_s)
        {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    const double quota = limit_.rate_per_s_ * window_s + limit_.burst_;
    return static_cast<double>(most) / (quota + quota_tolerance(rule, limit_));
}

quota_model::quota_model(std::size_t nodes, std::uint64_t seed) : random_(seed)
{
    for (std::size_t i = 0; i < nodes; ++i)
    {
        nodes_.push_back(std::make_unique<node>(rule_, node_name(i)));
    }
    for (std::size_t i = 0; i < nodes; ++i)
    {
        for (std::size_t j = 0; j < nodes; ++j)
        {
            nodes_[i]->view_[j] = true;
        }
        publish(i);
        tick(i, 0);
    }
}

quota_model::~quota_model() = default;

void quota_model::add_organisation(const std::string& name, const quota_limit& limit)
{
    uses_[name].limit_ = limit;
    for (const auto& item : nodes_)
    {
        item->limits_[name] = limit;
    }
}

void quota_model::set_load(const std::string& name, double per_s, int node)
{
    load& current = loads_[name];
    current = {per_s, node, current.number_ + 1};
    schedule_arrival(name, current.number_);
}

void quota_model::set_limit(const std::string& name, const quota_limit& limit)
{
    uses_[name].limit_ = limit;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        after(random_.uniform() * 0.5, [this, i, name, limit] {
            nodes_[i]->limits_[name] = limit;
            nodes_[i]->ledger_.update_limits(
                [&](std::string_view item) {
                    return std::optional<quota_limit>(nodes_[i]->limits_.at(std::string(item)));
                },
                now());
        });
    }
}

void quota_model::run(double seconds)
{
    const double end_s = now_s_ + seconds;
    while (!events_.empty() && events_.top().at_s_ <= end_s)
    {
        const event next = events_.top();
        events_.pop();
        now_s_ = next.at_s_;
        next.run_();
    }
    now_s_ = end_s;
}

void quota_model::set_loss(double fraction)
{
    loss_ = fraction;
}

std::size_t quota_model::owner_of(const std::string& name) const
{
    std::vector<shard_node> present;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i]->alive_)
        {
            present.push_back({node_name(i), node_name(i)});
        }
    }
    return index_of(shard_owners(present).first(shard_owners::shard_of(name))->node_);
}

const quota_use& quota_model::use(const std::string& name) const
{
    return uses_.at(name);
}

std::map<std::string, quota_use>& quota_model::uses()
{
    return uses_;
}

std::size_t quota_model::account_count() const
{
    std::size_t count = 0;
    for (const auto& item : nodes_)
    {
        count += item->accounts_.account_count();
    }
    return count;
}

std::size_t quota_model::bucket_count() const
{
    std::size_t count = 0;
    for (const auto& item : nodes_)
    {
        count += item->ledger_.bucket_count();
    }
    return count;
}

std::uint64_t quota_model::asks() const
{
    return asks_;
}

instant quota_model::now() const
{
    return instant{from_seconds(now_s_)};
}

void quota_model::after(double seconds, task function)
{
    events_.push({now_s_ + seconds, order_++, std::move(function)});
}

void quota_model::schedule_arrival(const std::string& name, std::uint64_t load_number)
{
    const load& current = loads_[name];
    if (current.number_ != load_number || current.per_s_ <= 0.0)
    {
        return;
    }
    after(-std::log(1.0 - random_.uniform()) / current.per_s_, [this, name, load_number] {
        const load& latest = loads_[name];
        if (latest.number_ != load_number)
        {
            return;
        }
        schedule_arrival(name, load_number);
        std::size_t at = static_cast<std::size_t>(std::max(0, latest.node_));
        while (latest.node_ < 0 || !nodes_[at]->alive_)
        {
            at = random_.index(nodes_.size());
            if (nodes_[at]->alive_)
            {
                break;
            }
        }
        arrive(at, name);
    });
}

void quota_model::arrive(std::size_t at, const std::string& name)
{
    ++uses_[name].sent_;
    node& item = *nodes_[at];
    const quota_decision decision =
        item.accounts_.decide(name, item.limits_[name], random_.uniform(), now());
    if (decision.result_ != quota_decision::result::waits)
    {
        decide(name, decision);
        send_ask(at, name);
        return;
    }
    item.queues_[name].limits_s_.push_back(now_s_ + max_wait_s);
    after(max_wait_s, [this, at, name, start = item.start_] {
        node& later = *nodes_[at];
        auto& limits = later.queues_[name].limits_s_;
        while (later.start_ == start && !limits.empty() && limits.front() <= now_s_)
        {
            limits.pop_front();
            decide(name, later.accounts_.decide_without_owner(name, random_.uniform(), now()));
        }
    });
    send_ask(at, name);
}

void quota_model::send_ask(std::size_t at, const std::string& name)
{
    node& item = *nodes_[at];
    waiting& queue = item.queues_[name];
    if (queue.asking_)
    {
        return;
    }
    auto call =
        item.accounts_.begin_ask(name, static_cast<std::uint32_t>(queue.limits_s_.size()), now());
    if (!call)
    {
        if (item.accounts_.knows_fleet())
        {
            resolve(at, name);
        }
        return;
    }
    ++asks_;
    queue.asking_ = true;
    queue.number_ = asks_;
    const std::uint64_t number = asks_;
    const std::string asked = call->node_.node_;
    const std::size_t to = index_of(asked);
    const double delay_s =
        min_delay_s + random_.uniform() * random_.uniform() * (max_delay_s - min_delay_s);
    after(ask_timeout_s, [this, at, name, number, asked] {
        end_ask(at, name, std::nullopt, number, asked, true);
    });
    if (!connected(at, to))
    {
        return;
    }
    after(delay_s, [this, at, to, ask = call->ask_, number] { deliver_ask(at, to, ask, number); });
}

void quota_model::deliver_ask(std::size_t from, std::size_t to, const quota_ask& ask,
                              std::uint64_t number)
{
    node& item = *nodes_[to];
    std::optional<quota_reply> reply;
    if (item.alive_)
    {
        reply = item.ledger_.on_ask(ask, item.limits_[ask.organisation_], now());
        if (const auto subject = item.ledger_.take_check())
        {
            check(to, *subject);
        }
        if (random_.chance(loss_))
        {
            return;
        }
    }
    else if (item.silent_)
    {
        return;
    }
    if (!connected(from, to))
    {
        return;
    }
    after(min_delay_s + random_.uniform() * (max_delay_s - min_delay_s),
          [this, from, to, name = ask.organisation_, reply, number] {
              end_ask(from, name, reply, number, node_name(to), false);
          });
}

void quota_model::end_ask(std::size_t at, const std::string& name,
                          const std::optional<quota_reply>& reply, std::uint64_t number,
                          const std::string& asked, bool timed_out)
{
    node& item = *nodes_[at];
    waiting& queue = item.queues_[name];
    if (!queue.asking_ || queue.number_ != number)
    {
        return;
    }
    queue.asking_ = false;
    if (!reply)
    {
        item.accounts_.fail_ask(name, asked, timed_out, now());
    }
    else
    {
        std::uint32_t admitted = item.accounts_.end_ask(
            name, asked, *reply, static_cast<std::uint32_t>(queue.limits_s_.size()), now());
        for (; admitted > 0; --admitted)
        {
            queue.limits_s_.pop_front();
            admit(name);
        }
    }
    resolve(at, name);
}

void quota_model::resolve(std::size_t at, const std::string& name)
{
    node& item = *nodes_[at];
    waiting& queue = item.queues_[name];
    while (!queue.limits_s_.empty())
    {
        const quota_decision decision =
            item.accounts_.decide_waiting(name, random_.uniform(), now());
        if (decision.result_ == quota_decision::result::waits)
        {
            send_ask(at, name);
            return;
        }
        queue.limits_s_.pop_front();
        decide(name, decision);
    }
}

void quota_model::decide(const std::string& name, const quota_decision& decision)
{
    if (decision.result_ == quota_decision::result::admitted)
    {
        admit(name);
        return;
    }
    ++uses_[name].refused_;
}

void quota_model::admit(const std::string& name)
{
    uses_[name].ran_s_.push_back(now_s_ + random_.uniform() * max_run_delay_s);
}

void quota_model::check(std::size_t at, const std::string& subject)
{
    std::vector<std::size_t> others;
    const std::size_t checked = index_of(subject);
    for (const auto& [other, alive] : nodes_[at]->view_)
    {
        if (alive && other != checked && other != at)
        {
            others.push_back(other);
        }
    }
    while (others.size() > quota_check_sample)
    {
        std::swap(others[random_.index(others.size())], others.back());
        others.pop_back();
    }
    const auto reached = [this, at](std::size_t other) {
        return nodes_[other]->alive_ && connected(at, other);
    };
    const bool gone = is_owner_gone(
        reached(checked), static_cast<std::size_t>(std::ranges::count_if(others, reached)),
        others.size());
    after(check_timeout_s,
          [this, at, subject, gone] { nodes_[at]->ledger_.on_checked(subject, gone, now()); });
}

std::size_t quota_model::index_of(const std::string& node) const
{
    return static_cast<std::size_t>(std::stoul(node.substr(1)));
}

} // namespace bamboohoist::testing
