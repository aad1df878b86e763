#include "wire/stream_session.hpp"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bamboohoist;

namespace {

/// Notes what a session tells its owner.
class recording_listener : public session_listener
{
public:
    explicit recording_listener(event_loop& loop) : loop_(loop) {}

    void on_message(std::int32_t, stream_message message) override
    {
        bodies_.push_back(message.body_);
    }

    void on_reset(std::int32_t, bool) override
    {
        ++resets_;
    }

    void on_pong() override {}

    void on_closed() override
    {
        loop_.request_stop();
    }

    std::vector<std::string> bodies_;
    int resets_ = 0;

private:
    event_loop& loop_;
};

std::string frame(std::uint8_t type, std::uint8_t flags, std::uint8_t stream,
                  std::string_view payload)
{
    const std::array<char, 9> head{static_cast<char>(payload.size() >> 16U),
                                   static_cast<char>(payload.size() >> 8U),
                                   static_cast<char>(payload.size()),
                                   static_cast<char>(type),
                                   static_cast<char>(flags),
                                   0,
                                   0,
                                   0,
                                   static_cast<char>(stream)};
    return std::string(head.data(), head.size()) + std::string(payload);
}

constexpr std::uint8_t type_data = 0;
constexpr std::uint8_t type_headers = 1;
constexpr std::uint8_t type_settings = 4;
constexpr std::uint8_t flag_ack = 1;
constexpr std::uint8_t flag_end_stream = 1;
constexpr std::uint8_t flag_end_headers = 4;
/// The field `:status: 200` in HPACK.
constexpr std::string_view status_200 = "\x88";

/// What a session hears on its first stream from a peer that sends these frames and ends.
recording_listener hear(std::string_view frames)
{
    std::array<int, 2> fds{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds.data()) == 0);
    ::fcntl(fds[0], F_SETFL, O_NONBLOCK);
    process_metrics metrics;
    event_loop loop(metrics);
    recording_listener listener(loop);
    stream_session session(loop, fds[0], session_side::client, listener);
    stream_message request;
    request.fields_ = {
        {":method", "GET"}, {":scheme", "http"}, {":authority", "a"}, {":path", "/"}};
    REQUIRE(session.request(std::move(request)) == 1);
    std::thread peer([&] {
        std::array<char, 4096> buffer{};
        ::recv(fds[1], buffer.data(), buffer.size(), 0);
        const std::string bytes = frame(type_settings, 0, 0, "") + std::string(frames);
        ::send(fds[1], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::shutdown(fds[1], SHUT_WR);
        ::recv(fds[1], buffer.data(), buffer.size(), 0);
    });
    loop.run();
    ::shutdown(fds[0], SHUT_RDWR);
    peer.join();
    ::close(fds[1]);
    return listener;
}

/// What a session hears from a peer that answers and closes, when its owner writes to it before it
/// reads.
recording_listener hear_after_write(std::string_view frames)
{
    std::array<int, 2> fds{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds.data()) == 0);
    ::fcntl(fds[0], F_SETFL, O_NONBLOCK);
    process_metrics metrics;
    event_loop loop(metrics);
    recording_listener listener(loop);
    stream_session session(loop, fds[0], session_side::client, listener);
    const stream_message request{
        {{":method", "GET"}, {":scheme", "http"}, {":authority", "a"}, {":path", "/"}}, ""};
    REQUIRE(session.request(request) == 1);
    loop.post([&, bytes = frame(type_settings, 0, 0, "") + std::string(frames)] {
        std::array<char, 4096> buffer{};
        ::recv(fds[1], buffer.data(), buffer.size(), 0);
        ::send(fds[1], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::close(fds[1]);
        session.request(request);
    });
    loop.run();
    return listener;
}

} // namespace

TEST_CASE("a message counts only with its end of stream, however the connection ends")
{
    const std::string head = frame(type_headers, flag_end_headers, 1, status_200);
    CHECK(hear(head).bodies_.empty());
    CHECK(hear(head + frame(type_data, 0, 1, "abc")).bodies_.empty());
    const std::string whole = head + frame(type_data, flag_end_stream, 1, "abc");
    CHECK(hear(whole).bodies_ == std::vector<std::string>{"abc"});
    CHECK(hear(whole.substr(0, whole.size() - 1)).bodies_.empty());
}

TEST_CASE("frames after the end of a message or on another stream belong to no message")
{
    const std::string head = frame(type_headers, flag_end_headers, 1, status_200);
    const std::string whole = head + frame(type_data, flag_end_stream, 1, "abc");
    const std::string second = frame(type_data, flag_end_stream, 1, "def");
    CHECK(hear(whole + second).bodies_ == std::vector<std::string>{"abc"});
    CHECK(hear(frame(type_headers, flag_end_headers | flag_end_stream, 3, status_200))
              .bodies_.empty());
}

// An answer that had come before its connection failed was lost, and its caller got a 502.
TEST_CASE("a message that has come counts also when a write finds the end of its connection first")
{
    const std::string whole = frame(type_headers, flag_end_headers, 1, status_200) +
                              frame(type_data, flag_end_stream, 1, "abc");
    CHECK(hear_after_write(whole).bodies_ == std::vector<std::string>{"abc"});
}

// The bytes beyond the limit were left out, and the rest counted as the whole message.
TEST_CASE("a message that is too large is reset and not shortened")
{
    constexpr std::size_t frame_bytes = 16384;
    constexpr std::size_t limit_bytes = 12U << 20U;
    const std::string part = frame(type_data, 0, 1, std::string(frame_bytes, 'a'));
    // The window that the session offers holds once its settings are acknowledged.
    std::string frames = frame(type_settings, flag_ack, 0, "") +
                         frame(type_headers, flag_end_headers, 1, status_200);
    for (std::size_t sent = 0; sent <= limit_bytes; sent += frame_bytes)
    {
        frames += part;
    }
    const recording_listener heard = hear(frames + frame(type_data, flag_end_stream, 1, "end"));
    CHECK(heard.bodies_.empty());
    CHECK(heard.resets_ == 1);
}
