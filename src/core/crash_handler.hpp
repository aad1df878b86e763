#ifndef BAMBOOHOIST_CORE_CRASH_HANDLER_HPP
#define BAMBOOHOIST_CORE_CRASH_HANDLER_HPP

namespace bamboohoist {

/// Makes a process that dies by a fault of its own write the signal and the return addresses to
/// standard error before it ends; `addr2line` turns them into lines of the source.
void install_crash_handler();

} // namespace bamboohoist

#endif
