#ifndef BAMBOOHOIST_CORE_CRASH_HANDLER_HPP
#define BAMBOOHOIST_CORE_CRASH_HANDLER_HPP

namespace bamboohoist {

/// Installs handlers for fatal signals such as SIGSEGV. They write the name of the signal and a
/// backtrace to standard error before the process ends; `addr2line` maps the addresses to source
/// lines.
void install_crash_handler();

} // namespace bamboohoist

#endif
