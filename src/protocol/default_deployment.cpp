#include "protocol/default_announcement_protocol.hpp"
#include "protocol/default_caller_protocol.hpp"
#include "protocol/default_target_protocol.hpp"
#include "protocol/deployment.hpp"
#include "store/consul_store.hpp"

namespace bamboohoist {

namespace {

class consul_deployment : public deployment
{
public:
    std::optional<settings> read_settings(std::string_view text) const override
    {
        return parse_settings(text);
    }

    std::optional<std::string> translate_configuration(std::string_view text) const override
    {
        return std::string(text);
    }

    std::unique_ptr<store_client> open_store(event_loop& loop, const settings& node_settings,
                                             process_metrics& metrics) const override
    {
        return std::make_unique<consul_store>(loop, node_settings.store_, metrics);
    }

    const caller_protocol& callers() const override
    {
        return callers_;
    }

    const target_protocol& targets() const override
    {
        return targets_;
    }

    const announcement_protocol& announcements() const override
    {
        return announcements_;
    }

private:
    default_caller_protocol callers_;
    default_target_protocol targets_;
    default_announcement_protocol announcements_;
};

} // namespace

const deployment& default_deployment()
{
    static const consul_deployment instance;
    return instance;
}

} // namespace bamboohoist
