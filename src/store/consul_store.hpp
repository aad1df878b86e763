#ifndef BAMBOOHOIST_STORE_CONSUL_STORE_HPP
#define BAMBOOHOIST_STORE_CONSUL_STORE_HPP

#include "core/process_metrics.hpp"
#include "http/http_client.hpp"
#include "store/store_client.hpp"
#include "wire/endpoint.hpp"

namespace bamboohoist {

/// A store client that speaks Consul's published KV and session HTTP API.
class consul_store : public store_client
{
public:
    consul_store(event_loop& loop, const endpoint& server, process_metrics& metrics);

    void read(std::string_view key, callback on_reply) override;
    void list(std::string_view prefix, callback on_reply) override;
    void write(std::string_view key, std::string_view value, const store_condition& expected,
               callback on_reply) override;
    void watch(std::string_view key, std::uint64_t known_index, duration wait,
               callback on_reply) override;
    void remove(std::string_view key, callback on_reply) override;
    void remove_all(std::span<const std::string> keys, callback on_reply) override;
    void open_session(std::string_view name, duration time_to_live, callback on_reply) override;
    void renew_session(std::string_view session, callback on_reply) override;
    void write_lasting(std::string_view key, std::string_view value, callback on_reply) override;
    void write_leased(std::string_view key, std::string_view value, std::string_view session,
                      callback on_reply) override;

private:
    using reply_parser = store_reply (*)(const response_message&);

    void send(counter kind, std::string_view method, std::string target, std::string_view body,
              duration timeout, reply_parser parse_reply, callback on_reply);

    std::string server_;
    process_metrics& metrics_;
    http_client client_;
    /// The latest call got no reply in time, so the idle connections may be dead as well.
    bool connections_doubtful_ = false;
};

} // namespace bamboohoist

#endif
