#ifndef BAMBOOHOIST_DAEMON_APPLY_COORDINATOR_HPP
#define BAMBOOHOIST_DAEMON_APPLY_COORDINATOR_HPP

#include "daemon/configuration.hpp"
#include "daemon/membership.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace bamboohoist {

/// An operator's wish to put a manifest into force.
struct apply_request
{
    std::string text_;       ///< The manifest as JSON.
    std::uint64_t base_ = 0; ///< The revision that the operator looked at.
    day_note note_;
    std::vector<std::string> waived_; ///< Failure domains that need not report.
};

/// What became of it.
struct apply_result
{
    error_kind error_ = error_kind::none; ///< `none` when accepted.
    std::string detail_;
    std::uint64_t revision_ = 0;
    std::vector<std::string> missing_; ///< Failure domains that did not report in time.
};

/// Carries one proposal at a time from the operator to its acceptance: chunks and head go to the
/// store, the nodes report it in force, and only then is it accepted; else it is withdrawn.
class apply_coordinator : public child
{
public:
    using callback = std::function<void(apply_result)>;

    apply_coordinator(const control_context& context, store_client& store, configuration& config,
                      membership& members);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    void submit(apply_request request, callback on_end);

    /// The newest head has changed; a proposal that nobody settles is watched from here on.
    void watch_proposal(const revision_head& head);

    /// A node has reported a revision in force.
    void report(const domain_member& member, std::uint64_t revision);

private:
    /// The proposal in hand.
    struct proposal
    {
        apply_request request_;
        callback on_end_;
        chunked_text content_;
        ref_ptr<const manifest> manifest_;
        revision_head head_;
        /// Of the head that was read last for this proposal. What the node learns meanwhile from
        /// elsewhere must not count, or a write could replace a head that nobody has looked at.
        std::uint64_t head_index_ = 0;
        std::size_t writes_left_ = 0;
        bool write_failed_ = false;
        std::unique_ptr<acceptance_tracker> acceptance_;
        instant deadline_;
    };

    void begin();
    void settle_abandoned();
    std::size_t rank() const;
    void write_chunks();
    void read_head();
    void propose(const store_reply& current);
    void confirm_proposal();
    void on_proposed(std::uint64_t index);
    void check();
    void accept();
    void withdraw(std::vector<std::string> missing_domains);
    void finish_write(const revision_head& head, const store_reply& reply, apply_result result);
    void end(apply_result result);
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
