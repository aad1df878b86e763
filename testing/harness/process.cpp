#include "harness/process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bamboohoist::testing {

namespace {

constexpr duration ready_timeout = std::chrono::seconds(15);
constexpr int exit_not_started = 127;

/// Replaces a forked child by the program. The kernel kills it when the thread that forked it ends,
/// so that a test that crashes leaves no process behind. Makes only calls that are safe after
/// fork().
[[noreturn]] void exec_program(std::span<char* const> words, int output_fd)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output_fd, STDOUT_FILENO);
    ::dup2(output_fd, STDERR_FILENO);
    ::execv(words.front(), words.data());
    ::_exit(exit_not_started);
}

} // namespace

std::string build_folder()
{
    const char* folder = std::getenv("BAMBOOHOIST_BUILD");
    return folder == nullptr ? BAMBOOHOIST_BUILD_FOLDER : folder;
}

process::process(std::string_view program, std::span<const std::string> arguments)
{
    int pipe_fds[2];
    if (::pipe2(pipe_fds, O_CLOEXEC) != 0)
    {
        throw std::runtime_error("cannot create a pipe for the output of a process");
    }
    const std::string path = build_folder() + "/" + std::string(program);
    std::vector<char*> words{const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments)
    {
        words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        exec_program(words, pipe_fds[1]);
    }
    ::close(pipe_fds[1]);
    if (pid_ < 0)
    {
        ::close(pipe_fds[0]);
        throw std::runtime_error("cannot start " + path);
    }
    output_fd_ = pipe_fds[0];
    reader_ = std::thread([this] { read_output(); });
}

process::~process()
{
    kill();
    reader_.join();
    ::close(output_fd_);
}

nlohmann::json process::wait_ready()
{
    const auto line = find_line("{\"ready\"", ready_timeout);
    if (!line)
    {
        throw std::runtime_error("the process printed no ready line in time; its output: " +
                                 output());
    }
    return nlohmann::json::parse(*line);
}

bool process::wait_line(std::string_view text, duration timeout)
{
    return find_line(text, timeout).has_value();
}

std::optional<int> process::wait_exit(duration timeout)
{
    if (status_)
    {
        return status_;
    }
    {
        // The output is closed when the process ends.
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, timeout, [this] { return ended_; }))
        {
            return std::nullopt;
        }
    }
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return status_;
}

void process::signal(int number) const
{
    if (!status_)
    {
        ::kill(pid_, number);
    }
}

void process::kill()
{
    if (!status_)
    {
        ::kill(pid_, SIGKILL);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        status_ = 128 + SIGKILL;
    }
}

pid_t process::pid() const
{
    return pid_;
}

std::string process::output() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const std::string& line : lines_)
    {
        text += line + "\n";
    }
    return text;
}

void process::read_output()
{
    std::string partial;
    char buffer[4096];
    for (;;)
    {
        const auto received = ::read(output_fd_, buffer, sizeof buffer);
        if (received <= 0)
        {
            break;
        }
        const std::lock_guard lock(mutex_);
        partial.append(buffer, static_cast<std::size_t>(received));
        std::size_t end = 0;
        while ((end = partial.find('\n')) != std::string::npos)
        {
            lines_.push_back(partial.substr(0, end));
            partial.erase(0, end + 1);
        }
        changed_.notify_all();
    }
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
}

std::optional<std::string> process::find_line(std::string_view text, duration timeout)
{
    std::unique_lock lock(mutex_);
    std::size_t examined = 0;
    std::optional<std::string> found;
    changed_.wait_for(lock, timeout, [&] {
        for (; examined < lines_.size() && !found; ++examined)
        {
            if (lines_[examined].find(text) != std::string::npos)
            {
                found = lines_[examined];
            }
        }
        return found.has_value() || ended_;
    });
    return found;
}

process_usage read_process_usage(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream stat(folder + "/stat");
    const std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> parts((std::istream_iterator<std::string>(fields)), {});
    process_usage usage;
    if (parts.size() < 22)
    {
        return usage;
    }
    // Fields 14 and 15 are user and system time, field 24 the resident pages.
    const double ticks = std::stod(parts[11]) + std::stod(parts[12]);
    usage.cpu_s_ = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    usage.resident_bytes_ =
        std::stoull(parts[21]) * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    const std::filesystem::directory_iterator files(folder + "/fd");
    usage.open_files_ = static_cast<std::uint64_t>(
        std::distance(begin(files), std::filesystem::directory_iterator{}));
    return usage;
}

} // namespace bamboohoist::testing
