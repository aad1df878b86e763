#include "policy/member_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace bamboohoist {

namespace {

/// How often a change is sent, as a multiple of the binary logarithm of the fleet's size. Nodes
/// that miss an update receive it when tables are compared.
constexpr std::uint32_t send_factor = 1;
/// How often a change is sent out of a failure domain in total, whatever the number of its nodes:
/// traffic between failure domains is expensive, and between regions most of all.
constexpr double cross_domain_sends = 4.5;
constexpr double max_cross_domain_fraction = 0.15;
constexpr double own_region_probability = 0.8;
/// Nodes that died within this time of each other died together: the nodes of a part of the fleet
/// that is cut off are found dead within a few probe periods.
constexpr duration death_spread = std::chrono::seconds(3);
/// Single dead nodes count as cut off for this time.
constexpr duration single_death_time = std::chrono::seconds(60);
/// At most this fraction of the fleet is taken for single nodes that ended. If they are only cut
/// off, this is the part of a quota by which it can be exceeded.
constexpr double single_death_fraction = 0.05;

bool is_present(const member_record& record)
{
    return record.state_ == member_state::alive || record.state_ == member_state::suspect;
}

member_digest digest_of(const member_record& record)
{
    return {record.node_, record.incarnation_, record.version_, record.state_};
}

bool supersedes_digest(const member_digest& left, const member_digest& right)
{
    if (left.incarnation_ != right.incarnation_)
    {
        return left.incarnation_ > right.incarnation_;
    }
    // A node that left does not come back under the same incarnation.
    const bool left_final = left.state_ == member_state::left;
    const bool right_final = right.state_ == member_state::left;
    if (left_final != right_final)
    {
        return left_final;
    }
    return std::tie(left.version_, left.state_) > std::tie(right.version_, right.state_);
}

} // namespace

bool supersedes(const member_record& left, const member_record& right)
{
    return supersedes_digest(digest_of(left), digest_of(right));
}

member_table::member_table(member_record self, duration suspicion_timeout, duration tombstone_time)
    : suspicion_timeout_(suspicion_timeout), tombstone_time_(tombstone_time)
{
    self_.record_ = std::move(self);
}

bool member_table::merge(const member_record& received, instant now)
{
    if (received.node_ == self_.record_.node_)
    {
        const bool is_contradiction = supersedes(received, self_.record_);
        if (is_contradiction && self_.record_.state_ == member_state::alive)
        {
            // Refutes the record: in the fleet the higher incarnation and version win. An
            // incarnation above this node's own comes from an earlier start with a fast clock.
            const bool same_incarnation = received.incarnation_ == self_.record_.incarnation_;
            self_.record_.incarnation_ =
                same_incarnation ? received.incarnation_ : received.incarnation_ + 1;
            self_.record_.version_ = received.version_ + 1;
            self_.send_count_ = 0;
            ++change_count_;
        }
        return is_contradiction;
    }
    const auto found = members_.find(received.node_);
    if (found == members_.end())
    {
        entry added;
        replace(added, received, now);
        members_.emplace(received.node_, std::move(added));
        return true;
    }
    if (!supersedes(received, found->second.record_))
    {
        return false;
    }
    replace(found->second, received, now);
    return true;
}

void member_table::update_self(std::span<const target_record> targets)
{
    self_.record_.targets_.assign(targets.begin(), targets.end());
    ++self_.record_.version_;
    self_.send_count_ = 0;
    ++change_count_;
}

void member_table::leave_self()
{
    self_.record_.state_ = member_state::left;
    ++self_.record_.version_;
    self_.send_count_ = 0;
    ++change_count_;
}

bool member_table::suspect(std::string_view node, instant now)
{
    const auto found = members_.find(node);
    if (found == members_.end() || found->second.record_.state_ != member_state::alive)
    {
        return false;
    }
    entry& known = found->second;
    known.record_.state_ = member_state::suspect;
    known.since_ = now;
    known.send_count_ = 0;
    known.own_suspicion_ = true;
    ++change_count_;
    return true;
}

void member_table::confirm_alive(std::string_view node, std::uint64_t incarnation)
{
    const auto found = members_.find(node);
    if (found == members_.end())
    {
        return;
    }
    entry& known = found->second;
    const bool suspected_here =
        known.own_suspicion_ && known.record_.state_ == member_state::suspect;
    if (suspected_here && known.record_.incarnation_ == incarnation)
    {
        known.record_.state_ = member_state::alive;
        known.own_suspicion_ = false;
        ++change_count_;
    }
}

std::vector<std::string> member_table::advance(instant now)
{
    std::vector<std::string> newly_dead;
    for (auto& [node, known] : members_)
    {
        const bool expired = now - known.since_ >= suspicion_timeout_;
        if (known.record_.state_ == member_state::suspect && expired)
        {
            known.record_.state_ = member_state::dead;
            known.since_ = now;
            known.send_count_ = 0;
            ++change_count_;
            newly_dead.push_back(node);
        }
    }
    std::erase_if(members_, [&](const auto& pair) {
        return !is_present(pair.second.record_) && now - pair.second.since_ >= tombstone_time_;
    });
    return newly_dead;
}

std::vector<const member_record*>
member_table::select_updates(std::size_t budget, std::size_t (*cost)(const member_record&))
{
    std::vector<entry*> pending;
    const std::uint32_t limit = send_limit();
    if (self_.send_count_ < limit)
    {
        pending.push_back(&self_);
    }
    for (auto& [node, known] : members_)
    {
        if (known.send_count_ < limit)
        {
            pending.push_back(&known);
        }
    }
    std::ranges::stable_sort(pending, {}, [](const entry* item) { return item->send_count_; });
    std::vector<const member_record*> chosen;
    std::size_t used = 0;
    for (entry* item : pending)
    {
        const std::size_t size = cost(item->record_);
        if (used + size > budget && !chosen.empty())
        {
            break;
        }
        used += size;
        ++item->send_count_;
        chosen.push_back(&item->record_);
    }
    return chosen;
}

bool member_table::has_pending_updates() const
{
    const std::uint32_t limit = send_limit();
    return self_.send_count_ < limit || std::ranges::any_of(members_, [&](const auto& pair) {
               return pair.second.send_count_ < limit;
           });
}

const member_record* member_table::random_peer(random_source& random) const
{
    // Peers of the same failure domain, of the same region and of other regions. Each group is
    // picked with its probability, or else the next one.
    std::array<std::vector<const member_record*>, 3> pools;
    for (const member_record* peer : peers())
    {
        const bool same_region = peer->region_ == self_.record_.region_;
        const bool same_domain = same_region && peer->domain_ == self_.record_.domain_;
        pools[same_domain ? 0 : same_region ? 1 : 2].push_back(peer);
    }
    const std::array<double, 3> pick_probabilities{1.0 - cross_domain_fraction(pools[0].size() + 1),
                                                   own_region_probability, 1.0};
    const std::vector<const member_record*>* chosen = nullptr;
    for (std::size_t i = 0; i < pools.size(); ++i)
    {
        if (pools[i].empty())
        {
            continue;
        }
        chosen = &pools[i];
        if (random.chance(pick_probabilities[i]))
        {
            break;
        }
    }
    return chosen == nullptr ? nullptr : (*chosen)[random.index(chosen->size())];
}

double member_table::cross_domain_fraction(std::size_t domain_size) const
{
    const auto sends = static_cast<double>(domain_size * send_limit());
    return std::min(max_cross_domain_fraction, cross_domain_sends / sends);
}

std::vector<const member_record*> member_table::peers() const
{
    std::vector<const member_record*> present;
    for (const auto& [node, known] : members_)
    {
        if (is_present(known.record_))
        {
            present.push_back(&known.record_);
        }
    }
    return present;
}

const member_record& member_table::self() const
{
    return self_.record_;
}

const member_record* member_table::find(std::string_view node) const
{
    if (node == self_.record_.node_)
    {
        return &self_.record_;
    }
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second.record_;
}

std::vector<const member_record*> member_table::all() const
{
    std::vector<const member_record*> records{&self_.record_};
    for (const auto& [node, known] : members_)
    {
        records.push_back(&known.record_);
    }
    std::ranges::sort(records, {},
                      [](const member_record* record) { return std::string_view(record->node_); });
    return records;
}

std::vector<member_digest> member_table::digest() const
{
    std::vector<member_digest> digests;
    for (const member_record* record : all())
    {
        digests.push_back(digest_of(*record));
    }
    return digests;
}

std::vector<const member_record*>
member_table::newer_than(std::span<const member_digest> remote) const
{
    std::map<std::string_view, const member_digest*> known;
    for (const member_digest& entry : remote)
    {
        known.emplace(entry.node_, &entry);
    }
    std::vector<const member_record*> newer;
    for (const member_record* record : all())
    {
        const auto found = known.find(record->node_);
        if (found == known.end() || supersedes_digest(digest_of(*record), *found->second))
        {
            newer.push_back(record);
        }
    }
    return newer;
}

std::vector<std::string> member_table::cut_off_nodes(instant now) const
{
    std::vector<instant> deaths;
    for (const auto& [node, known] : members_)
    {
        if (known.record_.state_ == member_state::dead)
        {
            deaths.push_back(known.since_);
        }
    }
    std::ranges::sort(deaths);
    const auto present = static_cast<double>(peers().size() + 1);
    auto may_have_ended = static_cast<std::ptrdiff_t>(single_death_fraction * present);
    const auto limit = may_have_ended;
    std::vector<std::string> nodes;
    for (const auto& [node, known] : members_)
    {
        if (known.record_.state_ != member_state::dead)
        {
            continue;
        }
        const auto first = std::ranges::lower_bound(deaths, known.since_ - death_spread);
        const auto last = std::ranges::upper_bound(deaths, known.since_ + death_spread);
        const bool single = last - first <= limit && now - known.since_ >= single_death_time;
        if (single && may_have_ended > 0)
        {
            --may_have_ended;
            continue;
        }
        nodes.push_back(node);
    }
    return nodes;
}

std::uint64_t member_table::fingerprint() const
{
    std::uint64_t combined = 0;
    for (const member_record* record : all())
    {
        const std::string text = std::to_string(record->incarnation_) + ":" +
                                 std::to_string(record->version_) + ":" +
                                 std::to_string(static_cast<int>(record->state_));
        combined += hash_parts({record->node_, text});
    }
    return combined;
}

std::uint64_t member_table::change_count() const
{
    return change_count_;
}

void member_table::replace(entry& known, const member_record& received, instant now)
{
    known.record_ = received;
    known.since_ = now;
    known.send_count_ = 0;
    known.own_suspicion_ = false;
    ++change_count_;
}

std::uint32_t member_table::send_limit() const
{
    return send_factor * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

} // namespace bamboohoist
