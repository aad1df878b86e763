#include "daemon/ready_api.hpp"

#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

constexpr int status_ready = 200;
constexpr int status_not_ready = 503;

endpoint address_of(const control_context& context)
{
    return context.settings_.ready_.value_or(endpoint{"127.0.0.1", 0});
}

} // namespace

ready_api::ready_api(const control_context& context)
    : context_(context), server_(context.loop_,
                                 http_server_options{.name_ = "readiness",
                                                     .address_ = address_of(context).address_,
                                                     .port_ = address_of(context).port_},
                                 [this](const exchange_ptr& item) { on_request(item); })
{
}

std::string_view ready_api::name() const
{
    return "ready-api";
}

bool ready_api::start()
{
    return server_.start();
}

void ready_api::stop()
{
    server_.stop();
}

std::uint16_t ready_api::port() const
{
    return server_.port();
}

void ready_api::set_ready()
{
    if (!ready_ && !leaving_)
    {
        set_state(true, "a configuration is in force");
    }
}

void ready_api::leave()
{
    if (!leaving_)
    {
        leaving_ = true;
        set_state(false, "the node is leaving");
    }
}

void ready_api::set_state(bool ready, std::string_view why)
{
    ready_ = ready;
    why_ = std::string(why);
    event entry;
    entry.subject_ = context_.settings_.node_;
    entry.what_ = ready ? "ready for callers" : "no longer ready for callers";
    entry.rule_ = "readiness: " + why_;
    context_.record(std::move(entry));
}

void ready_api::on_request(const exchange_ptr& item) const
{
    const nlohmann::json body{{"ready", ready_}, {"why", why_}};
    item->complete(json_response(ready_ ? status_ready : status_not_ready, body.dump()));
}

} // namespace bamboohoist
