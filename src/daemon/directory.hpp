#ifndef BAMBOOHOIST_DAEMON_DIRECTORY_HPP
#define BAMBOOHOIST_DAEMON_DIRECTORY_HPP

#include "daemon/membership.hpp"
#include "policy/introductions.hpp"
#include "store/store_client.hpp"

#include <string>

namespace bamboohoist {

inline constexpr std::string_view node_prefix = "bamboohoist/nodes/";

/// A node as its entry in the store names it.
struct listed_node
{
    std::string node_;
    endpoint gossip_;
};

/// Keeps this node's entry in the store under a lease, and finds peers through the entries of other
/// nodes. The entries serve only nodes that know no peer; membership decides which nodes are alive.
class directory : public child
{
public:
    directory(const control_context& context, store_client& store, membership& members);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Removes the entry when the node leaves.
    void remove_entry();

private:
    void open_session();
    void renew();
    void search_peers();
    void sync_with_listed(const store_reply& reply);
    /// Sends this node's record to some of the listed nodes that membership does not know yet. The
    /// store may serve this node and reject them.
    void introduce_to_unknown();
    /// Repeats a failed operation after a delay that doubles with every failure.
    void retry_later(void (directory::*operation)());

    const control_context& context_;
    store_client& store_;
    membership& members_;
    std::string session_;
    duration retry_delay_;
    timer lease_timer_;
    timer search_timer_;
    std::vector<listed_node> listed_; ///< The other nodes' entries as last read.
    introductions introductions_;
    timer introduction_timer_;
    bool running_ = false;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
