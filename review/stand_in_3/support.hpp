#ifndef BAMBOOHOIST_REVIEW_SUPPORT_HPP
#define BAMBOOHOIST_REVIEW_SUPPORT_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using field_list = std::vector<std::pair<std::string, std::string>>;

/// An HTTP/1.1 message. `start_` is the request line or the status line.
struct http_message
{
    std::string start_;
    field_list fields_;
    std::string body_;

    std::string field(std::string_view name) const;
    bool has(std::string_view name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
    std::string text() const; ///< The message as bytes, with a Content-Length.
};

http_message make_response(int status, std::string body, field_list fields = {});
http_message make_request(std::string_view method, std::string_view target, field_list fields,
                          std::string body = "");

/// A blocking connection that reads whole messages.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& address, int timeout_ms = 20000);

    bool write(std::string_view bytes) const;
    /// Empty when the connection ended first. `end_` then tells how.
    std::optional<http_message> read_message(bool is_response, std::string_view method = "");
    /// Ends the connection in both directions.
    void close();
    bool closing() const
    {
        return closing_;
    }
    const std::string& end() const
    {
        return end_;
    }

private:
    bool fill();

    int fd_;
    bool closing_ = false;
    std::string buffer_;
    std::string end_;
};

/// A server on a free loopback port with one thread for each connection.
class http_service
{
public:
    using handler = std::function<void(connection&, const http_message&)>;

    explicit http_service(handler on_request, std::string ip = "127.0.0.1", int port = 0);
    ~http_service();
    std::string address() const;
    int port() const
    {
        return port_;
    }
    /// Ends all connections and refuses new ones.
    void close();

private:
    void accept_loop();

    handler on_request_;
    std::string ip_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::atomic<int> active_ = 0;
    std::thread thread_;
};

/// The users' metadata store: items, ranges, watches, conditional writes and leases.
class kv_store
{
public:
    kv_store();
    std::string address() const
    {
        return service_.address();
    }
    void put(const std::string& key, const std::string& value);
    std::size_t count(const std::string& prefix);
    /// All leases end, and their keys are removed.
    void end_leases();
    /// While it is down every call gets the status 503 and does nothing.
    void set_down(bool down)
    {
        down_ = down;
    }

private:
    struct item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };
    struct change
    {
        std::uint64_t revision_;
        std::string key_;
        std::optional<item> value_;
    };

    void handle(connection& peer, const http_message& request);
    http_message answer(const http_message& request);
    http_message watch(const std::map<std::string, std::string>& query);
    http_message transact(const std::string& body);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t next_lease_ = 1;
    std::set<std::uint64_t> leases_;
    std::atomic<bool> down_ = false;
    http_service service_;
};

/// Writes `record.txt`: one line for each thing that was sent, answered or run.
class record_file
{
public:
    explicit record_file(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point begin_;
};

/// One node: a process with the command of the deploy file.
class node
{
public:
    struct place
    {
        std::string name_;
        std::string zone_ = "z1";
        std::string region_ = "r1";
        std::string service_;
        std::string app_address_;
    };

    node(place where, std::string store, std::string folder);
    ~node();
    void start();
    void signal(int number) const;
    /// Waits for the end of the process; false on a time-out.
    bool wait_end(int timeout_ms);
    void kill_now();
    bool running();
    /// Rewrite the settings file, without a signal.
    void set_service(const std::string& service);
    void set_store(const std::string& address);
    bool wait_ready(int timeout_ms) const;
    std::string outbound() const;
    std::string control() const;
    std::string ready() const;
    std::string operators() const;
    pid_t pid() const
    {
        return pid_;
    }
    std::string log() const;

private:
    void write_settings() const;

    place where_;
    std::string store_;
    std::string folder_;
    std::vector<int> ports_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// A call on a new connection. Empty when there was no whole answer.
std::optional<http_message> call(const std::string& address, const http_message& request,
                                 int timeout_ms = 20000, std::string* end = nullptr);

/// Heartbeats of a target every 1.5 s.
struct target_state
{
    std::string id_;
    std::string service_;
    std::string address_;
    std::string zone_ = "z1";
    int slots_ = 8;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::string state_ = "ready";
};

http_message heartbeat(const target_state& target);

/// A folder that is removed with its contents.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    const std::string& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

int free_port();
std::int64_t wall_ms();
void sleep_ms(int duration_ms);
std::string env_or(const char* name, const char* fallback);

} // namespace review

#endif
