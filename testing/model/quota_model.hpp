#ifndef BAMBOOHOIST_TESTING_QUOTA_MODEL_HPP
#define BAMBOOHOIST_TESTING_QUOTA_MODEL_HPP

#include "core/random_source.hpp"
#include "policy/quota_accounts.hpp"
#include "policy/quota_ledger.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// What became of the requests of one organisation.
struct quota_use
{
    quota_limit limit_;
    std::vector<double> ran_s_; ///< When the requests reached a target.
    std::uint64_t sent_ = 0;
    std::uint64_t refused_ = 0;

    /// The most requests in any window, as a multiple of what the rule allows: above 1 violates it.
    double worst_window(const quota_rule& rule) const;
};

/// A fleet of ingresses and owners with delayed messages, a membership that learns of failures late
/// and a clock of its own. Runs the decisions of `quota_accounts` and `quota_ledger` without a
/// network.
class quota_model
{
public:
    quota_model(std::size_t nodes, std::uint64_t seed);
    ~quota_model();

    void add_organisation(const std::string& name, const quota_limit& limit);

    /// Sets how many requests a second an organisation sends, by Poisson arrivals at random nodes,
    /// or all at one node.
    void set_load(const std::string& name, double per_s, int node = -1);

    /// Changes a limit in a new revision, which the nodes get within half a second.
    void set_limit(const std::string& name, const quota_limit& limit);

    void run(double seconds);

    /// Ends a node's process. If `silent`, connections to it time out instead of being refused.
    void kill(std::size_t node, bool silent = false);
    void restart(std::size_t node);

    /// Ends and starts all processes at the same moment. Each knows only itself then, and learns of
    /// the others one by one.
    void restart_all();

    /// Cuts the nodes below `size` off from the others.
    void split(std::size_t size);
    void heal();

    /// Ends a node in order: it leaves the fleet and stops 1.5 s later.
    void leave(std::size_t node);

    /// Adds a node; returns its number.
    std::size_t join();

    /// The fraction of replies to asks that are lost.
    void set_loss(double fraction);

    std::size_t owner_of(const std::string& name) const;
    const quota_use& use(const std::string& name) const;
    std::map<std::string, quota_use>& uses();
    std::size_t account_count() const;
    std::size_t bucket_count() const;
    std::uint64_t asks() const;

private:
    struct node;
    struct waiting;
    using task = std::function<void()>;

    instant now() const;
    void after(double seconds, task function);
    void schedule_arrival(const std::string& name, std::uint64_t load_number);
    void arrive(std::size_t at, const std::string& name);
    void send_ask(std::size_t at, const std::string& name);
    void deliver_ask(std::size_t from, std::size_t to, const quota_ask& ask, std::uint64_t number);
    void end_ask(std::size_t at, const std::string& name, const std::optional<quota_reply>& reply,
                 std::uint64_t number, const std::string& asked, bool timed_out);
    void resolve(std::size_t at, const std::string& name);
    void decide(const std::string& name, const quota_decision& decision);
    void admit(const std::string& name);
    void check(std::size_t at, const std::string& subject);
    bool connected(std::size_t left, std::size_t right) const;
    /// Each node learns after a random time in this range that another one changed its state.
    void spread(std::size_t subject, bool alive, double from_s, double to_s);
    void see(std::size_t observer, std::size_t subject, bool alive);
    /// The node learns of each other one within the time that gossip takes after a common start.
    void discover(std::size_t node);
    /// Looks now and then whether the node knows the fleet.
    void survey(std::size_t node, std::uint64_t start);
    void publish(std::size_t at);
    void tick(std::size_t at, std::uint64_t start);
    std::size_t index_of(const std::string& node) const;

    struct event
    {
        double at_s_;
        std::uint64_t order_;
        task run_;

        bool operator<(const event& other) const
        {
            return at_s_ != other.at_s_ ? at_s_ > other.at_s_ : order_ > other.order_;
        }
    };

    struct load
    {
        double per_s_ = 0.0;
        int node_ = -1;
        std::uint64_t number_ = 0;
    };

    quota_rule rule_;
    random_source random_;
    double now_s_ = 1000.0;
    std::uint64_t order_ = 0;
    std::uint64_t asks_ = 0;
    double loss_ = 0.0;
    std::size_t split_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<std::string, quota_use> uses_;
    std::map<std::string, load> loads_;
};

} // namespace bamboohoist::testing

#endif
