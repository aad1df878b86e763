#ifndef BAMBOOHOIST_DAEMON_REQUEST_HANDLER_HPP
#define BAMBOOHOIST_DAEMON_REQUEST_HANDLER_HPP

#include "daemon/ingress.hpp"

#include <vector>

namespace bamboohoist {

/// One caller's request on its way: attempt after attempt until there is an answer. An idempotent
/// request whose attempt takes long gets a second one beside it, and the first answer wins.
class request_handler : public ref_counted_local<request_handler>, public open_request
{
public:
    request_handler(ingress& owner, exchange_ptr caller);

    void begin();

    void respond_on_shutdown() override;

private:
    /// Whether targets count whose path failed lately.
    enum class path_use
    {
        healthy,
        any,
    };

    /// One attempt that is out.
    struct sending
    {
        std::uint32_t number_ = 0;
        fleet_target target_;
        instant sent_;
        peer_link* link_ = nullptr;
        peer_link::call_id call_ = 0;
        bool trial_ = false; ///< It was offered as the trial of an ejected target.
    };

    bool read_request();
    void read_deadline(const std::optional<duration>& time_left);
    bool route_request();
    /// Sends the request to another target. False when there is none.
    bool attempt();
    std::optional<target_choice> choose_any();
    /// True when another target could take a second attempt without keeping first ones waiting.
    bool has_room_beside();
    std::optional<target_choice> choose(path_use paths, bool region_allowed) const;
    candidate make_candidate(const fleet_target& target, path_use paths) const;
    const service_targets& targets() const;
    bool region_allowed();
    void pay_for_region(const fleet_target& target, std::size_t bytes);
    void send(const fleet_target& target, const target_choice& why);
    forwarded_request make_work(const fleet_target& target) const;
    void on_result(std::uint32_t number, call_result result);
    void learn(const sending& ended, const forwarded_response& answer);
    void on_answer(forwarded_response answer);
    void on_failure(const forwarded_response& failure);
    /// Nothing is out any more and nothing more is tried.
    void give_up(const forwarded_response& failure);

    /// True when the request may be sent again; the retry is then paid for.
    bool take_retry(const forwarded_response& failure);
    /// An attempt takes long: the target stalls, or the path to its node is cut.
    void record_path_silence(const sending& late);
    void relay(response_message answer);
    void answer_error(error_kind kind, outcome result, std::string_view detail);
    /// When a refused request may come again; empty when that would not help.
    std::optional<duration> retry_after(error_kind kind, outcome result) const;
    /// Writes a line about this request; see `decision_log`.
    void tell(std::string_view decision, std::string_view why, std::string_view result) const;
    void arm_attempt_timer();
    void on_attempt_timeout();
    void on_deadline();
    void abandon();
    void drop_sendings();
    void drop(const sending& item);
    void note_failure();
    void note_latency();
    duration time_left() const;

    ingress& owner_;
    exchange_ptr caller_;
    fleet_ptr fleet_; ///< The revision under which the request was routed.
    const route_spec* route_ = nullptr;
    const service_spec* service_ = nullptr;
    std::uint32_t service_index_ = 0;
    std::string organisation_;
    double share_ = 1.0;
    std::string key_;
    std::string id_;
    instant began_;
    bool idempotent_ = false;
    instant deadline_;
    header_list headers_;
    std::vector<std::string> tried_;
    std::vector<sending> sendings_;
    std::string last_target_; ///< Of the newest attempt, for the log.
    std::uint32_t attempts_ = 0;
    std::uint32_t reached_ = 0; ///< Ended attempts that a target got, or may have got.
    std::uint32_t crashes_ = 0;
    bool unknown_seen_ = false;                    ///< An attempt may have run without an answer.
    std::optional<response_message> error_answer_; ///< A target's, while another attempt is out.
    timer deadline_timer_;
    timer attempt_timer_;
};

} // namespace bamboohoist

#endif
