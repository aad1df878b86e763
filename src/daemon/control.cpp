#include "daemon/control.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Changes that arrive close together are published as one.
constexpr duration publish_delay = std::chrono::milliseconds(20);
constexpr duration report_period = std::chrono::milliseconds(300);

} // namespace

control::control(const control_context& context, traffic_interface& traffic)
    : supervisor("control", restart_strategy::rest_for_one, {}, context.clock_), context_(context),
      traffic_(traffic),
      store_(context.deployment_.open_store(context.loop_, context.settings_, context.metrics_)),
      link_(context), members_(context, link_, *this), config_(context, link_, *store_, *this),
      directory_(context, *store_, members_), targets_(context, [this] { on_targets_changed(); }),
      apply_(context, *store_, config_, members_), stops_(context, members_, config_, targets_),
      timeline_(context, link_, members_),
      releases_(context, link_, members_,
                [this](std::uint64_t fingerprint) { traffic_.release(fingerprint); }),
      operators_(context, members_, config_, apply_, targets_, stops_, timeline_, releases_, link_),
      announce_(context, targets_), ready_(context), address_step_(*this),
      publish_timer_(context.loop_, [this] { publish(); }),
      report_timer_(context.loop_, [this] { report_in_force(); }),
      retry_burst_(context.settings_.retry_burst_)
{
    add(link_);
    add(address_step_);
    add(members_);
    add(config_);
    add(directory_);
    add(targets_);
    add(apply_);
    add(stops_);
    add(announce_);
    add(operators_);
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
    const settings& own = context_.settings_;
    const bool moved = changed.node_ != own.node_ || changed.callers_ != own.callers_ ||
                       changed.peers_ != own.peers_ || changed.gossip_ != own.gossip_ ||
                       changed.announce_ != own.announce_ || changed.store_ != own.store_;
    retry_burst_ = changed.retry_burst_;
    schedule_publish();
    event entry;
    entry.subject_ = own.node_;
    entry.what_ = "settings read again";
    entry.rule_ = std::string(cause);
    entry.evidence_ = moved ? "name or addresses differ, which waits for the next start"
                            : "all changes are in force";
    context_.record(std::move(entry));
}

void control::leave()
{
    ready_.leave();
    targets_.stop_all("the node was asked to stop");
    directory_.withdraw();
    members_.announce_leave();
}

void control::on_health_changed(const target_health_change& verdict)
{
    targets_.set_weight(verdict.target_, verdict.weight_, verdict.rule_, verdict.evidence_);
    // Whoever sends it work hears of it at once; gossip tells the others.
    members_.notify(verdict.senders_);
}

void control::on_crash(const target_crash& crash)
{
    std::vector<std::string> nodes;
    for (const member_record* peer : members_.table().peers())
    {
        const bool serves = std::ranges::any_of(peer->targets_, [&](const target_record& target) {
            return target.service_ == crash.service_;
        });
        if (serves)
        {
            nodes.push_back(peer->node_);
        }
    }
    members_.spread_blame(crash.crash_id_, crash.suspects_, nodes);
    event entry;
    entry.subject_ = crash.crash_id_;
    entry.what_ = "target died";
    entry.rule_ = "crash: its connections failed and its port refuses";
    entry.evidence_ = std::to_string(crash.suspects_.size()) + " requests in hand";
    context_.record(std::move(entry));
    for (const std::uint64_t fingerprint : crash.quarantined_)
    {
        event quarantine;
        quarantine.subject_ = "request-like " + std::to_string(fingerprint);
        quarantine.what_ = "quarantined";
        quarantine.rule_ = "crash: in hand at two crashes";
        quarantine.evidence_ = "the second was " + crash.crash_id_;
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

control::address_step::address_step(control& owner) : owner_(owner) {}

std::string_view control::address_step::name() const
{
    return "addresses";
}

bool control::address_step::start()
{
    if (!owner_.addresses_set_)
    {
        owner_.addresses_set_ = true;
        owner_.members_.set_guard_port(owner_.guard_port_);
    }
    return true;
}

void control::address_step::stop() {}

void control::on_members_changed()
{
    config_.set_watching(!context_.settings_.watch_by_domain_ || leads_domain());
    schedule_publish();
}

void control::on_revision_heard(std::uint64_t revision, bool accepted, const endpoint& gossip)
{
    config_.hear(revision, accepted, gossip);
}

void control::on_in_force(const domain_member& member, std::uint64_t revision)
{
    apply_.report(member, revision);
}

void control::on_blame(std::string_view target, std::span<const std::uint64_t> blamed)
{
    traffic_.record_remote_crash(std::string(target), {blamed.begin(), blamed.end()});
}

void control::on_revision(const ref_ptr<const active_revision>&)
{
    publish();
}

void control::on_head(const revision_head& head)
{
    members_.set_revision(head.revision_, head.accepted_);
    apply_.watch_proposal(head);
    if (head.accepted_)
    {
        report_timer_.cancel();
    }
    else
    {
        report_timer_.repeat(report_period);
    }
}

void control::on_targets_changed()
{
    members_.update_targets(targets_.records());
    traffic_.set_local_targets(targets_.local());
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
    std::vector<const member_record*> members = members_.table().peers();
    members.push_back(&members_.table().self());
    const settings& own = context_.settings_;
    const node_location place{own.node_, own.region_, own.domain_};
    fleet_ = build_fleet_snapshot(
        config_.active(), members, place,
        [this](const member_record& member) { return members_.guard_address(member); },
        fleet_.get(), retry_burst_);
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
    // The path to the coordinator may differ from the address that it advertises.
    endpoint path = *coordinator;
    for (const member_record* peer : members_.table().peers())
    {
        if (peer->gossip_ == head.coordinator_)
        {
            path = members_.gossip_endpoint(*peer);
        }
    }
    members_.report_in_force(path, config_.revision_in_force());
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
