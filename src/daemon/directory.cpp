#include "daemon/directory.hpp"

#include "loop/run_after.hpp"

namespace bamboohoist {

namespace {

constexpr duration lease_time = std::chrono::minutes(10);
constexpr duration renew_period = std::chrono::minutes(4);
constexpr duration search_period = std::chrono::milliseconds(500);
/// Once peers are known the directory is looked at rarely, for islands that know only themselves.
constexpr duration settled_search_period = std::chrono::minutes(10);
constexpr duration least_retry = std::chrono::seconds(1);
constexpr duration most_retry = std::chrono::minutes(1);
constexpr std::size_t join_count = 3;

} // namespace

directory::directory(const control_context& context, store_client& store, membership& members)
    : context_(context), store_(store), members_(members), retry_delay_(least_retry),
      lease_timer_(context.loop_, [this] { renew(); }),
      search_timer_(context.loop_, [this] { search(); })
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
    search();
    return true;
}

void directory::stop()
{
    running_ = false;
    lease_timer_.cancel();
    search_timer_.cancel();
}

void directory::withdraw()
{
    lease_timer_.cancel();
    store_.remove(std::string(node_prefix) + context_.settings_.node_, [](const store_reply&) {});
}

void directory::open_session()
{
    store_.open_session(
        context_.settings_.node_, lease_time,
        [this, alive = lifetime_.watch()](const store_reply& reply) {
            if (!alive || !running_)
            {
                return;
            }
            if (reply.status_ != store_status::ok)
            {
                back_off(&directory::open_session);
                return;
            }
            session_ = reply.text_;
            retry_delay_ = least_retry;
            // A restarted node finds its former entry still held, so that goes first.
            const std::string key = std::string(node_prefix) + context_.settings_.node_;
            store_.remove(key, [this, key, still = lifetime_.watch()](const store_reply&) {
                if (still)
                {
                    store_.write_leased(key, members_.table().self().gossip_, session_,
                                        [](const store_reply&) {});
                }
            });
            const double jitter = 0.75 + context_.random_.uniform() / 2.0;
            lease_timer_.arm(std::chrono::duration_cast<duration>(renew_period * jitter));
        });
}

void directory::renew()
{
    store_.renew_session(session_, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (!alive || !running_)
        {
            return;
        }
        if (reply.status_ == store_status::absent)
        {
            open_session();
            return;
        }
        if (reply.status_ != store_status::ok)
        {
            back_off(&directory::renew);
            return;
        }
        retry_delay_ = least_retry;
        const double jitter = 0.75 + context_.random_.uniform() / 2.0;
        lease_timer_.arm(std::chrono::duration_cast<duration>(renew_period * jitter));
    });
}

void directory::search()
{
    if (!running_)
    {
        return;
    }
    const bool alone = members_.table().peers().empty();
    const duration period = alone ? search_period : settled_search_period;
    const double jitter = 0.75 + context_.random_.uniform() / 2.0;
    search_timer_.arm(std::chrono::duration_cast<duration>(period * jitter));
    const auto& known = context_.settings_.known_peers_;
    if (!known.empty() && context_.random_.chance(0.5))
    {
        members_.sync_with(known[context_.random_.index(known.size())]);
        return;
    }
    store_.list(node_prefix, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (alive && running_)
        {
            join_listed(reply);
        }
    });
}

void directory::join_listed(const store_reply& reply)
{
    std::vector<endpoint> found;
    for (const store_entry& entry : reply.entries_)
    {
        const auto address = parse_endpoint(entry.value_);
        if (address && !entry.key_.ends_with("/" + context_.settings_.node_))
        {
            found.push_back(*address);
        }
    }
    for (std::size_t i = 0; i < join_count && !found.empty(); ++i)
    {
        members_.sync_with(found[context_.random_.index(found.size())]);
    }
}

void directory::back_off(void (directory::*step)())
{
    const duration delay =
        std::chrono::duration_cast<duration>(retry_delay_ * (0.5 + context_.random_.uniform()));
    retry_delay_ = std::min(retry_delay_ * 2, most_retry);
    run_after(context_.loop_, delay, [this, step, alive = lifetime_.watch()] {
        if (alive && running_)
        {
            (this->*step)();
        }
    });
}

} // namespace bamboohoist
