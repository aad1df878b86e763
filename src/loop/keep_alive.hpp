#ifndef BAMBOOHOIST_LOOP_KEEP_ALIVE_HPP
#define BAMBOOHOIST_LOOP_KEEP_ALIVE_HPP

namespace bamboohoist {

/// Makes the kernel probe a TCP connection on which neither side sends, and close it when it gets
/// no answer for three seconds. Without it a connection can be dead for good and look idle. Sent
/// bytes that are not acknowledged have no limit here: a backend server may read a long body late.
void enable_keep_alive(int fd);

} // namespace bamboohoist

#endif
