#include "daemon/announce_api.hpp"

#include "loop/run_after.hpp"
#include "protocol/generated_responses.hpp"

namespace bamboohoist {

namespace {

constexpr std::size_t max_body_bytes = 16384;
/// Senders take an announcement for lost when there is no reply within a second.
constexpr duration hold_limit = std::chrono::milliseconds(800);

} // namespace

announce_api::announce_api(const control_context& context, target_registry& targets,
                           recovery& recovered)
    : context_(context), targets_(targets), recovery_(recovered),
      server_(context.loop_,
              http_server_options{.name_ = "announce",
                                  .address_ = context.settings_.announce_.address_,
                                  .port_ = context.settings_.announce_.port_,
                                  .max_body_bytes_ = max_body_bytes,
                                  // Unfinished requests of callers must not keep these out.
                                  .body_use_ = memory_use::transit},
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
    held_.clear();
    server_.stop();
}

std::uint16_t announce_api::port() const
{
    return server_.port();
}

void announce_api::on_recovered()
{
    const std::vector<held_announcement> held = std::move(held_);
    held_.clear();
    for (const held_announcement& announcement : held)
    {
        if (!announcement.item_->closed())
        {
            process(announcement.item_, announcement.announced_);
        }
    }
}

void announce_api::on_request(const exchange_ptr& item)
{
    auto announced = context_.deployment_.announcements().read(item->request());
    if (!announced)
    {
        context_.metrics_.add(counter::announcements_refused);
        log_failure("announcement", "refused: " + last_reason().text_);
        item->complete(make_refusal_response(last_reason()));
        return;
    }
    if (!recovery_.complete())
    {
        hold(item, std::move(*announced));
        return;
    }
    process(item, *announced);
}

void announce_api::hold(const exchange_ptr& item, announcement announced)
{
    context_.metrics_.add(counter::announcements_held);
    held_.push_back({item, std::move(announced)});
    // The sender announces itself again.
    run_after(context_.loop_, hold_limit, [item] {
        item->complete(make_refusal_response(
            {error_kind::not_ready, "this node doesn't know yet what was known before its start"}));
    });
}

void announce_api::process(const exchange_ptr& item, const announcement& announced)
{
    if (announced.deregistered_)
    {
        const ended_target ended = targets_.deregister(announced.target_);
        if (!ended.departed_.instance_.empty())
        {
            recovery_.record_end(ended, [this, item, announced](bool saved) {
                confirm_departure(item, announced, saved);
            });
            return;
        }
    }
    else
    {
        targets_.announce(announced.target_);
        if (announced.target_.leaving_ && !announced.target_.instance_.empty())
        {
            recovery_.record_departure(
                {announced.target_.instance_, announced.target_.started_ms_,
                 announced.target_.sequence_},
                [this, item, announced](bool saved) { confirm_departure(item, announced, saved); });
            return;
        }
    }
    confirm(item, announced);
}

void announce_api::confirm_departure(const exchange_ptr& item, const announcement& announced,
                                     bool saved)
{
    if (saved)
    {
        confirm(item, announced);
        return;
    }
    context_.metrics_.add(counter::departures_unsaved);
    log_failure("announcement", "the leaving of " + announced.target_.instance_ +
                                    " is in force, but not confirmed: neither the store nor a peer "
                                    "has noted it in time");
    item->complete(make_refusal_response(
        {error_kind::store_unavailable, "the leaving could not be noted in time"}));
}

void announce_api::confirm(const exchange_ptr& item, const announcement& announced)
{
    item->complete(context_.deployment_.announcements().write(
        announced, {targets_.announcement_lease(), targets_.is_stopped(announced.target_.id_)}));
}

} // namespace bamboohoist
