/// Runs seeded random schedules of racing operators, lost replies, store outages, stale peers and
/// restarts against the rules of acceptance.

#include "core/random_source.hpp"
#include "policy/revision.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace bamboohoist;

namespace {

constexpr std::size_t node_count = 6;
constexpr int steps = 400;

/// A store with compare-and-swap for one value that can be down or lose the reply to a write.
class fake_store
{
public:
    explicit fake_store(random_source& random) : random_(random) {}

    bool down_ = false;

    std::optional<std::pair<revision_head, std::uint64_t>> read()
    {
        if (down_)
        {
            return std::nullopt;
        }
        return std::pair(head_, index_);
    }

    /// Empty when the outcome is unknown.
    std::optional<bool> write(const revision_head& head, std::uint64_t expected)
    {
        if (down_)
        {
            return std::nullopt;
        }
        const bool written = expected == index_;
        if (written)
        {
            head_ = head;
            ++index_;
            history_.push_back(head);
        }
        return random_.chance(0.2) ? std::nullopt : std::optional(written);
    }

    std::vector<revision_head> history_;

private:
    random_source& random_;
    revision_head head_;
    std::uint64_t index_ = 0;
};

struct model_node
{
    std::string name_;
    std::string domain_;
    revision_head head_;
    std::uint64_t in_force_ = 0;
    bool running_ = true;
    std::uint64_t incarnation_ = 1;
    std::optional<acceptance_tracker> proposal_; ///< Proposed by an operator through this node.
    int checks_left_ = 0;
};

model_node make_node(std::string name, std::string domain)
{
    model_node node;
    node.name_ = std::move(name);
    node.domain_ = std::move(domain);
    return node;
}

class revision_model
{
public:
    explicit revision_model(std::uint64_t seed) : random_(seed), store_(random_)
    {
        for (std::size_t i = 0; i < node_count; ++i)
        {
            nodes_.push_back(make_node("n" + std::to_string(i), "d" + std::to_string(i % 3)));
        }
        regions_ = {{"r", {"d0", "d1", "d2"}}};
    }

    void run()
    {
        for (int step = 0; step < steps; ++step)
        {
            if (random_.chance(0.03))
            {
                store_.down_ = !store_.down_;
            }
            model_node& node = nodes_[random_.index(node_count)];
            act(node);
        }
        check_history();
    }

private:
    void act(model_node& node)
    {
        switch (random_.index(8))
        {
        case 0:
            propose(node);
            break;
        case 1:
        case 2:
            decide(node);
            break;
        case 3:
            learn_from_store(node);
            break;
        case 4:
            restart_or_stop(node);
            break;
        default:
            learn_from_peer(node, nodes_[random_.index(node_count)]);
            break;
        }
    }

    void propose(model_node& node)
    {
        const auto current = store_.read();
        if (!node.running_ || node.proposal_ || !current)
        {
            return;
        }
        const auto& [known, index] = *current;
        if (known.revision_ != 0 && !known.accepted_)
        {
            return;
        }
        revision_head head;
        head.revision_ = known.revision_ + 1;
        head.operation_ = random_.identifier();
        head.content_ = "content of " + head.operation_;
        head.fallback_ = known.content_;
        head.fallback_revision_ = known.revision_;
        // Another operator may write between the read and the write.
        if (random_.chance(0.3))
        {
            propose(nodes_[random_.index(node_count)]);
        }
        store_.write(head, index);
        const auto back = store_.read();
        if (back && back->first.operation_ == head.operation_)
        {
            node.proposal_.emplace(head, regions_);
            node.checks_left_ = 20;
            adopt(node, head);
        }
    }

    void decide(model_node& node)
    {
        if (!node.running_ || !node.proposal_)
        {
            return;
        }
        const revision_head proposed = node.proposal_->proposed();
        std::vector<domain_member> present;
        for (const model_node& other : nodes_)
        {
            if (other.running_)
            {
                const domain_member member{other.name_, other.incarnation_, other.domain_};
                present.push_back(member);
                node.proposal_->report(member, other.in_force_);
            }
        }
        const auto current = store_.read();
        if (!current || current->first.operation_ != proposed.operation_)
        {
            if (current)
            {
                node.proposal_.reset(); // Decided by another node.
            }
            return;
        }
        revision_head next = proposed;
        if (node.proposal_->missing_domains(present).empty())
        {
            next.accepted_ = true;
            complete_at_acceptance_[next.revision_] = all_nodes_have(proposed);
        }
        else if (--node.checks_left_ <= 0)
        {
            next = make_withdrawal(proposed, random_.identifier());
        }
        else
        {
            return;
        }
        if (store_.write(next, current->second))
        {
            node.proposal_.reset();
        }
    }

    bool all_nodes_have(const revision_head& head) const
    {
        return std::ranges::all_of(nodes_, [&](const model_node& node) {
            return !node.running_ || node.in_force_ >= head.revision_;
        });
    }

    void adopt(model_node& node, const revision_head& offered)
    {
        if (!should_adopt(node.head_, offered))
        {
            return;
        }
        CHECK(offered.revision_ >= node.in_force_);
        node.head_ = offered;
        node.in_force_ = offered.revision_;
    }

    void learn_from_store(model_node& node)
    {
        const auto current = store_.read();
        if (node.running_ && current && current->first.revision_ != 0)
        {
            adopt(node, current->first);
        }
    }

    void learn_from_peer(model_node& node, const model_node& peer)
    {
        if (node.running_ && peer.running_ && peer.head_.revision_ != 0)
        {
            adopt(node, peer.head_);
        }
    }

    void restart_or_stop(model_node& node)
    {
        if (node.running_ && random_.chance(0.5))
        {
            node.running_ = false;
        }
        else if (!node.running_)
        {
            // A new VM has no state and no revision in force until it learns one.
            const std::uint64_t incarnation = node.incarnation_ + 1;
            node = make_node(node.name_, node.domain_);
            node.incarnation_ = incarnation;
        }
    }

    void check_history()
    {
        std::map<std::uint64_t, revision_head> accepted;
        std::uint64_t last = 0;
        for (const revision_head& head : store_.history_)
        {
            CHECK(head.revision_ >= last);
            CHECK(head.revision_ <= last + 1);
            if (head.withdrawn_ != 0)
            {
                // Only proposals are withdrawn, never accepted revisions.
                CHECK_FALSE(accepted.contains(head.withdrawn_));
            }
            if (head.accepted_ && head.withdrawn_ == 0)
            {
                CHECK(complete_at_acceptance_[head.revision_]);
                const auto known = accepted.try_emplace(head.revision_, head).first;
                CHECK(known->second.content_ == head.content_);
            }
            last = head.revision_;
        }
    }

    random_source random_;
    fake_store store_;
    std::vector<model_node> nodes_;
    std::vector<region_spec> regions_;
    std::map<std::uint64_t, bool> complete_at_acceptance_;
};

} // namespace

TEST_CASE("under any schedule accepted revisions are never withdrawn and have one content")
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        CAPTURE(seed);
        revision_model model(seed);
        model.run();
    }
}

TEST_CASE("a head is adopted only for a higher revision, or when its revision becomes accepted")
{
    revision_head proposed;
    proposed.revision_ = 4;
    proposed.operation_ = "x";
    revision_head accepted = proposed;
    accepted.accepted_ = true;
    revision_head older = accepted;
    older.revision_ = 3;
    CHECK(should_adopt({}, proposed));
    CHECK(should_adopt(proposed, accepted));
    CHECK_FALSE(should_adopt(accepted, proposed));
    CHECK_FALSE(should_adopt(proposed, older));
    revision_head other = accepted;
    other.operation_ = "y";
    CHECK_FALSE(should_adopt(proposed, other));
}

TEST_CASE("acceptance lists the missing domains and leaves out waived ones")
{
    const std::vector<region_spec> regions{{"r", {"d0", "d1", "d2"}}};
    revision_head head;
    head.revision_ = 7;
    acceptance_tracker strict(head, regions);
    const std::vector<domain_member> present{{"a", 1, "d0"}, {"b", 1, "d1"}, {"b2", 1, "d1"}};
    strict.report(present[0], 7);
    strict.report(present[1], 7);
    strict.report(present[2], 6);
    CHECK(strict.missing_domains(present) == std::vector<std::string>{"d1", "d2"});
    head.waived_ = {"d2"};
    acceptance_tracker waived(head, regions);
    waived.report(present[0], 8);
    waived.report(present[1], 7);
    waived.report({"b2", 0, "d1"}, 7); // Reported before its restart.
    CHECK(waived.missing_domains(present) == std::vector<std::string>{"d1"});
    waived.report(present[2], 7);
    CHECK(waived.missing_domains(present).empty());
}
