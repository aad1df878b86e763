#ifndef BAMBOOHOIST_DAEMON_QUARANTINE_RELEASER_HPP
#define BAMBOOHOIST_DAEMON_QUARANTINE_RELEASER_HPP

#include "daemon/control_link.hpp"
#include "daemon/membership.hpp"

#include <functional>
#include <string>
#include <vector>

namespace bamboohoist {

/// Which nodes received an operator's release of a quarantined request.
struct release_result
{
    std::size_t nodes_ = 0;                ///< Number of nodes that released it.
    std::vector<std::string> unreachable_; ///< Nodes where it is still quarantined.
};

/// Where an operator released a quarantined request.
enum class release_origin
{
    here,
    at_another_node,
};

/// Sends an operator's release of a quarantined request to the guards of all nodes.
class quarantine_releaser
{
public:
    using callback = std::function<void(const release_result&)>;
    using local_release = std::function<void(std::uint64_t fingerprint, release_origin)>;

    quarantine_releaser(const control_context& context, control_link& link, membership& members,
                        local_release release_locally);

    /// Releases the request on all nodes. The callback runs once all of them have replied or timed
    /// out.
    void release(std::uint64_t fingerprint, const day_note& note, callback on_end);

private:
    struct round;

    std::optional<std::string> handle_call(std::string_view body);

    const control_context& context_;
    control_link& link_;
    membership& members_;
    local_release release_locally_;
};

} // namespace bamboohoist

#endif
