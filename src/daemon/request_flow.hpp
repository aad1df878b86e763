#ifndef BAMBOOHOIST_DAEMON_REQUEST_FLOW_HPP
#define BAMBOOHOIST_DAEMON_REQUEST_FLOW_HPP

#include "daemon/ingress.hpp"

#include <vector>

namespace bamboohoist {

/// One caller's request on its way: attempt after attempt until there is an answer.
class request_flow : public counted_local<request_flow>
{
public:
    request_flow(ingress& owner, exchange_ptr caller);

    void begin();

private:
    bool read_request();
    bool read_deadline();
    void attempt();
    /// Whether targets count whose path failed lately.
    enum class path_use
    {
        healthy,
        any,
    };

    std::vector<candidate> candidates(path_use paths) const;
    bool region_allowed();
    void send(const fleet_target& target);
    work_request make_work(const fleet_target& target) const;
    void on_result(call_result result);
    void on_answer(work_answer answer);
    void on_failure(const work_answer& failure);

    /// True when the request may be sent again; the retry is then paid for.
    bool take_retry(const work_answer& failure);
    /// An attempt took too long: the target stalls, or the path to its node is cut.
    void doubt_path();
    void relay(answer_message answer);
    void answer_error(error_kind kind, outcome result, std::string_view detail);
    void arm_attempt_timer();
    void on_attempt_timeout();
    void on_deadline();
    void abandon();
    void drop_attempt();

    ingress& owner_;
    exchange_ptr caller_;
    fleet_ptr fleet_; ///< The revision under which the request was routed.
    const service_spec* service_ = nullptr;
    std::uint32_t service_index_ = 0;
    std::string organisation_;
    double share_ = 1.0;
    std::string key_;
    std::string id_;
    bool idempotent_ = false;
    instant deadline_;
    header_list headers_;
    std::vector<std::string> tried_;
    std::uint32_t attempts_ = 0;
    std::uint32_t crashes_ = 0;
    const fleet_target* target_ = nullptr; ///< Of the attempt in hand; within `fleet_`.
    instant sent_;
    peer_link* link_ = nullptr;
    peer_link::call_id call_ = 0;
    timer deadline_timer_;
    timer attempt_timer_;
    bool unknown_seen_ = false; ///< An attempt may have run without an answer.
};

} // namespace bamboohoist

#endif
