#ifndef BAMBOOHOIST_DAEMON_GUARD_HPP
#define BAMBOOHOIST_DAEMON_GUARD_HPP

#include "core/hash.hpp"
#include "daemon/traffic_context.hpp"
#include "http/http_client.hpp"
#include "policy/admission.hpp"
#include "policy/fleet.hpp"
#include "policy/local_target.hpp"
#include "policy/work.hpp"
#include "wire/stream_server.hpp"

#include <memory>
#include <span>
#include <string>
#include <unordered_map>

namespace bamboohoist {

class guard_job;
class guarded_target;

/// Stands in front of this VM's targets. Nothing reaches a target but through it, so it alone
/// knows what ran and what did not.
class guard : public child
{
public:
    explicit guard(const traffic_context& context);
    ~guard() override;

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    void adopt(fleet_ptr fleet);
    void set_targets(std::span<const local_target> targets);

    std::uint16_t port() const;

    /// Requests received and not yet answered.
    std::size_t in_flight() const;

private:
    friend class guard_job;
    friend class guarded_target;

    void on_call(const stream_call_ptr& call);
    guarded_target* find(std::string_view target);
    void refuse(const stream_call_ptr& call, error_kind kind, std::string_view detail);

    const traffic_context& context_;
    stream_server server_;
    http_client client_;
    fleet_ptr fleet_;
    std::unordered_map<std::string, std::unique_ptr<guarded_target>, view_hash, std::equal_to<>>
        targets_;
    std::uint64_t next_ticket_ = 1;
    std::size_t jobs_ = 0;
};

} // namespace bamboohoist

#endif
