#include "daemon/control.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Changes that arrive within this time are published together.
constexpr duration publish_delay = std::chrono::milliseconds(20);
/// Dead nodes stop counting as cut off after a time, and fixed parts grow after a time, which no
/// other event tells.
constexpr duration aged_facts_period = std::chrono::seconds(5);
constexpr duration in_force_report_period = std::chrono::milliseconds(300);

} // namespace

control::control(const control_context& context, traffic_interface& traffic)
    : supervisor("control", restart_strategy::rest_for_one, {}, context.clock_), context_(context),
      traffic_(traffic),
      store_(context.deployment_.open_store(context.loop_, context.settings_, context.metrics_)),
      link_(context), members_(context, link_, *this), config_(context, link_, *store_, *this),
      directory_(context, *store_, members_), recovery_(context, *store_, link_, members_, *this),
      targets_(context, [this] { on_targets_changed(); }),
      coordinator_(context, *store_, config_, members_),
      stop_executor_(context, members_, config_, targets_),
      timeline_collector_(context, link_, members_),
      releaser_(context, link_, members_,
                [this](std::uint64_t fingerprint, release_origin origin) {
                    // The node where it was ordered sends its note to all nodes.
                    if (origin == release_origin::here)
                    {
                        recovery_.record_release(fingerprint);
                    }
                    traffic_.release(fingerprint);
                }),
      operators_(context, members_, config_, coordinator_, targets_, stop_executor_,
                 timeline_collector_, releaser_, link_),
      announce_(context, targets_, recovery_), ready_(context), memory_monitor_(context),
      address_setup_(*this), publish_timer_(context.loop_, [this] { publish(); }),
      report_timer_(context.loop_, [this] { report_in_force(); }),
      aged_facts_timer_(context.loop_, [this] { check_aged_facts(); }),
      retry_burst_(context.settings_.retry_burst_)
{
    store_->set_listener(*this);
    add(link_);
    add(address_setup_);
    add(members_);
    add(config_);
    add(directory_);
    add(recovery_);
    add(targets_);
    add(coordinator_);
    add(stop_executor_);
    add(announce_);
    add(operators_);
    add(memory_monitor_);
    if (context.settings_.ready_)
    {
        add(ready_);
    }
}

control::~control() = default;

void control::set_guard_port(std::uint16_t port)
{
    guard_port_ = port;
}

void control::reload(const settings& changed, std::string_view cause)
{
    const settings& current = context_.settings_;
    const bool needs_restart =
        changed.node_ != current.node_ || changed.callers_ != current.callers_ ||
        changed.peers_ != current.peers_ || changed.gossip_ != current.gossip_ ||
        changed.announce_ != current.announce_ || changed.store_ != current.store_;
    retry_burst_ = changed.retry_burst_;
    schedule_publish();
    event entry;
    entry.subject_ = current.node_;
    entry.what_ = "settings read again";
    entry.rule_ = std::string(cause);
    entry.evidence_ = needs_restart
                          ? "the node name or an address has changed, which takes effect only "
                            "after a restart"
                          : "all changes are in force";
    context_.record(std::move(entry));
}

void control::leave()
{
    ready_.leave();
    targets_.stop_all("the node was asked to stop");
    directory_.remove_entry();
    members_.announce_leave();
}

void control::on_health_changed(const target_health_change& change)
{
    targets_.set_weight(change.target_, change.weight_, change.rule_, change.evidence_);
    // The nodes that send requests to the target are informed directly, the others by gossip.
    members_.send_self_record(change.senders_);
}

void control::on_crash(const target_crash& crash)
{
    std::vector<std::string> serving_nodes;
    for (const member_record* peer : members_.table().peers())
    {
        const bool serves = std::ranges::any_of(peer->targets_, [&](const target_record& target) {
            return target.service_ == crash.service_;
        });
        if (serves)
        {
            serving_nodes.push_back(peer->node_);
        }
    }
    recovery_.record_crash(crash.crash_id_, crash.suspects_);
    members_.send_crash_report(crash.crash_id_, crash.suspects_, serving_nodes);
    event entry;
    entry.subject_ = crash.crash_id_;
    entry.what_ = "target died";
    entry.rule_ = "crash: its connections failed and its port refuses new ones";
    entry.evidence_ = std::to_string(crash.suspects_.size()) + " requests in flight";
    context_.record(std::move(entry));
    for (const std::uint64_t fingerprint : crash.quarantined_)
    {
        event quarantine;
        quarantine.subject_ = "request-like " + std::to_string(fingerprint);
        quarantine.what_ = "quarantined";
        quarantine.rule_ = "crash: in flight at two crashes";
        quarantine.evidence_ = "second crash: " + crash.crash_id_;
        context_.record(std::move(quarantine));
    }
}

std::uint16_t control::operators_port() const
{
    return operators_.port();
}

std::uint16_t control::announce_port() const
{
    return announce_.port();
}

std::uint16_t control::gossip_port() const
{
    return link_.port();
}

std::uint16_t control::ready_port() const
{
    return ready_.port();
}

control::address_setup::address_setup(control& owner) : owner_(owner) {}

std::string_view control::address_setup::name() const
{
    return "addresses";
}

bool control::address_setup::start()
{
    if (!owner_.addresses_set_)
    {
        owner_.addresses_set_ = true;
        owner_.members_.set_guard_port(owner_.guard_port_);
    }
    return true;
}

void control::address_setup::stop() {}

void control::on_members_changed()
{
    recovery_.on_members_changed();
    config_.set_watching(!context_.settings_.watch_by_domain_ || leads_domain(), count_watchers());
    schedule_publish();
}

void control::on_peer_revision(std::uint64_t revision, bool accepted, const endpoint& gossip)
{
    on_revision_known(revision);
    config_.check_peer_revision(revision, accepted, gossip);
}

void control::on_in_force_report(const domain_member& member, std::uint64_t revision)
{
    coordinator_.record_report(member, revision);
}

void control::on_remote_crash(std::string_view node, std::string_view crash_id,
                              std::span<const std::uint64_t> suspects)
{
    recovery_.learn_crash(node, crash_id, suspects);
}

void control::on_departure_recovered(const recovery_note& departure)
{
    targets_.restore_departure({departure.subject_, departure.started_ms_, departure.sequence_,
                                departure.ended_, departure.latest_start_ms_});
}

void control::on_crash_recovered(std::string_view crash_id, std::span<const std::uint64_t> suspects)
{
    traffic_.record_remote_crash(std::string(crash_id), {suspects.begin(), suspects.end()});
}

void control::on_release_recovered(std::uint64_t fingerprint)
{
    traffic_.release(fingerprint);
}

void control::on_recovered()
{
    announce_.on_recovered();
}

void control::on_revision_adopted(const ref_ptr<const active_revision>&)
{
    publish();
}

void control::on_revision_known(std::uint64_t revision)
{
    if (revision <= known_revision_)
    {
        return;
    }
    known_revision_ = revision;
    const ref_ptr<const active_revision>& active = config_.active();
    if (active && active->manifest_->keys_required_ && revision > active->revision_)
    {
        // At once, because a key that is unknown here may be one of that revision.
        publish();
    }
}

void control::on_store_regained()
{
    directory_.on_store_regained();
    recovery_.on_store_regained();
}

void control::on_writes_lost(const store_era_change& change)
{
    context_.metrics_.add(counter::store_eras);
    event entry;
    entry.subject_ = "store " + to_string(context_.settings_.store_);
    entry.what_ = "store restored";
    entry.rule_ = "dependency: a higher era means that the store lost writes that it had confirmed";
    entry.evidence_ = "era " + std::to_string(change.former_) + ", now " +
                      std::to_string(change.present_) +
                      "; written again: the lease and entry of this node, its recovery notes; read "
                      "again: the configuration";
    entry.revision_ = config_.head().revision_;
    context_.record(std::move(entry));
    config_.on_writes_lost();
    recovery_.on_writes_lost();
    directory_.on_writes_lost();
}

void control::on_head_changed(const revision_head& head)
{
    members_.set_revision(head.revision_, head.accepted_);
    coordinator_.watch_proposal(head);
    if (head.accepted_)
    {
        report_timer_.cancel();
    }
    else
    {
        report_timer_.repeat(in_force_report_period);
    }
}

void control::on_targets_changed()
{
    members_.update_targets(targets_.target_records());
    traffic_.set_local_targets(targets_.local_targets());
}

void control::check_aged_facts()
{
    const instant now = context_.clock_.now();
    const std::size_t shares = shares_.update(members_.table().peers().size() + 1, now);
    if (fleet_ && (fleet_->share_count_ != shares ||
                   fleet_->cut_off_nodes_ != members_.table().cut_off_nodes(now)))
    {
        schedule_publish();
    }
}

void control::schedule_publish()
{
    if (!publish_scheduled_)
    {
        publish_scheduled_ = true;
        publish_timer_.arm(publish_delay);
    }
}

void control::publish()
{
    publish_scheduled_ = false;
    publish_timer_.cancel();
    if (!fleet_)
    {
        aged_facts_timer_.repeat(aged_facts_period);
    }
    std::vector<const member_record*> members = members_.table().peers();
    members.push_back(&members_.table().self());
    const instant now = context_.clock_.now();
    fleet_facts facts;
    facts.retry_burst_ = retry_burst_;
    facts.known_revision_ = known_revision_;
    facts.cut_off_nodes_ = members_.table().cut_off_nodes(now);
    facts.known_ = members_.knows_fleet();
    facts.provisional_parts_ = members_.provisional_parts();
    facts.share_count_ = shares_.update(members.size(), now);
    const settings& current = context_.settings_;
    const node_location location{current.node_, current.region_, current.domain_};
    fleet_ = build_fleet_snapshot(
        config_.active(), members, location,
        [this](const member_record& member) { return members_.guard_address(member); },
        fleet_.get(), std::move(facts));
    const std::uint64_t revision = config_.head().revision_;
    traffic_.publish(fleet_, [this, revision] {
        if (config_.active())
        {
            ready_.set_ready();
        }
        if (revision > config_.revision_in_force())
        {
            config_.mark_in_force(revision);
            report_in_force();
        }
    });
}

void control::report_in_force()
{
    const revision_head& head = config_.head();
    if (head.accepted_ || config_.revision_in_force() < head.revision_)
    {
        return;
    }
    const auto coordinator = parse_endpoint(head.coordinator_);
    if (!coordinator)
    {
        return;
    }
    // The settings may replace the address that the coordinator advertises.
    endpoint path = *coordinator;
    for (const member_record* peer : members_.table().peers())
    {
        if (peer->gossip_address_ == head.coordinator_)
        {
            path = members_.gossip_endpoint(*peer);
        }
    }
    members_.report_in_force(path, config_.revision_in_force());
}

std::size_t control::count_watchers() const
{
    if (context_.settings_.watch_by_domain_)
    {
        return 1;
    }
    const std::string& domain = members_.table().self().domain_;
    const auto peers = members_.table().peers();
    return 1 + static_cast<std::size_t>(std::ranges::count(peers, domain, &member_record::domain_));
}

bool control::leads_domain() const
{
    const member_record& self = members_.table().self();
    for (const member_record* peer : members_.table().peers())
    {
        if (peer->domain_ == self.domain_ && peer->state_ == member_state::alive &&
            peer->node_ < self.node_)
        {
            return false;
        }
    }
    return true;
}

} // namespace bamboohoist
