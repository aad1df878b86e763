#include "daemon/ingress.hpp"

#include "daemon/process_limits.hpp"
#include "daemon/request_handler.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration prune_period = std::chrono::seconds(5);
constexpr duration idle_link_timeout = std::chrono::seconds(60);
constexpr duration unused_route_timeout = std::chrono::minutes(5);
/// Operators set goals generously: healthy targets typically need this fraction of them.
constexpr double typical_fraction_of_goal = 0.3;
constexpr std::size_t max_body_bytes = 1U << 20U;

} // namespace

ingress::ingress(const traffic_context& context, std::string name, const endpoint& local)
    : context_(context), name_(std::move(name)),
      server_(context.loop_,
              http_server_options{
                  .name_ = "callers",
                  .address_ = local.address_,
                  .port_ = local.port_,
                  .max_body_bytes_ = max_body_bytes,
                  .max_header_bytes_ = connection_bytes,
                  .max_connections_ = find_process_budget(context.settings_).caller_connections_,
                  .idle_timeout_s_ = context.settings_.idle_timeout_s_,
                  .transfer_timeout_s_ = context.settings_.transfer_timeout_s_,
                  .on_refused_ = [this](const request_message& request,
                                        std::size_t bytes) { on_refused(request, bytes); }},
              [this](const exchange_ptr& item) { on_request(item); }),
      service_(context.settings_.service_),
      quotas_(context, [this](std::string_view address) -> peer_link& { return link_to(address); }),
      region_refilled_at_(context.clock_.now()), prune_timer_(context.loop_, [this] { prune(); })
{
    if (context.settings_.retry_burst_ > 0.0)
    {
        // The nodes share a burst, so a restart must not bring this node's part of it twice.
        budget_.withhold_burst(context.clock_.now());
    }
}

ingress::~ingress() = default;

std::string_view ingress::name() const
{
    return name_;
}

bool ingress::start()
{
    prune_timer_.repeat(prune_period);
    return server_.start();
}

void ingress::stop()
{
    prune_timer_.cancel();
    server_.stop();
    quotas_.stop();
    links_.clear();
}

void ingress::set_fleet(fleet_ptr fleet)
{
    if (fleet->retry_burst_ > 0.0)
    {
        // Without knowing the others a node would take the whole burst for its part.
        const auto nodes = static_cast<double>(fleet->share_count_);
        budget_.set_burst(fleet->known_ ? std::max(1.0, fleet->retry_burst_ / nodes) : 0.0);
    }
    quotas_.set_fleet(fleet);
    note_ejections(*fleet);
    fleet_ = std::move(fleet);
}

void ingress::note_ejections(const fleet_snapshot& newest)
{
    const instant now = context_.clock_.now();
    for (std::size_t i = 0; i < newest.services_.size(); ++i)
    {
        if (fleet_ && i < fleet_->services_.size() && fleet_->services_[i] == newest.services_[i])
        {
            continue;
        }
        for (const fleet_target& target : newest.services_[i]->targets_)
        {
            const bool ejected = is_ejected_weight(target.weight_);
            const auto found = target_stats_.find(target.id_);
            if (!ejected && found == target_stats_.end())
            {
                continue;
            }
            target_stats& stats = stats_of(target.id_);
            if (ejected && !stats.ejected_)
            {
                stats.trials_.on_ejected(now);
            }
            stats.ejected_ = ejected;
        }
    }
}

void ingress::set_service(std::string_view service)
{
    service_ = std::string(service);
}

void ingress::quiesce(instant ends_at)
{
    ends_at_ = ends_at;
    server_.quiesce();
}

void ingress::refuse_new_requests()
{
    // Every deadline is later.
    ends_at_ = instant::min();
}

void ingress::respond_to_open_requests()
{
    while (!open_requests_.empty())
    {
        open_request& next = open_requests_.front();
        open_requests_.pop_front();
        next.respond_on_shutdown();
    }
}

std::uint16_t ingress::port() const
{
    return server_.port();
}

std::size_t ingress::unfinished() const
{
    return server_.unfinished();
}

void ingress::on_request(const exchange_ptr& item)
{
    context_.metrics_.add(counter::requests);
    const ref_ptr<request_handler> handler(new request_handler(*this, item));
    handler->start();
}

void ingress::on_refused(const request_message& request, std::size_t body_bytes)
{
    const auto metadata = context_.deployment_.callers().read(request.headers_);
    const memory_account& memory = context_.loop_.memory();
    request_decision entry;
    entry.request_ = metadata ? std::string_view(metadata->id_) : std::string_view();
    entry.decision_ = "refused";
    entry.outcome_ = "not-run";
    entry.revision_ = fleet_ && fleet_->active_ ? fleet_->active_->revision_ : 0;
    entry.inputs_ = "overloaded: the memory limit leaves no room for the body; " +
                    std::to_string(body_bytes) + " bytes received, " +
                    std::to_string(memory.used()) + " of " + std::to_string(memory.capacity()) +
                    " bytes in use";
    context_.decisions_.write(entry);
}

peer_link& ingress::link_to(std::string_view guard_address)
{
    auto found = links_.find(guard_address);
    if (found == links_.end())
    {
        const endpoint remote = parse_endpoint(guard_address).value_or(endpoint{});
        open_link added{std::make_unique<peer_link>(context_.loop_, remote), instant{}};
        found = links_.emplace(std::string(guard_address), std::move(added)).first;
    }
    found->second.last_used_ = context_.clock_.now();
    return *found->second.link_;
}

target_stats& ingress::stats_of(std::string_view target)
{
    const auto found = target_stats_.find(target);
    if (found != target_stats_.end())
    {
        return found->second;
    }
    return target_stats_.emplace(std::string(target), target_stats{}).first->second;
}

route_stats& ingress::stats_of(const route_spec& route)
{
    route_stats& stats = route_stats_[hash_parts({route.host_, route.prefix_})];
    stats.last_used_ = context_.clock_.now();
    return stats;
}

service_baseline ingress::baseline_of(const route_spec& route)
{
    return stats_of(route).baseline_estimator_.baseline(route.goal_ms_ * typical_fraction_of_goal);
}

void ingress::charge_region_budget(const fleet_target& target, std::size_t bytes)
{
    if (target.distance_ == distance::other_region)
    {
        region_budget_bytes_ -= static_cast<double>(bytes);
        context_.metrics_.add(counter::region_bytes_sent, bytes);
    }
}

std::optional<duration> ingress::retry_after(error_kind kind, outcome result,
                                             const route_spec* route)
{
    std::optional<duration> typical_latency;
    if (route != nullptr)
    {
        typical_latency = from_ms(baseline_of(*route).latency_ms_);
    }
    return bamboohoist::retry_after(kind, result, typical_latency);
}

void ingress::prune()
{
    const instant now = context_.clock_.now();
    quotas_.prune();
    std::erase_if(links_, [now](const auto& pair) {
        return pair.second.link_->in_flight() == 0 &&
               now - pair.second.last_used_ > idle_link_timeout;
    });
    std::erase_if(route_stats_, [now](const auto& pair) {
        return now - pair.second.last_used_ > unused_route_timeout;
    });
    if (!fleet_)
    {
        return;
    }
    std::unordered_map<std::string_view, bool, string_view_hash> present_targets;
    for (const auto& service : fleet_->services_)
    {
        for (const fleet_target& target : service->targets_)
        {
            present_targets.emplace(target.id_, true);
        }
    }
    std::erase_if(target_stats_, [&](const auto& pair) {
        return pair.second.in_flight_ == 0 && !present_targets.contains(pair.first);
    });
}

} // namespace bamboohoist
