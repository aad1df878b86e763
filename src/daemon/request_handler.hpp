#ifndef BAMBOOHOIST_DAEMON_REQUEST_HANDLER_HPP
#define BAMBOOHOIST_DAEMON_REQUEST_HANDLER_HPP

#include "daemon/ingress.hpp"
#include "daemon/pending_attempt.hpp"
#include "daemon/request_admission.hpp"
#include "daemon/target_selector.hpp"

#include <vector>

namespace bamboohoist {

/// Handles one caller's request: sends it to one target after another until there is a response.
/// When an attempt of an idempotent request is slow, a second one (a hedge) is sent to another
/// target, and the first response is used.
class request_handler : public ref_counted_local<request_handler>, public open_request
{
public:
    request_handler(ingress& owner, exchange_ptr caller);

    void start();

    void respond_on_shutdown() override;

private:
    /// Identifies the request and decides whether it may be sent to targets. Responds to the caller
    /// and returns false when it may not.
    bool admit();
    /// Starts the first attempt if the organisation's quota admits the request.
    void on_quota_decision(const quota_decision& decision);
    /// Sends the request to a target that was not tried yet. False when there is none.
    bool start_attempt();
    std::optional<selected_target> select_target();
    void send_attempt(const fleet_target& target, const target_choice& choice);
    forwarded_request make_forwarded_request(const fleet_target& target) const;
    void on_call_result(std::uint32_t number, call_result result);
    void on_response(forwarded_response response);
    void on_failure(const forwarded_response& failure);
    /// Responds to the caller after the last attempt has failed and no retry follows.
    void finish_with_failure(error_kind kind, outcome result, std::string_view detail);

    /// True when the request may be sent again; the retry is then charged to the budget.
    bool acquire_retry(const forwarded_response& failure);
    /// Records that an attempt is slow: the target stalls, or the path to its node is interrupted.
    void record_path_silence(const pending_attempt& attempt);
    void relay_response(response_message response);
    void respond_with_error(error_kind kind, outcome result, std::string_view detail);
    /// Writes a decision about this request to the `decision_log`.
    void log_decision(std::string_view decision, std::string_view why,
                      std::string_view result) const;
    void arm_hedge_timer();
    void on_hedge_timer();
    void on_deadline();
    /// Cancels the attempts in flight and responds with what is known.
    void give_up(error_kind kind, outcome result, std::string_view detail);
    void on_caller_disconnected();
    void cancel_attempts();
    void record_call_failure();
    void record_latency();
    duration time_left() const;

    ingress& owner_;
    exchange_ptr caller_;
    fleet_ptr fleet_; ///< Snapshot with the revision under which the request was routed.
    admitted_request request_;
    std::string key_; ///< Idempotency key; empty when there is none.
    std::string id_;
    instant started_;
    std::optional<instant> admitted_;     ///< When the request took a credit of a quota.
    std::optional<duration> quota_retry_; ///< When a request over the quota may be repeated.
    std::vector<std::string> tried_targets_;
    std::vector<pending_attempt> pending_attempts_;
    std::string last_target_; ///< Target of the latest attempt, for the log.
    std::uint32_t attempts_ = 0;
    /// Finished attempts that a target received or may have received.
    std::uint32_t targets_reached_ = 0;
    std::uint32_t crashes_ = 0;
    bool may_have_run_ = false; ///< An attempt may have run although no response came.
    /// Error response of a target, kept while another attempt may succeed.
    std::optional<response_message> error_response_;
    timer deadline_timer_;
    timer hedge_timer_;
};

} // namespace bamboohoist

#endif
