#ifndef BAMBOOHOIST_DAEMON_APPLY_COORDINATOR_HPP
#define BAMBOOHOIST_DAEMON_APPLY_COORDINATOR_HPP

#include "daemon/configuration.hpp"
#include "daemon/membership.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace bamboohoist {

/// An operator's request to put a manifest into force.
struct apply_request
{
    std::string manifest_text_; ///< As JSON.
    std::uint64_t base_ = 0;    ///< The revision on which the operator based the manifest.
    day_note note_;
    std::vector<std::string> waived_; ///< Failure domains that need not report.
};

/// The outcome of an `apply_request`.
struct apply_result
{
    error_kind error_ = error_kind::none; ///< `none` when accepted.
    std::string detail_;
    std::uint64_t revision_ = 0;
    std::vector<std::string> missing_domains_; ///< Failure domains that did not report in time.
};

/// Coordinates one proposal at a time from the operator's request to its acceptance: writes its
/// chunks and its head to the store, collects the nodes' reports that it is in force, and accepts
/// it after that, or withdraws it when reports are missing.
class apply_coordinator : public child
{
public:
    using callback = std::function<void(apply_result)>;

    apply_coordinator(const control_context& context, store_client& store, configuration& config,
                      membership& members);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Queues a request; the callback runs once with its outcome.
    void submit(apply_request request, callback on_end);

    /// To be called when the newest head has changed. A head that stays proposed for too long is
    /// withdrawn, as its coordinator may have died.
    void watch_proposal(const revision_head& head);

    /// Records the report of a node that a revision is in force there.
    void record_report(const domain_member& member, std::uint64_t revision);

private:
    /// A request that waits for its turn or is being coordinated.
    struct proposal
    {
        apply_request request_;
        callback on_end_;
        chunked_text content_;
        ref_ptr<const manifest> manifest_;
        revision_head head_;
        /// Matches the head that was last read for this proposal. Heads that the node
        /// learns by other ways must not change it: a write could then replace a head that this
        /// proposal was never checked against.
        store_condition head_condition_;
        std::size_t writes_left_ = 0;
        bool write_failed_ = false;
        std::unique_ptr<acceptance_tracker> acceptance_;
        instant deadline_;
    };

    void start_next();
    void withdraw_abandoned();
    /// The number of alive nodes with a lower name, up to a limit.
    std::size_t takeover_rank() const;
    void write_chunks();
    void read_head();
    void propose(const store_reply& stored);
    void confirm_proposal();
    void on_proposed(const store_condition& expected);
    void check_acceptance();
    void accept();
    void withdraw(std::vector<std::string> missing_domains);
    /// Handles the reply to the write that accepts or withdraws the current proposal.
    void on_decision_written(const revision_head& head, const store_reply& reply,
                             apply_result result);
    void finish(apply_result result);
    void refuse(error_kind kind, std::string detail);

    const control_context& context_;
    store_client& store_;
    configuration& config_;
    membership& members_;
    std::unique_ptr<proposal> current_;
    std::deque<std::unique_ptr<proposal>> waiting_;
    timer check_timer_;
    timer abandoned_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
