#include "daemon/table_sync.hpp"

#include "wire/gossip_codec.hpp"

namespace bamboohoist {

namespace {

constexpr std::string_view sync_path = "/sync";
constexpr std::string_view survey_path = "/survey";
constexpr duration period = std::chrono::seconds(1);
/// An exchange that takes longer than this no longer holds up one with another node.
constexpr duration patience = std::chrono::milliseconds(500);
constexpr std::size_t max_pending = 3;

} // namespace

table_sync::table_sync(const control_context& context, control_link& link,
                       const member_table& table, merger merge)
    : context_(context), link_(link), table_(table), merge_(std::move(merge))
{
    link_.add_responder(sync_path, [this](std::string_view body) { return handle_sync(body); });
    link_.add_responder(survey_path, [this](std::string_view body) { return handle_survey(body); });
}

void table_sync::start()
{
    last_ = context_.clock_.now();
}

void table_sync::fetch(const endpoint& gossip)
{
    const instant now = context_.clock_.now();
    const bool too_early = pending_ > 0 && now - last_ < patience;
    if (too_early || pending_ >= max_pending)
    {
        return;
    }
    ++pending_;
    last_ = now;
    if (knows_fleet())
    {
        fetch_records(gossip);
        return;
    }
    link_.call(gossip, survey_path, encode_digest(table_.digest()),
               [this, gossip, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                   if (!alive)
                   {
                       return;
                   }
                   auto reply = body ? decode_survey(*body) : std::nullopt;
                   if (!reply)
                   {
                       fetch_records(gossip);
                       return;
                   }
                   survey_.on_table(reply->knows_fleet_);
                   end(reply->records_);
               });
}

void table_sync::fetch_records(const endpoint& gossip)
{
    link_.call(gossip, sync_path, encode_digest(table_.digest()),
               [this, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                   if (alive)
                   {
                       end(body ? decode_records(*body) : std::nullopt);
                   }
               });
}

void table_sync::end(const std::optional<std::vector<member_record>>& records)
{
    --pending_;
    if (records)
    {
        merge_(*records);
    }
}

void table_sync::fetch_if_different(std::uint64_t own_fingerprint, std::uint64_t remote_fingerprint,
                                    const endpoint& gossip)
{
    const instant now = context_.clock_.now();
    // Pending updates explain a difference, but they postpone the exchange only for a while.
    const bool may_fetch = !table_.has_pending_updates() || now - last_ > period * 4;
    if (remote_fingerprint != own_fingerprint && may_fetch && now - last_ > period)
    {
        fetch(gossip);
    }
}

void table_sync::on_listed(std::size_t others, bool itself)
{
    survey_.on_listed(others, itself, context_.clock_.now());
}

std::size_t table_sync::provisional_parts() const
{
    return survey_.provisional_parts();
}

bool table_sync::knows_fleet()
{
    if (known_)
    {
        return true;
    }
    const std::size_t peers = table_.peers().size();
    const instant now = context_.clock_.now();
    survey_.on_peers(peers, now);
    known_ = survey_.is_complete(now);
    if (known_)
    {
        event entry;
        entry.subject_ = table_.self().node_;
        entry.what_ = "fleet known";
        entry.rule_ = "survey: " + std::string(survey_.reason());
        entry.evidence_ = std::to_string(peers) + " other nodes";
        context_.record(std::move(entry));
    }
    return known_;
}

std::optional<std::string> table_sync::handle_sync(std::string_view body) const
{
    const auto digest = decode_digest(body);
    return digest ? std::optional(encode_records(table_.newer_than(*digest))) : std::nullopt;
}

std::optional<std::string> table_sync::handle_survey(std::string_view body)
{
    const auto digest = decode_digest(body);
    if (!digest)
    {
        return std::nullopt;
    }
    // A node that leaves may have seen all others leave with it, and not those that start.
    const bool leaves = table_.self().state_ == member_state::left;
    return encode_survey(!leaves && knows_fleet(), table_.newer_than(*digest));
}

} // namespace bamboohoist
