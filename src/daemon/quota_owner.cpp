#include "daemon/quota_owner.hpp"

#include "wire/connect_probe.hpp"
#include "wire/quota_codec.hpp"

namespace bamboohoist {

namespace {

constexpr duration prune_period = std::chrono::seconds(1);
/// Longer than a loaded machine takes to accept a connection; shorter than the time after which an
/// ingress asks an owner again that did not reply.
constexpr duration check_timeout = std::chrono::milliseconds(200);

} // namespace

/// A check of an owner that is going on.
struct quota_owner::owner_check : ref_counted_local<owner_check>
{
    std::string node_;
    bool owner_reached_ = false;
    std::size_t others_checked_ = 0;
    std::size_t others_reached_ = 0;
    std::size_t pending_ = 0;
};

quota_rule quota_rule_of(const settings& node_settings)
{
    return {std::chrono::milliseconds(node_settings.quota_window_ms_), node_settings.quota_overage_,
            node_settings.quota_slack_};
}

std::optional<quota_limit> find_quota_limit(const active_revision& active,
                                            std::string_view organisation)
{
    const auto index = active.routes_.find_organisation(organisation);
    if (!index)
    {
        return std::nullopt;
    }
    const organisation_spec& spec = active.manifest_->organisations_[*index];
    return quota_limit{spec.rate_per_s_, spec.burst_};
}

quota_owner::quota_owner(const traffic_context& context)
    : context_(context), ledger_(quota_rule_of(context.settings_), context.settings_.node_),
      prune_timer_(context.loop_, [this] { prune(); })
{
}

void quota_owner::set_fleet(const fleet_ptr& fleet)
{
    const instant now = context_.clock_.now();
    const bool revised = fleet->active_ && (!fleet_ || fleet_->active_ != fleet->active_);
    if (!fleet_)
    {
        prune_timer_.repeat(prune_period);
    }
    fleet_ = fleet;
    if (fleet->known_)
    {
        ledger_.set_fleet({fleet->quota_owners_, fleet->node_count_, fleet->cut_off_nodes_}, now);
    }
    if (revised)
    {
        ledger_.update_limits(
            [&](std::string_view name) { return find_quota_limit(*fleet_->active_, name); }, now);
    }
}

void quota_owner::on_call(const stream_call_ptr& call)
{
    const auto ask = decode_quota_call(call->message());
    if (!ask)
    {
        call->respond(encode_quota_reply({}));
        return;
    }
    const auto limit = fleet_ && fleet_->active_
                           ? find_quota_limit(*fleet_->active_, ask->organisation_)
                           : std::nullopt;
    const quota_reply reply = ledger_.on_ask(*ask, limit, context_.clock_.now());
    context_.metrics_.add(counter::quota_credits_granted, reply.granted_);
    context_.metrics_.add(counter::quota_credits_returned, ask->returned_);
    call->respond(encode_quota_reply(reply));
    if (const auto node = ledger_.take_check())
    {
        start_check(*node);
    }
}

void quota_owner::prune()
{
    ledger_.prune(context_.clock_.now());
}

void quota_owner::start_check(std::string_view node)
{
    const ref_ptr<owner_check> check(new owner_check);
    check->node_ = std::string(node);
    std::vector<const shard_node*> others;
    const shard_node* subject = nullptr;
    for (const shard_node& other : fleet_->quota_owners_->nodes())
    {
        if (other.node_ == node)
        {
            subject = &other;
        }
        else if (other.node_ != context_.settings_.node_)
        {
            others.push_back(&other);
        }
    }
    if (subject == nullptr)
    {
        return;
    }
    while (others.size() > quota_check_sample)
    {
        std::swap(others[context_.random_.index(others.size())], others.back());
        others.pop_back();
    }
    check->others_checked_ = others.size();
    check->pending_ = others.size() + 1;
    const auto probe = [&](const shard_node& remote, auto record) {
        probe_connection(context_.loop_, parse_endpoint(remote.guard_address_).value_or(endpoint{}),
                         check_timeout,
                         [this, check, record, alive = lifetime_.watch()](probe_result result) {
                             record(*check, result == probe_result::accepted);
                             if (--check->pending_ == 0 && alive)
                             {
                                 finish_check(*check);
                             }
                         });
    };
    probe(*subject, [](owner_check& item, bool reached) { item.owner_reached_ = reached; });
    for (const shard_node* other : others)
    {
        probe(*other,
              [](owner_check& item, bool reached) { item.others_reached_ += reached ? 1 : 0; });
    }
}

void quota_owner::finish_check(const owner_check& check)
{
    ledger_.on_checked(
        check.node_,
        is_owner_gone(check.owner_reached_, check.others_reached_, check.others_checked_),
        context_.clock_.now());
}

} // namespace bamboohoist
