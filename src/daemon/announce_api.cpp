#include "daemon/announce_api.hpp"

#include "protocol/generated_responses.hpp"

namespace bamboohoist {

namespace {

constexpr std::size_t max_body_bytes = 16384;

} // namespace

announce_api::announce_api(const control_context& context, target_registry& targets)
    : context_(context), targets_(targets),
      server_(context.loop_,
              http_server_options{.name_ = "announce",
                                  .address_ = context.settings_.announce_.address_,
                                  .port_ = context.settings_.announce_.port_,
                                  .max_body_bytes_ = max_body_bytes},
              [this](const exchange_ptr& item) { on_request(item); })
{
}

std::string_view announce_api::name() const
{
    return "announce-api";
}

bool announce_api::start()
{
    return server_.start();
}

void announce_api::stop()
{
    server_.stop();
}

std::uint16_t announce_api::port() const
{
    return server_.port();
}

void announce_api::on_request(const exchange_ptr& item)
{
    item->complete(handle(item->request()));
}

response_message announce_api::handle(const request_message& request)
{
    const announcement_protocol& protocol = context_.deployment_.announcements();
    const auto announced = protocol.read(request);
    if (!announced)
    {
        context_.metrics_.add(counter::announcements_refused);
        log_failure("announcement", "refused: " + last_reason().text_);
        return make_refusal_response(last_reason());
    }
    if (announced->deregistered_)
    {
        targets_.deregister(announced->target_);
    }
    else
    {
        targets_.announce(announced->target_);
    }
    return protocol.write(
        *announced, {targets_.announcement_lease(), targets_.is_stopped(announced->target_.id_)});
}

} // namespace bamboohoist
