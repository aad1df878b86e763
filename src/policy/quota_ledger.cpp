#include "policy/quota_ledger.hpp"

#include <algorithm>
#include <utility>

namespace bamboohoist {

namespace {

/// A node that has just started leaves the decisions to the node after it, which was the owner
/// before. By then its peers have learned of it by gossip.
constexpr duration young_time = std::chrono::seconds(5);
/// A former owner still decides for ingresses that do not know the new one yet.
constexpr duration handover_time = std::chrono::seconds(3);
constexpr duration sent_here_time = std::chrono::seconds(2);
constexpr duration gone_time = std::chrono::seconds(2);
constexpr duration check_period = std::chrono::milliseconds(500);
constexpr duration gone_check_period = std::chrono::seconds(1);
/// A node that becomes an owner because gossip says that the one before it is dead may be cut off
/// instead. Credit accrues only after this time, when both sides see how many nodes they have lost.
constexpr duration takeover_delay = std::chrono::seconds(3);
/// The initial credit of a bucket, as a part of the slack.
constexpr double initial_slack_part = 0.25;
/// At most this many of the nodes checked along with an owner may be unreachable, as single nodes
/// fail all the time.
constexpr std::size_t max_unreached = 2;
constexpr std::size_t min_checked = 16;

} // namespace

quota_ledger::quota_ledger(const quota_rule& rule, std::string node)
    : rule_(rule), node_(std::move(node))
{
    const instant never = instant::min() + std::chrono::hours(1);
    shards_.assign(shard_owners::shard_count, {false, never, false, never, never, never, never});
}

void quota_ledger::set_fleet(const quota_fleet& fleet, instant now)
{
    if (!started_)
    {
        started_ = now;
    }
    // The shards that this node may lose now are decided here a little longer.
    for (std::size_t shard = 0; shard < shards_.size(); ++shard)
    {
        update_main(shard, now);
    }
    const double before = fraction();
    const auto previous = std::exchange(fleet_, fleet).owners_;
    const auto nodes = fleet_.owners_->nodes();
    const auto self = std::ranges::find(nodes, node_, &shard_node::node_);
    self_ = self == nodes.end() ? nullptr : &*self;
    for (std::size_t shard = 0; shard < shards_.size(); ++shard)
    {
        const shard_node* owner = previous ? previous->first(shard) : nullptr;
        shards_[shard].after_cut_off_ =
            owner != nullptr && std::ranges::binary_search(fleet_.cut_off_, owner->node_);
        update_main(shard, now);
    }
    if (before != fraction())
    {
        for (auto& [organisation, item] : buckets_)
        {
            if (item.main_)
            {
                item.bucket_.set_shape(owner_shape(rule_, item.limit_, fraction()), now);
            }
        }
    }
}

void quota_ledger::update_limits(const quota_lookup& find_limit, instant now)
{
    for (auto item = buckets_.begin(); item != buckets_.end();)
    {
        entry& known = item->second;
        const auto limit = find_limit(item->first);
        if (!limit || limit->rate_per_s_ <= 0.0)
        {
            item = buckets_.erase(item);
            continue;
        }
        if (*limit != known.limit_)
        {
            known.limit_ = *limit;
            known.bucket_.set_shape(known.main_ ? owner_shape(rule_, *limit, fraction())
                                                : substitute_shape(rule_, *limit),
                                    now);
        }
        ++item;
    }
}

quota_reply quota_ledger::on_ask(const quota_ask& ask, const std::optional<quota_limit>& limit,
                                 instant now)
{
    quota_reply reply;
    const std::size_t shard = shard_owners::shard_of(ask.organisation_);
    if (is_leaving() || !limit || !fleet_.owners_)
    {
        // A node that has just started has no revision yet, and one that misses the newest revision
        // does not know all organisations.
        reply.verdict_ =
            ask.role_ == quota_role::owner ? quota_verdict::redirected : quota_verdict::not_owner;
        return reply;
    }
    if (!is_first(shard) && !is_second(shard) && !shards_[shard].main_)
    {
        return reply;
    }
    if (limit->rate_per_s_ <= 0.0)
    {
        reply.verdict_ = quota_verdict::granted;
        reply.granted_ = ask.waiting_;
        return reply;
    }
    shard_state& state = shards_[shard];
    const shard_node* first = fleet_.owners_->first(shard);
    const bool same_owner = ask.owner_ == first->node_;
    if (ask.role_ == quota_role::redirected && is_second(shard) && same_owner)
    {
        state.sent_here_ = now;
    }
    update_main(shard, now);
    if (!state.main_ && is_first(shard) && ask.role_ == quota_role::owner)
    {
        reply.verdict_ = quota_verdict::redirected;
        return reply;
    }
    if (ask.role_ == quota_role::substitute && is_second(shard) && same_owner)
    {
        request_check(shard, now);
    }
    auto found = buckets_.find(ask.organisation_);
    if (found != buckets_.end() && is_stale(found->second))
    {
        buckets_.erase(found);
        found = buckets_.end();
    }
    if (found == buckets_.end())
    {
        found = buckets_
                    .emplace(ask.organisation_, entry{make_bucket(state, *limit, now), *limit,
                                                      shard, state.main_, state.main_since_})
                    .first;
    }
    return found->second.bucket_.grant(ask, now);
}

std::optional<std::string> quota_ledger::take_check()
{
    return std::exchange(check_, std::nullopt);
}

void quota_ledger::request_check(std::size_t shard, instant now)
{
    if (now >= shards_[shard].next_check_)
    {
        check_ = fleet_.owners_->first(shard)->node_;
        set_next_check(*check_, now + check_period);
    }
}

void quota_ledger::set_next_check(std::string_view node, instant next)
{
    for (std::size_t shard = 0; shard < shards_.size(); ++shard)
    {
        const shard_node* first = fleet_.owners_->first(shard);
        if (first != nullptr && first->node_ == node)
        {
            shards_[shard].next_check_ = next;
        }
    }
}

void quota_ledger::on_checked(std::string_view node, bool gone, instant now)
{
    if (!fleet_.owners_)
    {
        return;
    }
    set_next_check(node, now + (gone ? gone_check_period : check_period));
    for (std::size_t shard = 0; shard < shards_.size(); ++shard)
    {
        const shard_node* first = fleet_.owners_->first(shard);
        if (first != nullptr && first->node_ == node && is_second(shard))
        {
            shards_[shard].gone_until_ = gone ? now + gone_time : now;
            update_main(shard, now);
        }
    }
}

void quota_ledger::prune(instant now)
{
    for (std::size_t shard = 0; shard < shards_.size(); ++shard)
    {
        update_main(shard, now);
    }
    std::erase_if(buckets_, [&](const auto& pair) {
        return is_stale(pair.second) || pair.second.bucket_.is_unused(now);
    });
}

std::size_t quota_ledger::bucket_count() const
{
    return buckets_.size();
}

bool quota_ledger::is_first(std::size_t shard) const
{
    return self_ != nullptr && fleet_.owners_->first(shard) == self_;
}

bool quota_ledger::is_second(std::size_t shard) const
{
    return self_ != nullptr && fleet_.owners_->second(shard) == self_;
}

bool quota_ledger::is_leaving() const
{
    return fleet_.owners_ && self_ == nullptr;
}

bool quota_ledger::is_young(instant now) const
{
    return !started_ || now - *started_ < young_time;
}

bool quota_ledger::is_stale(const entry& item) const
{
    const shard_state& state = shards_[item.shard_];
    return item.main_ != state.main_ || (state.main_ && item.main_since_ != state.main_since_);
}

void quota_ledger::update_main(std::size_t shard, instant now)
{
    shard_state& state = shards_[shard];
    const bool alone = is_first(shard) && fleet_.owners_->second(shard) == nullptr;
    const bool owns = is_first(shard) && (!is_young(now) || alone);
    if (owns)
    {
        state.owned_until_ = now;
    }
    const bool main =
        !is_leaving() && (owns || now < state.owned_until_ + handover_time ||
                          now < state.sent_here_ + sent_here_time || now < state.gone_until_);
    if (main && !state.main_)
    {
        state.main_since_ = owns && state.after_cut_off_ ? now + takeover_delay : now;
    }
    state.main_ = main;
}

quota_bucket quota_ledger::make_bucket(const shard_state& state, const quota_limit& limit,
                                       instant now) const
{
    if (!state.main_)
    {
        const quota_bucket::shape shape = substitute_shape(rule_, limit);
        return {rule_, shape, shape.capacity_ * known_part(now), now};
    }
    // Starts as if it had been made with the initial credit when this node became the owner; its
    // credit since then is what an organisation that sent nothing would have.
    const quota_bucket::shape shape = owner_shape(rule_, limit, fraction());
    const double initial = std::min(limit.burst_, initial_slack_part * rule_.slack_) * fraction() *
                           known_part(state.main_since_);
    return {rule_, shape, initial, state.main_since_};
}

double quota_ledger::fraction() const
{
    const auto alive = static_cast<double>(std::max<std::size_t>(1, fleet_.alive_));
    return alive / (alive + static_cast<double>(fleet_.cut_off_.size()));
}

double quota_ledger::known_part(instant now) const
{
    const duration known_for = std::clamp(now - *started_, duration{}, rule_.window_);
    return to_seconds(known_for) / to_seconds(rule_.window_);
}

bool is_owner_gone(bool owner_reached, std::size_t others_reached, std::size_t others_checked)
{
    return !owner_reached && others_checked >= min_checked &&
           others_reached + max_unreached >= others_checked;
}

} // namespace bamboohoist
