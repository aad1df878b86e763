/// Crowds of clients that hold much of a node's memory or many of its descriptors. The limits are
/// lowered in the settings, so that small crowds reach them. Only what doesn't depend on the
/// machine's speed is checked.

#include "harness/fleet.hpp"
#include "wire/endpoint.hpp"

#include <cerrno>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;
using json = nlohmann::json;

namespace {

constexpr std::size_t mib = 1U << 20U;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// The sanitizers keep freed memory, so the resident memory says nothing about the node.
constexpr bool measures_memory = false;
#else
constexpr bool measures_memory = true;
#endif
constexpr std::size_t legal_body_bytes = mib;
constexpr std::size_t memory_mb = 64;
constexpr std::size_t memory_bound_bytes = memory_mb * mib;
/// What a node may hold after a crowd has closed its connections.
constexpr std::size_t rest_bound_bytes = 40 * mib;
constexpr std::size_t descriptor_bound = 256;
constexpr std::size_t crowd_size = 120;
constexpr std::size_t idle_crowd_size = 300;
constexpr std::size_t peer_crowd_size = 60;
/// One of so many clients sends its request to the end.
constexpr std::size_t finishing_client = 4;
constexpr std::size_t small_chunk_bytes = 16;
constexpr std::size_t large_chunk_bytes = 65536;
/// One response of the largest size that callers are used to, and one that is larger than the send
/// buffer of a socket, so that part of it stays in the process.
constexpr std::size_t responses_bytes[] = {mib, 6 * mib};
constexpr duration answer_timeout = std::chrono::seconds(60);
constexpr duration crowd_timeout = std::chrono::seconds(45);
constexpr duration crowd_quiet_time = std::chrono::milliseconds(1500);

const region_map one_domain{{"lagos", {"ikeja"}}};
const region_map two_domains{{"lagos", {"ikeja", "lekki"}}};

json lowered_limits()
{
    return {{"memory_mb", memory_mb},
            {"max_descriptors", descriptor_bound},
            {"idle_timeout_s", 5},
            {"transfer_timeout_s", 20}};
}

/// A value of `/proc/PID/status` in bytes.
std::size_t status_bytes(pid_t pid, std::string_view key)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(key))
        {
            return std::stoull(line.substr(line.find(':') + 1)) * 1024U;
        }
    }
    return 0;
}

/// A node with lowered limits and one backend server.
struct limited_node
{
    limited_node()
    {
        fleet_.add_node("n1", "lagos", "ikeja", lowered_limits());
        fleet_.add_backend("ledger", "n1");
        fleet_.wait_until_converged(1, 1);
        fleet_.apply(make_manifest({"ledger"}, one_domain));
    }

    fleet fleet_;
};

/// Sends an ordinary request until it is answered by the target, or until the time is over.
bool is_answered(const std::string& callers, std::size_t body_bytes = 2000)
{
    const system_clock clock;
    const instant end = clock.now() + answer_timeout;
    while (clock.now() < end)
    {
        request_message request;
        request.method_ = "POST";
        request.target_ = "/ledger/ordinary";
        request.body_ = std::string(body_bytes, 'o');
        const auto response = http_call(callers, std::move(request), std::chrono::seconds(5));
        if (response && response->status_ == 200)
        {
            return response->body_.find(std::string(body_bytes, 'o')) != std::string::npos;
        }
        wait_for_duration(std::chrono::milliseconds(100));
    }
    return false;
}

/// What each client of a crowd sends. `finished_` ends the request, `unfinished_` stops just short
/// of its end.
struct crowd_request
{
    std::string finished_;
    std::string unfinished_;
};

/// Connections that are written to side by side and stay open. They read only what they are asked
/// to.
class client_crowd
{
public:
    client_crowd(const std::string& server, std::size_t size)
        : address_(*to_socket_address(*parse_endpoint(server)))
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            clients_.push_back(client{open_socket(), {}});
        }
    }

    ~client_crowd()
    {
        close();
    }

    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends in pieces of at most `piece_bytes` to one connection after the other, until all is
    /// sent or nothing more is accepted.
    void send(const crowd_request& request, std::size_t piece_bytes)
    {
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            clients_[i].left_ = i % finishing_client == 0 ? request.finished_ : request.unfinished_;
        }
        const system_clock clock;
        const instant end = clock.now() + crowd_timeout;
        instant progress = clock.now();
        while (clock.now() < end && clock.now() - progress < crowd_quiet_time && wait_writable())
        {
            for (client& item : clients_)
            {
                progress = send_piece(item, piece_bytes) ? clock.now() : progress;
            }
        }
        // The kernel accepts bytes that the node has not read yet, and nothing tells when it has.
        wait_for_duration(crowd_quiet_time);
    }

    /// Asks for a large response on one connection after the other, and waits until its first byte
    /// has come, which stays unread.
    void ask_for_responses()
    {
        const system_clock clock;
        const instant end = clock.now() + crowd_timeout;
        for (std::size_t i = 0; i < clients_.size() && clock.now() < end; ++i)
        {
            const int fd = clients_[i].fd_;
            const std::string request =
                "GET /ledger/crowd HTTP/1.1\r\nHost: a\r\nX-Padding: " +
                std::to_string(responses_bytes[i % std::size(responses_bytes)]) + "\r\n\r\n";
            ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
            pollfd ready{fd, POLLIN, 0};
            ::poll(&ready, 1, 2000);
        }
    }

    void close()
    {
        for (client& item : clients_)
        {
            ::close(item.fd_);
        }
        clients_.clear();
    }

private:
    struct client
    {
        int fd_;
        std::string_view left_;
    };

    int open_socket() const
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int window_bytes = 4096; // Small, so that unread answers stay in the node.
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
        ::fcntl(fd, F_SETFL, O_NONBLOCK);
        [[maybe_unused]] const int started =
            ::connect(fd, reinterpret_cast<const sockaddr*>(&address_), sizeof address_);
        pollfd ready{fd, POLLOUT, 0};
        ::poll(&ready, 1, 1000);
        return fd;
    }

    /// False when no client has anything left to send.
    bool wait_writable()
    {
        std::vector<pollfd> ready;
        for (const client& item : clients_)
        {
            if (!item.left_.empty())
            {
                ready.push_back(pollfd{item.fd_, POLLOUT, 0});
            }
        }
        return !ready.empty() && ::poll(ready.data(), ready.size(), 200) >= 0;
    }

    static bool send_piece(client& item, std::size_t piece_bytes)
    {
        if (item.left_.empty())
        {
            return false;
        }
        const auto sent = ::send(item.fd_, item.left_.data(),
                                 std::min(item.left_.size(), piece_bytes), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR)
        {
            item.left_ = {}; // The node has closed the connection.
        }
        if (sent <= 0)
        {
            return false;
        }
        item.left_.remove_prefix(static_cast<std::size_t>(sent));
        return true;
    }

    sockaddr_in address_;
    std::vector<client> clients_;
};

std::string head_of(std::string_view framing)
{
    return "POST /ledger/crowd HTTP/1.1\r\nHost: a\r\n" + std::string(framing) + "\r\n\r\n";
}

crowd_request with_length(std::size_t announced, std::size_t sent)
{
    const std::string head = head_of("Content-Length: " + std::to_string(announced));
    return {head + std::string(sent, 'b'), head + std::string(sent - 1, 'b')};
}

crowd_request with_chunks(std::size_t body_bytes, std::size_t chunk_bytes)
{
    std::ostringstream chunk;
    chunk << std::hex << chunk_bytes << "\r\n" << std::string(chunk_bytes, 'c') << "\r\n";
    std::string request = head_of("Transfer-Encoding: chunked");
    for (std::size_t i = 0; i < body_bytes / chunk_bytes; ++i)
    {
        request += chunk.str();
    }
    return {request + "0\r\n\r\n", request};
}

/// Checks a process while a crowd is connected and after it has closed its connections.
void check_node(fleet& fleet, std::string_view name, std::string_view ingress, client_crowd& crowd,
                std::size_t bound = memory_bound_bytes)
{
    const node_process& node = fleet.node(name);
    const pid_t pid = node.process_->pid();
    const auto open_files = read_process_usage(pid).open_files_;
    CHECK(is_answered(fleet.node(ingress).callers_));
    crowd.close();
    const system_clock clock;
    const instant end = clock.now() + answer_timeout;
    while (measures_memory && status_bytes(pid, "VmRSS") >= rest_bound_bytes && clock.now() < end)
    {
        wait_for_duration(std::chrono::milliseconds(100));
    }
    const auto peak = status_bytes(pid, "VmHWM");
    const auto resident = status_bytes(pid, "VmRSS");
    MESSAGE(name, ": peak ", peak / mib, " MiB, afterwards ", resident / mib, " MiB, ", open_files,
            " descriptors");
    CHECK(peak > 0);
    if (measures_memory)
    {
        CHECK(peak < bound);
        CHECK(resident < rest_bound_bytes);
    }
    CHECK(open_files < descriptor_bound);
    CHECK_FALSE(node.process_->wait_exit(duration::zero()));
}

void run_crowd(const crowd_request& request, std::size_t piece_bytes)
{
    limited_node fixture;
    client_crowd crowd(fixture.fleet_.node("n1").callers_, crowd_size);
    crowd.send(request, piece_bytes);
    check_node(fixture.fleet_, "n1", "n1", crowd);
}

} // namespace

// Guards against a process that ends because legal bodies, none of which is complete, fill up the
// memory of its VM.
TEST_CASE("many large bodies that stop short of their end leave a node within its memory")
{
    run_crowd(with_length(legal_body_bytes, legal_body_bytes), legal_body_bytes);
}

// Guards against bodies that cost more when they come in pieces.
TEST_CASE("many large bodies in pieces leave a node within its memory")
{
    run_crowd(with_length(legal_body_bytes, legal_body_bytes), 1400);
}

// Guards against bodies without an announced length that are not counted.
TEST_CASE("many bodies in large chunks leave a node within its memory")
{
    run_crowd(with_chunks(legal_body_bytes, large_chunk_bytes), large_chunk_bytes);
}

// Guards against a cost of each chunk besides that of its bytes.
TEST_CASE("many bodies in very small chunks leave a node within its memory")
{
    run_crowd(with_chunks(legal_body_bytes, small_chunk_bytes), large_chunk_bytes);
}

// Guards against bodies that can't be accepted and are held nevertheless.
TEST_CASE("many bodies announced far over the limit leave a node within its memory")
{
    run_crowd(with_length(64 * legal_body_bytes, 4 * legal_body_bytes), large_chunk_bytes);
}

// Guards against bodies without an announced length that are held after they have passed the limit.
TEST_CASE("many bodies sent far over the limit leave a node within its memory")
{
    run_crowd(with_chunks(4 * legal_body_bytes, large_chunk_bytes), large_chunk_bytes);
}

// Guards against responses that fill up the memory because their callers don't read them.
TEST_CASE("many slow readers of large responses leave a node within its memory")
{
    limited_node fixture;
    client_crowd crowd(fixture.fleet_.node("n1").callers_, crowd_size);
    crowd.ask_for_responses();
    check_node(fixture.fleet_, "n1", "n1", crowd);
}

// Guards against a process without a descriptor for its peers and targets.
TEST_CASE("many idle connections leave a node within its descriptors")
{
    limited_node fixture;
    client_crowd crowd(fixture.fleet_.node("n1").callers_, idle_crowd_size);
    check_node(fixture.fleet_, "n1", "n1", crowd);
}

// Guards against a guard that an ingress with more memory fills up with bodies.
TEST_CASE("many large bodies from a peer leave a guard within its memory")
{
    fleet fleet;
    fleet.add_node("n1", "lagos", "ikeja", {{"memory_mb", 512}});
    fleet.add_node("n2", "lagos", "lekki", lowered_limits());
    fleet.add_backend("ledger", "n2", peer_crowd_size);
    fleet.wait_until_converged(2, 1);
    fleet.apply(make_manifest({"ledger"}, two_domains));
    const std::string target = fleet.backends().front().target_;
    fleet.set_backend_fault(target, {{"service_ms", 1500.0}});
    client_crowd crowd(fleet.node("n1").callers_, peer_crowd_size);
    crowd_request request = with_length(legal_body_bytes, legal_body_bytes);
    request.unfinished_ = request.finished_;
    crowd.send(request, legal_body_bytes);
    fleet.set_backend_fault(target, {{"service_ms", 2}});
    check_node(fleet, "n2", "n1", crowd);
    CHECK_FALSE(fleet.node("n1").process_->wait_exit(duration::zero()));
}

// Guards against a limit that refuses a legal request although nothing else uses the memory.
TEST_CASE("a single legal body of the largest size is served within a small memory")
{
    for (const std::size_t megabytes : {std::size_t{160}, memory_mb})
    {
        fleet fleet;
        fleet.add_node("n1", "lagos", "ikeja", {{"memory_mb", megabytes}});
        fleet.add_backend("ledger", "n1");
        fleet.wait_until_converged(1, 1);
        fleet.apply(make_manifest({"ledger"}, one_domain));
        request_message request;
        request.method_ = "POST";
        request.target_ = "/ledger/single";
        request.body_ = std::string(legal_body_bytes, 'o');
        const auto response = http_call(fleet.node("n1").callers_, request);
        REQUIRE(response);
        CHECK(response->status_ == 200);
        CHECK(response->body_.find(request.body_) != std::string::npos);
    }
}
