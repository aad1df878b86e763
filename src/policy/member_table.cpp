#include "policy/member_table.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace bamboohoist {

namespace {

/// How often a change is told, as a multiple of the logarithm of the fleet's size.
/// Whoever a rumour misses learns it from a comparison of tables.
constexpr std::uint32_t tell_factor = 1;
/// Bytes between failure domains are dear, those between regions most. A change leaves a domain
/// about so often, however many of its nodes tell it.
constexpr double far_tells = 4.5;
constexpr double most_far_share = 0.15;
constexpr double own_region_bias = 0.8;

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

bool member_table::merge(const member_record& heard, instant now)
{
    if (heard.node_ == self_.record_.node_)
    {
        const bool wrong = supersedes(heard, self_.record_);
        if (wrong && self_.record_.state_ == member_state::alive)
        {
            // Refutes the claim: the fleet believes the higher incarnation and version. A higher
            // incarnation than this one's stems from a start under a clock that ran ahead.
            const bool same = heard.incarnation_ == self_.record_.incarnation_;
            self_.record_.incarnation_ = same ? heard.incarnation_ : heard.incarnation_ + 1;
            self_.record_.version_ = heard.version_ + 1;
            self_.told_ = 0;
            ++changes_;
        }
        return wrong;
    }
    const auto found = members_.find(heard.node_);
    if (found == members_.end())
    {
        entry added;
        replace(added, heard, now);
        members_.emplace(heard.node_, std::move(added));
        return true;
    }
    if (!supersedes(heard, found->second.record_))
    {
        return false;
    }
    replace(found->second, heard, now);
    return true;
}

void member_table::update_self(std::span<const target_record> targets)
{
    self_.record_.targets_.assign(targets.begin(), targets.end());
    ++self_.record_.version_;
    self_.told_ = 0;
    ++changes_;
}

void member_table::leave_self()
{
    self_.record_.state_ = member_state::left;
    ++self_.record_.version_;
    self_.told_ = 0;
    ++changes_;
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
    known.told_ = 0;
    known.own_suspicion_ = true;
    ++changes_;
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
    const bool mine = known.own_suspicion_ && known.record_.state_ == member_state::suspect;
    if (mine && known.record_.incarnation_ == incarnation)
    {
        known.record_.state_ = member_state::alive;
        known.own_suspicion_ = false;
        ++changes_;
    }
}

std::vector<std::string> member_table::advance(instant now)
{
    std::vector<std::string> newly_dead;
    for (auto& [node, known] : members_)
    {
        const bool run_out = now - known.since_ >= suspicion_timeout_;
        if (known.record_.state_ == member_state::suspect && run_out)
        {
            known.record_.state_ = member_state::dead;
            known.since_ = now;
            known.told_ = 0;
            ++changes_;
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
    std::vector<entry*> hot;
    const std::uint32_t limit = tell_limit();
    if (self_.told_ < limit)
    {
        hot.push_back(&self_);
    }
    for (auto& [node, known] : members_)
    {
        if (known.told_ < limit)
        {
            hot.push_back(&known);
        }
    }
    std::ranges::stable_sort(hot, {}, [](const entry* item) { return item->told_; });
    std::vector<const member_record*> chosen;
    std::size_t spent = 0;
    for (entry* item : hot)
    {
        const std::size_t size = cost(item->record_);
        if (spent + size > budget && !chosen.empty())
        {
            break;
        }
        spent += size;
        ++item->told_;
        chosen.push_back(&item->record_);
    }
    return chosen;
}

bool member_table::has_pending_updates() const
{
    const std::uint32_t limit = tell_limit();
    return self_.told_ < limit || std::ranges::any_of(members_, [&](const auto& pair) {
               return pair.second.told_ < limit;
           });
}

const member_record* member_table::random_peer(random_source& random) const
{
    // Of the own failure domain, of the own region and of the others.
    std::array<std::vector<const member_record*>, 3> pools;
    for (const member_record* peer : peers())
    {
        const bool near = peer->region_ == self_.record_.region_;
        const bool here = near && peer->domain_ == self_.record_.domain_;
        pools[here ? 0 : near ? 1 : 2].push_back(peer);
    }
    const std::array<double, 3> biases{1.0 - far_share(pools[0].size() + 1), own_region_bias, 1.0};
    const std::vector<const member_record*>* chosen = nullptr;
    for (std::size_t i = 0; i < pools.size(); ++i)
    {
        if (pools[i].empty())
        {
            continue;
        }
        chosen = &pools[i];
        if (random.chance(biases[i]))
        {
            break;
        }
    }
    return chosen == nullptr ? nullptr : (*chosen)[random.index(chosen->size())];
}

double member_table::far_share(std::size_t here) const
{
    const auto tells = static_cast<double>(here * tell_limit());
    return std::min(most_far_share, far_tells / tells);
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
member_table::newer_than(std::span<const member_digest> theirs) const
{
    std::map<std::string_view, const member_digest*> known;
    for (const member_digest& entry : theirs)
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
    return changes_;
}

void member_table::replace(entry& known, const member_record& heard, instant now)
{
    known.record_ = heard;
    known.since_ = now;
    known.told_ = 0;
    known.own_suspicion_ = false;
    ++changes_;
}

std::uint32_t member_table::tell_limit() const
{
    return tell_factor * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

} // namespace bamboohoist
