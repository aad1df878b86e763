#ifndef BAMBOOHOIST_TESTING_PROCESS_HPP
#define BAMBOOHOIST_TESTING_PROCESS_HPP

#include "core/clock.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace bamboohoist::testing {

/// The folder of the built programs.
std::string build_folder();

/// A child process of a test. A thread reads its output continuously, so that tests can wait for
/// lines instead of fixed times. The destructor kills the process.
class process
{
public:
    /// Starts a program, whose path is relative to the build folder.
    process(std::string_view program, std::span<const std::string> arguments);
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Waits for the JSON line with the key `ready` and returns it. Throws on a time-out.
    nlohmann::json wait_ready();

    /// Waits until a line, earlier or new, contains the text. False on a time-out or when the
    /// output has ended without it.
    bool wait_line(std::string_view text, duration timeout);

    /// Waits for the end of the process and returns its exit status, or 128 + N when signal N ended
    /// it. Empty on a time-out.
    std::optional<int> wait_exit(duration timeout);

    void signal(int number) const;
    void kill();

    pid_t pid() const;
    std::string output() const;

private:
    void read_output();
    std::optional<std::string> find_line(std::string_view text, duration timeout);

    pid_t pid_ = -1;
    int output_fd_ = -1;
    mutable std::mutex mutex_; ///< Guards `lines_` and `ended_`.
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool ended_ = false;
    std::optional<int> status_;
    std::thread reader_;
};

/// CPU time, resident memory and open file descriptors of a process.
struct process_usage
{
    double cpu_s_ = 0.0;
    std::uint64_t resident_bytes_ = 0;
    std::uint64_t open_files_ = 0;
};

process_usage read_process_usage(pid_t pid);

} // namespace bamboohoist::testing

#endif
