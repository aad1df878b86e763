#include "core/crash_handler.hpp"

#include <array>
#include <csignal>
#include <cstring>
#include <execinfo.h>
#include <unistd.h>

namespace bamboohoist {

namespace {

constexpr std::size_t max_frames = 48;

void write_text(const char* text)
{
    [[maybe_unused]] const auto written = ::write(STDERR_FILENO, text, std::strlen(text));
}

/// Calls only functions that are safe in a signal handler.
void report_fatal_signal(int signal_number)
{
    write_text("bamboohoistd: terminated by ");
    write_text(signal_number == SIGABRT  ? "SIGABRT"
               : signal_number == SIGBUS ? "SIGBUS"
               : signal_number == SIGFPE ? "SIGFPE"
               : signal_number == SIGILL ? "SIGILL"
                                         : "SIGSEGV");
    write_text(", backtrace:\n");
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    // SA_RESETHAND has restored the default action, so raising the signal again ends the process.
    ::raise(signal_number);
}

} // namespace

void install_crash_handler()
{
    // The first call of `backtrace()` loads a library and allocates memory, which a signal handler
    // must not do.
    std::array<void*, 1> frame{};
    ::backtrace(frame.data(), 1);
    for (const int signal_number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
    {
        struct sigaction action
        {
        };
        action.sa_handler = &report_fatal_signal;
        action.sa_flags = static_cast<int>(SA_RESETHAND);
        ::sigaction(signal_number, &action, nullptr);
    }
}

} // namespace bamboohoist
