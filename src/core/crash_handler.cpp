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

/// Only calls that are safe in a signal handler.
void report(int number)
{
    write_text("bamboohoistd: died of ");
    write_text(number == SIGABRT  ? "SIGABRT"
               : number == SIGBUS ? "SIGBUS"
               : number == SIGFPE ? "SIGFPE"
               : number == SIGILL ? "SIGILL"
                                  : "SIGSEGV");
    write_text(" at\n");
    std::array<void*, max_frames> frames{};
    const int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
    ::backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    // The default action, which a reset handler leaves to the second signal, ends the process.
    ::raise(number);
}

} // namespace

void install_crash_handler()
{
    // Loads what `backtrace()` needs while memory may still be allocated.
    std::array<void*, 1> frame{};
    ::backtrace(frame.data(), 1);
    for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
    {
        struct sigaction action
        {
        };
        action.sa_handler = &report;
        action.sa_flags = static_cast<int>(SA_RESETHAND);
        ::sigaction(number, &action, nullptr);
    }
}

} // namespace bamboohoist
