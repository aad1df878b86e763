#include "policy/quota_accounts.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace bamboohoist {

namespace {

/// A node that did not reply is asked again after this time.
constexpr duration failed_time = std::chrono::milliseconds(250);
/// A node whose failures are older counts as one that never failed.
constexpr duration failed_memory = std::chrono::seconds(2);

} // namespace

std::string_view to_string(quota_decider decider)
{
    constexpr std::array<std::string_view, 3> names{"owner", "the owner's last reply",
                                                    "fixed share"};
    return names[static_cast<std::size_t>(decider)];
}

quota_accounts::quota_accounts(const quota_rule& rule) : rule_(rule) {}

void quota_accounts::set_fleet(const ref_ptr<const shard_owners>& owners, std::size_t shares,
                               instant now)
{
    if (!owners_)
    {
        known_since_ = now;
        for (auto& [organisation, item] : entries_)
        {
            item.account_.restart_fixed_share(now);
        }
    }
    owners_ = owners;
    shares_ = shares;
}

void quota_accounts::set_provisional_parts(std::size_t parts, instant now)
{
    if (provisional_parts_ == 0)
    {
        provisional_since_ = now;
    }
    provisional_parts_ = parts;
}

bool quota_accounts::knows_fleet() const
{
    return owners_ != nullptr;
}

quota_decision quota_accounts::decide(std::string_view organisation, const quota_limit& limit,
                                      double draw, instant now)
{
    auto found = entries_.find(organisation);
    if (found == entries_.end())
    {
        found = entries_
                    .emplace(std::string(organisation),
                             entry{.account_ = {rule_, limit, shares_, now, now - known_since_},
                                   .fixed_until_ = now})
                    .first;
    }
    entry& item = found->second;
    item.account_.set_limit(limit, shares_, now);
    item.account_.record_arrival(now);
    return decide_waiting(organisation, draw, now);
}

quota_decision quota_accounts::decide_waiting(std::string_view organisation, double draw,
                                              instant now)
{
    entry* item = find(organisation);
    if (item == nullptr)
    {
        return decide_without_owner(organisation, draw, now);
    }
    if (item->account_.take(now))
    {
        return {.balance_ = item->account_.balance()};
    }
    if (const auto retry = item->account_.refuse_by_last_reply(now))
    {
        return {quota_decision::result::refused, quota_decider::last_reply, *retry};
    }
    if (!knows_fleet() && provisional_parts_ > 0)
    {
        return decide_provisionally(*item, draw, now);
    }
    if (now < item->fixed_until_)
    {
        return decide_by_fixed_share(*item, draw, now);
    }
    return {.result_ = quota_decision::result::waits};
}

quota_decision quota_accounts::decide_without_owner(std::string_view organisation, double draw,
                                                    instant now)
{
    entry* item = find(organisation);
    if (item == nullptr)
    {
        return {quota_decision::result::refused, quota_decider::fixed_share, credit_validity};
    }
    return decide_by_fixed_share(*item, draw, now);
}

std::optional<quota_call> quota_accounts::begin_ask(std::string_view organisation,
                                                    std::uint32_t waiting, instant now)
{
    entry* item = find(organisation);
    if (item == nullptr || item->account_.is_asking() ||
        (waiting == 0 && !item->account_.runs_out(now)))
    {
        return std::nullopt;
    }
    if (!owners_)
    {
        return std::nullopt;
    }
    const std::size_t shard = shard_owners::shard_of(organisation);
    const shard_node* node = choose_node(shard, *item, now);
    if (node == nullptr)
    {
        item->fixed_until_ = now + failed_time;
        return std::nullopt;
    }
    quota_call call{*node, item->account_.begin_ask(waiting, now)};
    call.ask_.organisation_ = std::string(organisation);
    call.ask_.role_ = item->role_;
    if (item->role_ != quota_role::owner)
    {
        call.ask_.owner_ = owners_->first(shard)->node_;
    }
    return call;
}

std::uint32_t quota_accounts::end_ask(std::string_view organisation, std::string_view node,
                                      const quota_reply& reply, std::uint32_t waiting, instant now)
{
    entry* item = find(organisation);
    if (item == nullptr)
    {
        return 0;
    }
    const quota_role asked = item->role_;
    if (const auto failed = failed_.find(node); failed != failed_.end())
    {
        failed_.erase(failed);
    }
    if (reply.verdict_ == quota_verdict::granted || reply.verdict_ == quota_verdict::refused)
    {
        return item->account_.end_ask(reply, waiting, now);
    }
    item->account_.abandon_ask();
    if (asked == quota_role::owner)
    {
        const bool redirected = reply.verdict_ == quota_verdict::redirected;
        item->next_role_ = redirected ? quota_role::redirected : quota_role::substitute;
    }
    else
    {
        // Nobody who could be asked knows the shard or the organisation yet.
        item->fixed_until_ = now + failed_time;
    }
    return 0;
}

void quota_accounts::fail_ask(std::string_view organisation, std::string_view node, bool timed_out,
                              instant now)
{
    failed_node& failed = failed_[std::string(node)];
    failed.failed_at_ = now;
    ++failed.timeouts_;
    if (!timed_out || failed.timeouts_ > 1)
    {
        failed.until_ = now + failed_time;
    }
    if (entry* item = find(organisation))
    {
        item->account_.abandon_ask();
        item->next_role_ =
            item->role_ == quota_role::redirected ? quota_role::redirected : quota_role::owner;
    }
}

void quota_accounts::give_back(std::string_view organisation, instant taken, instant now)
{
    if (entry* item = find(organisation))
    {
        item->account_.give_back(taken, now);
    }
}

void quota_accounts::prune(instant now)
{
    std::erase_if(entries_, [now](const auto& pair) { return pair.second.account_.is_idle(now); });
    std::erase_if(failed_,
                  [now](const auto& pair) { return now - pair.second.failed_at_ > failed_memory; });
}

std::size_t quota_accounts::account_count() const
{
    return entries_.size();
}

quota_accounts::entry* quota_accounts::find(std::string_view organisation)
{
    const auto found = entries_.find(organisation);
    return found == entries_.end() ? nullptr : &found->second;
}

const shard_node* quota_accounts::choose_node(std::size_t shard, entry& item, instant now) const
{
    const shard_node* first = owners_->first(shard);
    if (first == nullptr)
    {
        return nullptr;
    }
    item.role_ = std::exchange(item.next_role_, quota_role::owner);
    if (item.role_ == quota_role::owner)
    {
        if (!is_failed(*first, now))
        {
            return first;
        }
        item.role_ = quota_role::substitute;
    }
    const shard_node* second = owners_->second(shard);
    return second != nullptr && !is_failed(*second, now) ? second : nullptr;
}

bool quota_accounts::is_failed(const shard_node& node, instant now) const
{
    const auto found = failed_.find(node.node_);
    return found != failed_.end() && now < found->second.until_;
}

quota_decision quota_accounts::decide_provisionally(entry& item, double draw, instant now)
{
    const bool admitted =
        item.account_.take_provisional(provisional_parts_, draw, provisional_since_, now);
    return {admitted ? quota_decision::result::admitted : quota_decision::result::refused,
            quota_decider::fixed_share, item.account_.fixed_retry_after()};
}

quota_decision quota_accounts::decide_by_fixed_share(entry& item, double draw, instant now)
{
    const bool admitted = knows_fleet() && item.account_.take_fixed(draw, now);
    return {admitted ? quota_decision::result::admitted : quota_decision::result::refused,
            quota_decider::fixed_share, item.account_.fixed_retry_after()};
}

} // namespace bamboohoist
