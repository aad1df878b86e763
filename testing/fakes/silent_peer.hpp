#ifndef BAMBOOHOIST_TESTING_SILENT_PEER_HPP
#define BAMBOOHOIST_TESTING_SILENT_PEER_HPP

#include "wire/endpoint.hpp"
#include "wire/gossip_codec.hpp"

#include <arpa/inet.h>
#include <future>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bamboohoist::testing {

/// A node whose datagrams arrive and say that it knows a newer revision, but whose connections
/// carry nothing: they are established and never read.
class silent_peer
{
public:
    explicit silent_peer(const endpoint& node)
        : node_(*to_socket_address(node)), listener_(::socket(AF_INET, SOCK_STREAM, 0)),
          datagrams_(::socket(AF_INET, SOCK_DGRAM, 0))
    {
        sockaddr_in address = *to_socket_address(endpoint{"127.0.0.1", 0});
        const int bound =
            ::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        if (bound != 0 || ::listen(listener_, backlog) != 0)
        {
            throw std::runtime_error("silent_peer cannot listen on 127.0.0.1");
        }
        port_ = bound_port(listener_);
        thread_ = std::thread([this] { announce(); });
    }

    ~silent_peer()
    {
        stop_.set_value();
        thread_.join();
        ::close(datagrams_);
        ::close(listener_);
    }

    silent_peer(const silent_peer&) = delete;
    silent_peer& operator=(const silent_peer&) = delete;

private:
    static constexpr int backlog = 64;
    static constexpr duration period = std::chrono::milliseconds(5);
    static constexpr std::uint64_t announced_revision = 1'000'000;

    gossip_message make_message() const
    {
        const std::string address = "127.0.0.1:" + std::to_string(port_);
        member_record record;
        record.node_ = "sidecar-z9-1";
        record.region_ = "r1";
        record.domain_ = "z1";
        record.incarnation_ = 1;
        record.version_ = 1;
        record.gossip_address_ = address;
        record.guard_address_ = address;
        gossip_message message;
        message.kind_ = gossip_kind::update;
        message.from_ = record.node_;
        message.domain_ = record.domain_;
        message.incarnation_ = record.incarnation_;
        message.revision_ = announced_revision;
        message.accepted_ = true;
        message.records_.push_back(std::move(record));
        return message;
    }

    void announce()
    {
        const std::string bytes = encode_gossip(make_message());
        const auto stopped = stop_.get_future();
        while (stopped.wait_for(period) == std::future_status::timeout)
        {
            ::sendto(datagrams_, bytes.data(), bytes.size(), 0,
                     reinterpret_cast<const sockaddr*>(&node_), sizeof node_);
        }
    }

    sockaddr_in node_;
    int listener_;
    int datagrams_;
    std::uint16_t port_ = 0;
    std::promise<void> stop_;
    std::thread thread_;
};

} // namespace bamboohoist::testing

#endif
