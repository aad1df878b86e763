#ifndef BAMBOOHOIST_TESTING_QUOTA_MODEL_NODE_HPP
#define BAMBOOHOIST_TESTING_QUOTA_MODEL_NODE_HPP

#include "model/quota_model.hpp"

#include "policy/fleet_survey.hpp"

namespace bamboohoist::testing {

/// The requests of one organisation that wait at a node.
struct quota_model::waiting
{
    std::deque<double> limits_s_; ///< When each waiting request is decided without the owner.
    bool asking_ = false;
    std::uint64_t number_ = 0;
};

/// A node of the model; one that starts again is a new one.
struct quota_model::node
{
    node(const quota_rule& rule, const std::string& name) : ledger_(rule, name), accounts_(rule) {}

    bool alive_ = true;
    bool silent_ = false;
    bool publishes_ = false; ///< A changed view is about to be published.
    bool surveys_ = false;   ///< Decides with its survey when it knows the fleet, else knows it.
    fleet_survey survey_;
    std::uint64_t start_ = 0;
    quota_ledger ledger_;
    quota_accounts accounts_;
    std::map<std::size_t, bool> view_; ///< Known nodes, and whether they are seen alive.
    std::map<std::string, quota_limit> limits_;
    std::map<std::string, waiting> queues_;
};

inline std::string node_name(std::size_t node)
{
    return "n" + std::to_string(node);
}

} // namespace bamboohoist::testing

#endif
