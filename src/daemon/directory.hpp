#ifndef BAMBOOHOIST_DAEMON_DIRECTORY_HPP
#define BAMBOOHOIST_DAEMON_DIRECTORY_HPP

#include "daemon/membership.hpp"
#include "policy/introductions.hpp"
#include "store/store_client.hpp"

#include <functional>
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

    /// Checks the entry, and searches again at once if no peer is known.
    void on_store_regained();

    /// The store was restored from an older copy. The lease is lost or, as the store issues its
    /// identifiers again, another node's; a new session is opened and the entry written under it.
    void on_writes_lost();

    /// Writes the entry again if it has lapsed, for example while the store was away.
    void check_entry();

    /// The session that this node's entry is held by; empty until there is one.
    std::string_view session() const;

private:
    /// One step of keeping the entry; at most one is pending or scheduled.
    using step = void (directory::*)();

    void open_session();
    void remove_former_entry();
    void write_entry();
    void renew();
    void verify_entry();
    void report_lapsed_entry();
    /// Marks a step as pending until its reply arrives.
    store_client::callback begin_step(std::function<void(const store_reply&)> on_reply);
    void schedule_renewal();
    void schedule(step next, duration delay);
    /// A lambda that makes this call itself is compiled wrongly by g++ 12 with -fsanitize=vptr.
    void run_next_step();
    /// Repeats a failed step after a delay that doubles with every failure.
    void retry(step failed);
    std::string entry_key() const;
    void search_peers();
    duration next_search_period() const;
    /// While the store returns errors the entries are read less and less often.
    void adjust_search_period(const store_reply& reply);
    bool knows_no_peer() const;
    duration random_delay(duration longest) const;
    void sync_with_listed(const store_reply& reply);
    /// Sends this node's record to some of the listed nodes that membership does not know yet. The
    /// store may serve this node and reject them.
    void introduce_to_unknown();

    const control_context& context_;
    store_client& store_;
    membership& members_;
    std::string session_;
    duration search_period_; ///< Between two reads of the entries while no peer is known.
    duration retry_delay_;
    step next_step_ = &directory::open_session;
    bool step_pending_ = false;
    std::uint64_t store_restores_ = 0; ///< Replies to steps from before the latest are ignored.
    bool unconfirmed_write_ = false;   ///< The removal of the former entry may still take effect.
    timer lease_timer_;
    timer search_timer_;
    std::vector<listed_node> listed_; ///< The other nodes' entries as last read.
    introductions introductions_;
    timer introduction_timer_;
    bool running_ = false;
    bool left_ = false; ///< The entry was removed.
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
