#include "daemon/directory.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration lease_duration = std::chrono::minutes(10);
constexpr duration renew_period = std::chrono::minutes(4);
constexpr duration search_period = std::chrono::milliseconds(500);
constexpr duration max_search_period = std::chrono::seconds(2);
/// Once peers are known the entries are read rarely, to join groups of nodes that know only each
/// other.
constexpr duration settled_search_period = std::chrono::minutes(10);
constexpr duration min_retry_delay = std::chrono::seconds(1);
constexpr duration max_retry_delay = std::chrono::seconds(2);
/// Spreads the reads of all nodes after an outage.
constexpr duration max_read_delay = std::chrono::milliseconds(300);
/// Spreads the writes of all nodes after the store was restored from an older copy.
constexpr duration max_rewrite_delay = std::chrono::milliseconds(500);
/// A write without a reply may take effect this late.
constexpr duration late_write_time = std::chrono::seconds(8);

} // namespace

directory::directory(const control_context& context, store_client& store, membership& members)
    : context_(context), store_(store), members_(members), search_period_(search_period),
      retry_delay_(min_retry_delay), lease_timer_(context.loop_, [this] { run_next_step(); }),
      search_timer_(context.loop_, [this] { search_peers(); }),
      introduction_timer_(context.loop_, [this] { introduce_to_unknown(); })
{
}

std::string_view directory::name() const
{
    return "directory";
}

bool directory::start()
{
    running_ = true;
    open_session();
    search_peers();
    return true;
}

void directory::stop()
{
    running_ = false;
    lease_timer_.cancel();
    search_timer_.cancel();
    introduction_timer_.cancel();
}

void directory::remove_entry()
{
    lease_timer_.cancel();
    running_ = false;
    search_timer_.cancel();
    introduction_timer_.cancel();
    left_ = true;
    store_.remove(entry_key(), [](const store_reply&) {});
}

std::string_view directory::session() const
{
    return session_;
}

void directory::on_store_regained()
{
    check_entry();
    search_period_ = search_period;
    if (running_ && knows_no_peer())
    {
        search_timer_.arm(random_delay(max_read_delay));
    }
}

void directory::on_writes_lost()
{
    session_.clear();
    ++store_restores_;
    step_pending_ = false;
    if (left_)
    {
        // The copy may still have the entry.
        store_.remove(entry_key(), [](const store_reply&) {});
    }
    else if (running_)
    {
        retry_delay_ = min_retry_delay;
        schedule(&directory::open_session, random_delay(max_rewrite_delay));
    }
}

void directory::check_entry()
{
    // Leases may have lapsed meanwhile. A step that waits for the store's reply finds out by
    // itself.
    if (running_ && !step_pending_)
    {
        // Without a session, an entry that the store has is that of a former one.
        schedule(session_.empty() ? &directory::open_session : &directory::verify_entry,
                 random_delay(max_read_delay));
    }
}

void directory::open_session()
{
    store_.open_session(context_.settings_.node_, lease_duration,
                        begin_step([this](const store_reply& reply) {
                            if (reply.status_ != store_status::ok)
                            {
                                retry(&directory::open_session);
                                return;
                            }
                            session_ = reply.text_;
                            remove_former_entry();
                        }));
}

void directory::remove_former_entry()
{
    // After a restart the former session still holds the entry.
    store_.remove(entry_key(), begin_step([this](const store_reply& reply) {
                      unconfirmed_write_ = reply.status_ == store_status::unavailable;
                      write_entry();
                  }));
}

void directory::write_entry()
{
    store_.write_leased(entry_key(), members_.table().self().gossip_address_, session_,
                        begin_step([this](const store_reply& reply) {
                            if (reply.status_ != store_status::ok)
                            {
                                retry(&directory::open_session);
                                return;
                            }
                            schedule_renewal();
                        }));
}

void directory::renew()
{
    store_.renew_session(session_, begin_step([this](const store_reply& reply) {
                             if (reply.status_ == store_status::absent)
                             {
                                 open_session();
                                 return;
                             }
                             if (reply.status_ != store_status::ok)
                             {
                                 retry(&directory::renew);
                                 return;
                             }
                             schedule_renewal();
                         }));
}

void directory::verify_entry()
{
    unconfirmed_write_ = false;
    store_.read(entry_key(), begin_step([this](const store_reply& reply) {
                    if (reply.status_ == store_status::unavailable)
                    {
                        retry(&directory::verify_entry);
                        return;
                    }
                    if (reply.status_ == store_status::absent)
                    {
                        report_lapsed_entry();
                        open_session();
                        return;
                    }
                    renew();
                }));
}

void directory::report_lapsed_entry()
{
    event entry;
    entry.subject_ = context_.settings_.node_;
    entry.what_ = "entry lapsed";
    entry.rule_ = "directory: the store no longer has this node's entry; it is written again";
    context_.record(std::move(entry));
}

store_client::callback directory::begin_step(std::function<void(const store_reply&)> on_reply)
{
    step_pending_ = true;
    return [this, on_step = std::move(on_reply), restores = store_restores_,
            alive = lifetime_.watch()](const store_reply& reply) {
        if (!alive || !running_ || restores != store_restores_)
        {
            return;
        }
        step_pending_ = false;
        on_step(reply);
    };
}

void directory::schedule_renewal()
{
    retry_delay_ = min_retry_delay;
    if (unconfirmed_write_)
    {
        schedule(&directory::verify_entry, late_write_time);
        return;
    }
    const double jitter = 0.75 + context_.random_.uniform() / 2.0;
    schedule(&directory::renew, std::chrono::duration_cast<duration>(renew_period * jitter));
}

void directory::schedule(step next, duration delay)
{
    next_step_ = next;
    lease_timer_.arm(delay);
}

void directory::run_next_step()
{
    (this->*next_step_)();
}

void directory::retry(step failed)
{
    const duration delay =
        std::chrono::duration_cast<duration>(retry_delay_ * (0.5 + context_.random_.uniform()));
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
    schedule(failed, delay);
}

std::string directory::entry_key() const
{
    return std::string(node_prefix) + context_.settings_.node_;
}

void directory::search_peers()
{
    if (!running_)
    {
        return;
    }
    const double jitter = 0.75 + context_.random_.uniform() / 2.0;
    search_timer_.arm(std::chrono::duration_cast<duration>(next_search_period() * jitter));
    const auto& known = context_.settings_.known_peers_;
    if (!known.empty() && context_.random_.chance(0.5))
    {
        members_.sync_with(known[context_.random_.index(known.size())]);
        return;
    }
    store_.list(node_prefix, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (alive && running_)
        {
            adjust_search_period(reply);
            sync_with_listed(reply);
        }
    });
}

duration directory::next_search_period() const
{
    if (!knows_no_peer())
    {
        return settled_search_period;
    }
    // Known peers are tried as often when the store returns errors.
    return context_.settings_.known_peers_.empty() ? search_period_ : search_period;
}

void directory::adjust_search_period(const store_reply& reply)
{
    const bool failed = reply.status_ == store_status::unavailable;
    search_period_ = failed ? std::min(search_period_ * 2, max_search_period) : search_period;
}

bool directory::knows_no_peer() const
{
    return members_.table().peers().empty();
}

duration directory::random_delay(duration longest) const
{
    return std::chrono::duration_cast<duration>(longest * context_.random_.uniform());
}

void directory::sync_with_listed(const store_reply& reply)
{
    // A store may report a prefix without keys as absent.
    if (reply.status_ != store_status::ok && reply.status_ != store_status::absent)
    {
        return;
    }
    listed_.clear();
    for (const store_entry& entry : reply.entries_)
    {
        const auto address = parse_endpoint(entry.value_);
        if (address && entry.key_.starts_with(node_prefix) && entry.key_ != entry_key())
        {
            listed_.push_back({entry.key_.substr(node_prefix.size()), *address});
        }
    }
    const bool itself =
        std::ranges::find(reply.entries_, entry_key(), &store_entry::key_) != reply.entries_.end();
    members_.on_listed(listed_.size(), itself);
    if (listed_.empty())
    {
        return;
    }
    members_.sync_with(listed_[context_.random_.index(listed_.size())].gossip_);
    introduction_timer_.arm(introductions_.restart());
}

void directory::introduce_to_unknown()
{
    std::vector<const listed_node*> unknown;
    for (const listed_node& listed : listed_)
    {
        if (members_.table().find(listed.node_) == nullptr)
        {
            unknown.push_back(&listed);
        }
    }
    const introduction_round round = introductions_.next_round(unknown.size());
    for (std::size_t i = 0; i < round.count_; ++i)
    {
        members_.introduce_to(unknown[context_.random_.index(unknown.size())]->gossip_);
    }
    if (round.next_)
    {
        introduction_timer_.arm(*round.next_);
    }
}

} // namespace bamboohoist
