#include "protocol/deployment.hpp"
#include "protocol/own_announcements.hpp"
#include "protocol/own_callers.hpp"
#include "protocol/own_targets.hpp"
#include "store/consul_store.hpp"

namespace bamboohoist {

namespace {

class own_interface : public deployment
{
public:
    std::optional<settings> read_settings(std::string_view text) const override
    {
        return parse_settings(text);
    }

    std::unique_ptr<store_client> open_store(event_loop& loop, const settings& own,
                                             counters& metrics) const override
    {
        return std::make_unique<consul_store>(loop, own.store_, metrics);
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
    own_callers callers_;
    own_targets targets_;
    own_announcements announcements_;
};

} // namespace

const deployment& own_deployment()
{
    static const own_interface instance;
    return instance;
}

} // namespace bamboohoist
