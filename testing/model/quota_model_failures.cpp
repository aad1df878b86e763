/// The failures of the model and its membership.

#include "model/quota_model.hpp"
#include "model/quota_model_node.hpp"

#include <algorithm>

namespace bamboohoist::testing {

namespace {

constexpr double tick_s = 1.0;
constexpr double publish_delay_s = 0.3;
/// Twenty nodes that started together knew each other after 0.8 to 1.9 s.
constexpr double discovery_s = 1.3;
constexpr double survey_s = 0.2;

} // namespace

void quota_model::kill(std::size_t node, bool silent)
{
    nodes_[node]->alive_ = false;
    nodes_[node]->silent_ = silent;
    nodes_[node]->queues_.clear();
    // Probes time out, and the suspicion lasts 3 s.
    spread(node, false, 4.0, 6.0);
}

void quota_model::restart(std::size_t node)
{
    auto fresh = std::make_unique<quota_model::node>(rule_, node_name(node));
    fresh->start_ = nodes_[node]->start_ + 1;
    fresh->view_ = nodes_[node]->view_;
    fresh->limits_ = nodes_[node]->limits_;
    for (auto& [other, alive] : fresh->view_)
    {
        alive = nodes_[other]->alive_ || other == node;
    }
    nodes_[node] = std::move(fresh);
    publish(node);
    tick(node, nodes_[node]->start_);
    spread(node, true, 0.2, 2.0);
}

void quota_model::restart_all()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto fresh = std::make_unique<quota_model::node>(rule_, node_name(i));
        fresh->start_ = nodes_[i]->start_ + 1;
        fresh->view_[i] = true;
        fresh->limits_ = nodes_[i]->limits_;
        nodes_[i] = std::move(fresh);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i]->surveys_ = true;
        nodes_[i]->survey_.on_listed(nodes_.size() - 1, true, now());
        nodes_[i]->accounts_.set_provisional_parts(nodes_[i]->survey_.provisional_parts(), now());
        survey(i, nodes_[i]->start_);
        tick(i, nodes_[i]->start_);
        discover(i);
    }
}

void quota_model::survey(std::size_t node, std::uint64_t start)
{
    quota_model::node& item = *nodes_[node];
    if (item.start_ != start)
    {
        return;
    }
    if (item.survey_.is_complete(now()))
    {
        publish(node);
        return;
    }
    after(survey_s, [this, node, start] { survey(node, start); });
}

void quota_model::discover(std::size_t node)
{
    const std::uint64_t start = nodes_[node]->start_;
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != node)
        {
            after(random_.uniform() * discovery_s, [this, node, other, start] {
                if (nodes_[node]->start_ == start)
                {
                    see(node, other, true);
                }
            });
        }
    }
}

void quota_model::split(std::size_t size)
{
    split_ = size;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        // A side needs longer to find all nodes of the other side dead than a single one.
        spread(i, false, 4.0, 7.0);
    }
}

void quota_model::heal()
{
    const std::size_t before = split_;
    split_ = 0;
    for (std::size_t i = 0; i < nodes_.size() && before > 0; ++i)
    {
        if (nodes_[i]->alive_)
        {
            spread(i, true, 0.2, 2.5);
        }
    }
}

void quota_model::leave(std::size_t node)
{
    // A leaving node tells its peers at once, and serves for a while.
    nodes_[node]->view_.erase(node);
    publish(node);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (i != node)
        {
            after(0.05 + random_.uniform() * 0.95, [this, i, node] {
                nodes_[i]->view_.erase(node);
                publish(i);
            });
        }
    }
    after(1.5, [this, node] { nodes_[node]->alive_ = false; });
}

std::size_t quota_model::join()
{
    const std::size_t added = nodes_.size();
    nodes_.push_back(std::make_unique<node>(rule_, node_name(added)));
    node& fresh = *nodes_.back();
    for (std::size_t i = 0; i <= added; ++i)
    {
        fresh.view_[i] = nodes_[i]->alive_;
    }
    fresh.limits_ = nodes_[0]->limits_;
    publish(added);
    tick(added, 0);
    spread(added, true, 0.2, 2.0);
    return added;
}

bool quota_model::connected(std::size_t left, std::size_t right) const
{
    return (left < split_) == (right < split_);
}

void quota_model::spread(std::size_t subject, bool alive, double from_s, double to_s)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        const bool reached = connected(i, subject);
        if (i != subject && reached == alive)
        {
            after(from_s + random_.uniform() * (to_s - from_s), [this, i, subject, alive] {
                const bool still = alive ? nodes_[subject]->alive_ && connected(i, subject)
                                         : !connected(i, subject);
                if (still)
                {
                    see(i, subject, alive);
                }
            });
        }
        else if (i != subject && !alive && reached && !nodes_[subject]->alive_)
        {
            const std::uint64_t start = nodes_[subject]->start_;
            after(from_s + random_.uniform() * (to_s - from_s), [this, i, subject, start] {
                if (!nodes_[subject]->alive_ && nodes_[subject]->start_ == start)
                {
                    see(i, subject, false);
                }
            });
        }
    }
}

void quota_model::see(std::size_t observer, std::size_t subject, bool alive)
{
    node& item = *nodes_[observer];
    item.view_[subject] = alive;
    item.survey_.on_peers(item.view_.size() - 1, now());
    if (item.alive_ && !item.publishes_)
    {
        // Control coalesces changes; a longer time here keeps the model fast.
        item.publishes_ = true;
        after(publish_delay_s, [this, observer] {
            nodes_[observer]->publishes_ = false;
            publish(observer);
        });
    }
}

void quota_model::publish(std::size_t at)
{
    std::vector<shard_node> present;
    std::vector<std::string> cut_off;
    node& item = *nodes_[at];
    if (item.surveys_ && !item.survey_.is_complete(now()))
    {
        return;
    }
    for (const auto& [other, alive] : item.view_)
    {
        if (alive)
        {
            present.push_back({node_name(other), node_name(other)});
        }
        else
        {
            cut_off.push_back(node_name(other));
        }
    }
    const std::size_t alive = present.size();
    std::ranges::sort(cut_off);
    const ref_ptr<const shard_owners> owners(new shard_owners(std::move(present)));
    item.ledger_.set_fleet({owners, alive, cut_off}, now());
    item.accounts_.set_fleet(owners, item.view_.size(), now());
}

void quota_model::tick(std::size_t at, std::uint64_t start)
{
    if (nodes_[at]->start_ != start || !nodes_[at]->alive_)
    {
        return;
    }
    nodes_[at]->ledger_.prune(now());
    nodes_[at]->accounts_.prune(now());
    after(tick_s, [this, at, start] { tick(at, start); });
}

} // namespace bamboohoist::testing
