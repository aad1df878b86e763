#ifndef BAMBOOHOIST_PROTOCOL_DEPLOYMENT_HPP
#define BAMBOOHOIST_PROTOCOL_DEPLOYMENT_HPP

#include "config/settings.hpp"
#include "core/process_metrics.hpp"
#include "loop/event_loop.hpp"
#include "protocol/announcement_protocol.hpp"
#include "protocol/caller_protocol.hpp"
#include "protocol/target_protocol.hpp"
#include "store/store_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohoist {

/// Everything that differs between the environments in which the proxy runs: the format of the
/// settings, the store, and the protocols of callers, targets and announcements. Immutable and
/// shared by all threads.
class deployment
{
public:
    virtual ~deployment() = default;

    /// Parses and checks the text of the settings file. Empty with `bad_settings`.
    virtual std::optional<settings> read_settings(std::string_view text) const = 0;

    /// Translates the text of a configuration in the format of this environment to the text of a
    /// manifest, for checks before it is sent. Empty with `bad_manifest`.
    virtual std::optional<std::string> translate_configuration(std::string_view text) const = 0;

    virtual std::unique_ptr<store_client>
    open_store(event_loop& loop, const settings& node_settings, process_metrics& metrics) const = 0;

    virtual const caller_protocol& callers() const = 0;
    virtual const target_protocol& targets() const = 0;
    virtual const announcement_protocol& announcements() const = 0;
};

/// The default protocols with a store that speaks Consul's API.
const deployment& default_deployment();

} // namespace bamboohoist

#endif
