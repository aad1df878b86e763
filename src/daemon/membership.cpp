#include "daemon/membership.hpp"

#include "core/error.hpp"

#include <algorithm>
#include <array>

namespace bamboohoist {

namespace {

constexpr duration round_period = std::chrono::milliseconds(200);
constexpr std::uint64_t rounds_per_probe = 3;
constexpr std::uint64_t rounds_per_dead_contact = 25;
constexpr std::size_t update_fan_out = 2; ///< Peers that get an update in one round.
/// Peers to which a new revision is sent without waiting for the next round.
constexpr std::size_t revision_fan_out = 4;
constexpr duration indirect_probe_delay = std::chrono::milliseconds(400);
constexpr duration probe_timeout = std::chrono::milliseconds(1000);
constexpr std::size_t indirect_probe_count = 3;
constexpr duration suspicion_timeout = std::chrono::seconds(3);
constexpr duration tombstone_time = std::chrono::minutes(30);
/// Fits into one Ethernet frame together with the fixed part of a message.
constexpr std::size_t update_budget_bytes = 1000;

member_record make_self_record(const control_context& context)
{
    member_record record;
    record.node_ = context.settings_.node_;
    record.region_ = context.settings_.region_;
    record.domain_ = context.settings_.domain_;
    record.incarnation_ = static_cast<std::uint64_t>(context.clock_.wall_ms());
    record.version_ = 1;
    return record;
}

const path_spec* find_path(const settings& node_settings, std::string_view node)
{
    const auto found = std::ranges::find(node_settings.paths_, node, &path_spec::node_);
    return found == node_settings.paths_.end() ? nullptr : &*found;
}

} // namespace

const membership::handler membership::handlers[] = {
    &membership::on_ping,         &membership::on_ack,
    &membership::on_ping_request, &membership::on_in_force_report,
    &membership::on_remote_crash, &membership::on_update,
};

membership::membership(const control_context& context, control_link& link,
                       membership_listener& listener)
    : context_(context), link_(link), listener_(listener),
      table_(make_self_record(context), suspicion_timeout, tombstone_time),
      socket_(context,
              [this](std::string_view bytes, const endpoint& from) { receive(bytes, from); }),
      sync_(context, link, table_,
            [this](std::span<const member_record> records) {
                merge_records(records);
                report_fleet_known();
            }),
      probes_(indirect_probe_delay, probe_timeout),
      round_timer_(context.loop_, [this] { run_round(); })
{
}

std::string_view membership::name() const
{
    return "membership";
}

void membership::set_guard_port(std::uint16_t port)
{
    member_record record = table_.self();
    endpoint peers = context_.settings_.peers_;
    peers.port_ = port;
    record.guard_address_ = to_string(context_.settings_.advertise_peers_.value_or(peers));
    endpoint gossip = context_.settings_.gossip_;
    gossip.port_ = link_.port();
    record.gossip_address_ = to_string(context_.settings_.advertise_gossip_.value_or(gossip));
    table_ = member_table(std::move(record), suspicion_timeout, tombstone_time);
}

bool membership::start()
{
    endpoint local = context_.settings_.gossip_;
    local.port_ = link_.port();
    if (!socket_.open(local))
    {
        return false;
    }
    sync_.start();
    round_timer_.repeat(round_period);
    return true;
}

void membership::stop()
{
    round_timer_.cancel();
    socket_.close();
    probes_.clear();
}

const member_table& membership::table() const
{
    return table_;
}

void membership::update_targets(std::span<const target_record> targets)
{
    table_.update_self(targets);
    report_changes();
}

void membership::announce_leave()
{
    table_.leave_self();
    // The process ends soon and its rounds with it, so several peers are informed now.
    for (const member_record* peer : table_.peers())
    {
        if (peer->domain_ == table_.self().domain_ || context_.random_.chance(0.2))
        {
            ping(*peer);
        }
    }
    report_changes();
}

void membership::sync_with(const endpoint& gossip)
{
    sync_.fetch(gossip);
}

void membership::on_listed(std::size_t others, bool itself)
{
    sync_.on_listed(others, itself);
    if (!fleet_known_)
    {
        listener_.on_members_changed();
    }
}

std::size_t membership::provisional_parts() const
{
    return sync_.provisional_parts();
}

bool membership::knows_fleet() const
{
    return fleet_known_;
}

void membership::introduce_to(const endpoint& gossip)
{
    gossip_message message;
    message.kind_ = gossip_kind::update;
    message.records_.push_back(table_.self());
    send(gossip, std::move(message), false);
}

void membership::set_revision(std::uint64_t revision, bool accepted)
{
    const bool changed = revision != revision_ || accepted != accepted_;
    revision_ = revision;
    accepted_ = accepted;
    if (!changed)
    {
        return;
    }
    // Every message carries the number. Some are sent now; the rounds inform the other nodes.
    for (std::size_t i = 0; i < revision_fan_out; ++i)
    {
        if (const member_record* peer = table_.random_peer(context_.random_))
        {
            send_update(*peer);
        }
    }
}

void membership::report_in_force(const endpoint& coordinator, std::uint64_t revision)
{
    gossip_message message;
    message.kind_ = gossip_kind::in_force;
    message.sequence_ = revision;
    send(coordinator, std::move(message), false);
}

void membership::send_crash_report(std::string_view crash_id,
                                   std::span<const std::uint64_t> suspects,
                                   std::span<const std::string> nodes)
{
    for (const std::string& node : nodes)
    {
        const member_record* member = table_.find(node);
        if (member == nullptr || node == table_.self().node_)
        {
            continue;
        }
        gossip_message message;
        message.kind_ = gossip_kind::target_crash;
        message.subject_ = std::string(crash_id);
        message.crash_suspects_.assign(suspects.begin(), suspects.end());
        send(gossip_endpoint(*member), std::move(message), false);
    }
}

void membership::send_self_record(std::span<const std::string> nodes)
{
    for (const std::string& node : nodes)
    {
        const member_record* member = table_.find(node);
        if (member != nullptr && node != table_.self().node_)
        {
            introduce_to(gossip_endpoint(*member));
        }
    }
}

endpoint membership::gossip_endpoint(const member_record& member) const
{
    const path_spec* path = find_path(context_.settings_, member.node_);
    if (path != nullptr && path->gossip_)
    {
        return *path->gossip_;
    }
    return parse_endpoint(member.gossip_address_).value_or(endpoint{});
}

std::string membership::guard_address(const member_record& member) const
{
    const path_spec* path = find_path(context_.settings_, member.node_);
    return path != nullptr && path->peers_ ? to_string(*path->peers_) : member.guard_address_;
}

void membership::receive(std::string_view bytes, const endpoint& from)
{
    const auto message = decode_gossip(bytes);
    if (!message || message->from_ == table_.self().node_)
    {
        return;
    }
    context_.hybrid_clock_.observe(message->stamp_);
    merge_records(message->records_);
    table_.confirm_alive(message->from_, message->incarnation_);
    const member_record* sender = table_.find(message->from_);
    if (sender != nullptr)
    {
        const endpoint path = gossip_endpoint(*sender);
        listener_.on_peer_revision(message->revision_, message->accepted_, path);
        sync_.fetch_if_different(fingerprint(), message->fingerprint_, path);
    }
    else
    {
        // This node has restarted and the sender knows it from before.
        sync_with(from);
    }
    (this->*handlers[static_cast<std::size_t>(message->kind_)])(*message, from);
    report_changes();
}

void membership::on_ping(const gossip_message& message, const endpoint& from)
{
    gossip_message ack;
    ack.kind_ = gossip_kind::ack;
    ack.sequence_ = message.sequence_;
    send(from, std::move(ack), true);
}

void membership::on_ack(const gossip_message& message, const endpoint&)
{
    const auto probe = probes_.complete_probe(message.sequence_, message.from_);
    const member_record* requester = probe ? table_.find(probe->requester_) : nullptr;
    if (requester != nullptr)
    {
        gossip_message relayed;
        relayed.kind_ = gossip_kind::ack;
        relayed.sequence_ = probe->requester_sequence_;
        send(gossip_endpoint(*requester), std::move(relayed), false);
    }
}

void membership::on_ping_request(const gossip_message& message, const endpoint&)
{
    const member_record* subject = table_.find(message.subject_);
    if (subject == nullptr)
    {
        return;
    }
    gossip_message ping;
    ping.sequence_ = probes_.start_indirect(subject->node_, message.from_, message.sequence_,
                                            context_.clock_.now());
    send(gossip_endpoint(*subject), std::move(ping), false);
}

void membership::on_in_force_report(const gossip_message& message, const endpoint&)
{
    listener_.on_in_force_report({message.from_, message.incarnation_, message.domain_},
                                 message.sequence_);
}

void membership::on_remote_crash(const gossip_message& message, const endpoint&)
{
    listener_.on_remote_crash(message.from_, message.subject_, message.crash_suspects_);
}

void membership::on_update(const gossip_message&, const endpoint&)
{
    // `receive()` has merged the records, as it does for every message.
}

void membership::merge_records(std::span<const member_record> records)
{
    const instant now = context_.clock_.now();
    for (const member_record& record : records)
    {
        const member_record* known = table_.find(record.node_);
        const bool is_new = known == nullptr;
        const member_state before = is_new ? member_state::dead : known->state_;
        if (!table_.merge(record, now))
        {
            continue;
        }
        context_.metrics_.add(counter::member_changes);
        constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
        const member_record* after = table_.find(record.node_);
        if (is_new || before != after->state_)
        {
            event entry;
            entry.subject_ = record.node_;
            entry.what_ = "node " + std::string(names[static_cast<std::size_t>(after->state_)]);
            entry.rule_ = "membership: a peer reported this state";
            entry.evidence_ = "incarnation " + std::to_string(record.incarnation_) + ", version " +
                              std::to_string(record.version_);
            context_.record(std::move(entry));
        }
    }
}

void membership::run_round()
{
    ++rounds_;
    const instant now = context_.clock_.now();
    for (const std::string& node : table_.advance(now))
    {
        event entry;
        entry.subject_ = node;
        entry.what_ = "node dead";
        entry.rule_ = "membership: the node did not refute the suspicion in time";
        entry.evidence_ = "suspect for " + std::to_string(to_ms(suspicion_timeout)) + " ms";
        context_.record(std::move(entry));
    }
    check_probes();
    if (rounds_ % rounds_per_probe == 0)
    {
        probe_next_member();
    }
    if (rounds_ % rounds_per_dead_contact == 0)
    {
        contact_dead_member();
    }
    for (std::size_t i = 0; i < update_fan_out && table_.has_pending_updates(); ++i)
    {
        if (const member_record* peer = table_.random_peer(context_.random_))
        {
            send_update(*peer);
        }
    }
    survey_fleet();
    report_changes();
}

void membership::survey_fleet()
{
    report_fleet_known();
    const member_record* peer = fleet_known_ ? nullptr : table_.random_peer(context_.random_);
    if (peer != nullptr)
    {
        sync_with(gossip_endpoint(*peer));
    }
}

void membership::report_fleet_known()
{
    if (!fleet_known_ && sync_.knows_fleet())
    {
        fleet_known_ = true;
        listener_.on_members_changed();
    }
}

void membership::probe_next_member()
{
    const member_record* member = probes_.choose_next(table_, context_.random_);
    if (member == nullptr)
    {
        return;
    }
    const std::string& domain = table_.self().domain_;
    const auto peers = table_.peers();
    const auto near_count = std::ranges::count(peers, domain, &member_record::domain_);
    if (member->domain_ == domain || context_.random_.chance(cross_domain_probe_probability(
                                         static_cast<std::size_t>(near_count))))
    {
        ping(*member);
    }
}

void membership::check_probes()
{
    const instant now = context_.clock_.now();
    const probes_due due = probes_.check_timeouts(now);
    for (const member_probe& probe : due.probe_indirectly_)
    {
        request_indirect_probes(probe);
    }
    for (const std::string& node : due.unresponsive_)
    {
        if (table_.suspect(node, now))
        {
            event entry;
            entry.subject_ = node;
            entry.what_ = "node suspect";
            entry.rule_ = "membership: no reply to a direct or an indirect probe";
            entry.evidence_ = "no reply within " + std::to_string(to_ms(probe_timeout)) + " ms";
            context_.record(std::move(entry));
        }
    }
}

void membership::request_indirect_probes(const member_probe& probe)
{
    for (std::size_t i = 0; i < indirect_probe_count; ++i)
    {
        const member_record* helper = table_.random_peer(context_.random_);
        if (helper == nullptr || helper->node_ == probe.node_)
        {
            continue;
        }
        gossip_message message;
        message.kind_ = gossip_kind::ping_request;
        message.sequence_ = probe.sequence_;
        message.subject_ = probe.node_;
        send(gossip_endpoint(*helper), std::move(message), false);
    }
}

void membership::contact_dead_member()
{
    std::vector<const member_record*> dead;
    for (const member_record* record : table_.all())
    {
        if (record->state_ == member_state::dead)
        {
            dead.push_back(record);
        }
    }
    if (!dead.empty())
    {
        // A node that was partitioned off learns by this that it is considered dead, and refutes
        // it with a higher version.
        const member_record* chosen = dead[context_.random_.index(dead.size())];
        gossip_message message;
        message.sequence_ = probes_.next_sequence();
        message.records_.push_back(*chosen);
        send(gossip_endpoint(*chosen), std::move(message), false);
    }
}

void membership::send(const endpoint& remote, gossip_message message, bool with_updates)
{
    message.from_ = table_.self().node_;
    message.incarnation_ = table_.self().incarnation_;
    message.domain_ = table_.self().domain_;
    message.stamp_ = context_.hybrid_clock_.tick();
    message.revision_ = revision_;
    message.accepted_ = accepted_;
    message.fingerprint_ = fingerprint();
    if (with_updates)
    {
        for (const member_record* record :
             table_.select_updates(update_budget_bytes, &encoded_size))
        {
            message.records_.push_back(*record);
        }
    }
    socket_.send(remote, encode_gossip(message));
}

void membership::ping(const member_record& member)
{
    gossip_message message;
    message.sequence_ = probes_.start_direct(member.node_, context_.clock_.now());
    send(gossip_endpoint(member), std::move(message), true);
}

void membership::send_update(const member_record& member)
{
    gossip_message message;
    message.kind_ = gossip_kind::update;
    send(gossip_endpoint(member), std::move(message), true);
}

void membership::report_changes()
{
    if (table_.change_count() != reported_change_count_)
    {
        reported_change_count_ = table_.change_count();
        listener_.on_members_changed();
    }
}

std::uint64_t membership::fingerprint()
{
    if (fingerprint_change_count_ != table_.change_count())
    {
        fingerprint_change_count_ = table_.change_count();
        fingerprint_ = table_.fingerprint();
    }
    return fingerprint_;
}

} // namespace bamboohoist
