#include "daemon/node.hpp"

#include "daemon/process_limits.hpp"

#include <atomic>
#include <future>

namespace bamboohoist {

namespace {

constexpr std::size_t event_capacity = 4096;
/// A leaving node goes on for this long, within its leave limit, so that peers and callers learn of
/// it.
constexpr duration leave_notice = std::chrono::milliseconds(1500);
/// Time in which peers and callers learn that the node refuses what they send.
constexpr duration refusal_notice = std::chrono::milliseconds(50);
/// How long after its leave limit a node writes its last responses.
constexpr duration flush_limit = std::chrono::milliseconds(200);
constexpr duration leave_check_period = std::chrono::milliseconds(50);
constexpr duration finish_check_period = std::chrono::milliseconds(5);

std::uint64_t choose_seed(const settings& node_settings)
{
    return node_settings.seed_ != 0 ? node_settings.seed_ : entropy_seed();
}

endpoint with_port(endpoint base, std::uint16_t port)
{
    base.port_ = port;
    return base;
}

} // namespace

node::node(settings node_settings, const deployment& active_deployment, process_metrics& metrics)
    : settings_(std::move(node_settings)), leave_open_ms_(settings_.leave_open_ms_),
      leave_limit_ms_(settings_.leave_limit_ms_), deployment_(active_deployment), metrics_(metrics),
      memory_(find_process_budget(settings_).body_bytes_), control_loop_(metrics_, &memory_),
      control_random_(choose_seed(settings_)), hybrid_clock_(clock_),
      events_(hybrid_clock_, settings_.node_, event_capacity), context_{settings_, control_loop_,
                                                                        clock_,    control_random_,
                                                                        metrics_,  hybrid_clock_,
                                                                        events_,   deployment_},
      root_("root", restart_strategy::rest_for_one, {}, clock_)
{
    const std::uint64_t seed = choose_seed(settings_);
    guard_ =
        std::make_unique<guard_thread>(settings_, clock_, metrics_, deployment_, call_failures_,
                                       memory_, seed + 1, static_cast<guard_listener&>(*this));
    root_.add(guard_->thread());
    for (std::uint32_t i = 0; i < settings_.ingress_threads_; ++i)
    {
        endpoint local = settings_.callers_;
        local.port_ = local.port_ == 0 ? 0 : static_cast<std::uint16_t>(local.port_ + i);
        ingresses_.push_back(std::make_unique<ingress_thread>(
            settings_, clock_, metrics_, deployment_, call_failures_, memory_, seed + 2 + i,
            "ingress-" + std::to_string(i), local));
        root_.add(ingresses_.back()->thread());
    }
    control_ = std::make_unique<control>(context_, static_cast<traffic_interface&>(*this));
    control_thread_ = std::make_unique<loop_thread>(control_loop_, *control_);
}

node::~node()
{
    control_thread_->stop();
    root_.stop();
}

void node::record_event(std::string_view what, std::string_view rule)
{
    event entry;
    entry.subject_ = settings_.node_;
    entry.what_ = std::string(what);
    entry.rule_ = std::string(rule);
    entry.evidence_ = "version " BAMBOOHOIST_VERSION ", callers " + to_string(settings_.callers_) +
                      ", store " + to_string(settings_.store_);
    run_on_loop(control_loop_, [&] { context_.record(std::move(entry)); });
}

bool node::start()
{
    if (!root_.start())
    {
        return false;
    }
    control_->set_guard_port(guard_->component().port());
    if (!control_thread_->start())
    {
        root_.stop();
        return false;
    }
    record_event("node started", "start");
    return true;
}

void node::reload(const settings& changed, std::string_view cause)
{
    leave_open_ms_ = changed.leave_open_ms_;
    leave_limit_ms_ = changed.leave_limit_ms_;
    for_each_ingress([&changed](ingress& item) { item.set_service(changed.service_); });
    run_on_loop(control_loop_, [&] { control_->reload(changed, cause); });
}

void node::leave(const std::function<bool(duration)>& wait_for_stop_signal)
{
    record_event("node leaves", "asked to stop by a signal");
    run_on_loop(control_loop_, [this] { control_->leave(); });
    finish_requests(serve_while_leaving(wait_for_stop_signal));
    record_event("node ends", std::to_string(unfinished()) + " requests unfinished");
}

instant node::serve_while_leaving(const std::function<bool(duration)>& wait_for_stop_signal)
{
    const instant begin = clock_.now();
    const instant open_end = begin + std::chrono::milliseconds(leave_open_ms_);
    instant limit = leave_limit();
    bool quiesced = false;
    while (clock_.now() < limit)
    {
        if (!quiesced && clock_.now() >= open_end)
        {
            quiesced = true;
            quiesce(limit);
        }
        if (wait_for_stop_signal(std::min(limit - clock_.now(), leave_check_period)))
        {
            record_event("node leaves",
                         "asked to stop again; the time limit for requests in flight starts again");
            limit = leave_limit();
            quiesced = false;
        }
        if (quiesced && clock_.now() - begin >= leave_notice && unfinished() == 0)
        {
            break;
        }
    }
    return limit;
}

void node::finish_requests(instant limit)
{
    // Requests may have arrived since the last look, so the refusal comes before the wait.
    for_each_ingress([](ingress& item) { item.refuse_new_requests(); });
    wait_until_finished(limit);
    for_each_ingress([](ingress& item) { item.respond_to_open_requests(); });
    run_on_loop(guard_->loop(), [this] { guard_->component().refuse_new_calls(); });
    wait_until(clock_.now() + refusal_notice);
    wait_until_finished(std::max(limit, clock_.now()) + flush_limit);
}

void node::wait_until_finished(instant limit)
{
    while (clock_.now() < limit && unfinished() > 0)
    {
        wait_until(std::min(limit, clock_.now() + finish_check_period));
    }
}

instant node::leave_limit() const
{
    return clock_.now() + std::chrono::milliseconds(leave_limit_ms_);
}

void node::quiesce(instant limit)
{
    for_each_ingress([limit](ingress& item) { item.quiesce(limit); });
}

void node::for_each_ingress(const std::function<void(ingress&)>& task)
{
    for (const auto& item : ingresses_)
    {
        run_on_loop(item->loop(), [&] { task(item->component()); });
    }
}

void node::wait_until(instant when)
{
    std::promise<void> never;
    never.get_future().wait_for(std::max(duration::zero(), when - clock_.now()));
}

node_addresses node::addresses() const
{
    node_addresses addresses;
    for (const auto& item : ingresses_)
    {
        addresses.callers_.push_back(with_port(settings_.callers_, item->component().port()));
    }
    addresses.operators_ = with_port(settings_.operators_, control_->operators_port());
    addresses.announce_ = with_port(settings_.announce_, control_->announce_port());
    addresses.peers_ = with_port(settings_.peers_, guard_->component().port());
    addresses.gossip_ = with_port(settings_.gossip_, control_->gossip_port());
    if (settings_.ready_)
    {
        addresses.ready_ = with_port(*settings_.ready_, control_->ready_port());
    }
    return addresses;
}

void node::publish(fleet_ptr fleet, std::function<void()> on_fleet_set)
{
    struct progress : ref_counted<progress>
    {
        std::atomic<std::size_t> left_ = 0;
        std::function<void()> done_;
    };
    const ref_ptr<progress> state(new progress);
    state->left_ = ingresses_.size() + 1;
    state->done_ = std::move(on_fleet_set);
    const auto report_fleet_set = [this, state] {
        if (--state->left_ == 0)
        {
            control_loop_.post([state] { state->done_(); });
        }
    };
    guard_->loop().post([this, fleet, report_fleet_set] {
        guard_->component().set_fleet(fleet);
        report_fleet_set();
    });
    for (const auto& item : ingresses_)
    {
        ingress_thread* thread = item.get();
        thread->loop().post([thread, fleet, report_fleet_set] {
            thread->component().set_fleet(fleet);
            report_fleet_set();
        });
    }
}

void node::set_local_targets(std::vector<local_target> targets)
{
    guard_->loop().post(
        [this, moved = std::move(targets)] { guard_->component().set_targets(moved); });
}

void node::record_remote_crash(std::string crash_id, std::vector<std::uint64_t> suspects)
{
    guard_->loop().post([this, id = std::move(crash_id), moved = std::move(suspects)] {
        guard_->component().record_remote_crash(id, moved);
    });
}

void node::release(std::uint64_t fingerprint)
{
    guard_->loop().post([this, fingerprint] { guard_->component().release(fingerprint); });
}

void node::on_health_changed(target_health_change change)
{
    control_loop_.post([this, moved = std::move(change)] { control_->on_health_changed(moved); });
}

void node::on_crash(target_crash crash)
{
    control_loop_.post([this, moved = std::move(crash)] { control_->on_crash(moved); });
}

std::size_t node::unfinished()
{
    std::size_t count = 0;
    run_on_loop(guard_->loop(), [&] { count += guard_->component().in_flight(); });
    for_each_ingress([&count](const ingress& item) { count += item.unfinished(); });
    return count;
}

void node::run_on_loop(event_loop& loop, const std::function<void()>& task)
{
    std::promise<void> finished;
    loop.post([&] {
        task();
        finished.set_value();
    });
    finished.get_future().wait();
}

} // namespace bamboohoist
