#include "daemon/announce_api.hpp"

#include "config/object_reader.hpp"
#include "wire/endpoint.hpp"

namespace bamboohoist {

namespace {

constexpr std::size_t max_body_bytes = 16384;

std::optional<local_target> parse_announcement(std::string_view text)
{
    const auto read = [](object_reader& reader, local_target& target) {
        double load = 0.0;
        reader.require("service", target.service_);
        reader.require("address", target.address_);
        reader.read("slots", target.slots_, 1);
        reader.read("incarnation", target.incarnation_);
        reader.read("leaving", target.leaving_);
        // Accepted and not believed: the guard counts by itself what is in hand.
        reader.read("load", load, 0.0, 1e9);
        if (!target.address_.empty() && !parse_endpoint(target.address_))
        {
            reader.refuse("address", std::string(last_reason().text_));
        }
    };
    auto target = parse_object<local_target>(text, error_kind::bad_request, read);
    if (target)
    {
        target->id_ = target->service_ + "@" + target->address_;
    }
    return target;
}

answer_message error_reply(const reason& why)
{
    const nlohmann::json body{{"error", answer_for(why.kind_).name_}, {"detail", why.text_}};
    return json_answer(answer_for(why.kind_).status_, body.dump());
}

} // namespace

announce_api::announce_api(const control_context& context, target_registry& targets)
    : targets_(targets), front_(context.loop_,
                                front_end_options{.name_ = "announce",
                                                  .address_ = context.settings_.announce_.address_,
                                                  .port_ = context.settings_.announce_.port_,
                                                  .max_body_ = max_body_bytes},
                                [this](const exchange_ptr& item) { on_request(item); })
{
}

std::string_view announce_api::name() const
{
    return "announce-api";
}

bool announce_api::start()
{
    return front_.start();
}

void announce_api::stop()
{
    front_.stop();
}

std::uint16_t announce_api::port() const
{
    return front_.port();
}

void announce_api::on_request(const exchange_ptr& item)
{
    item->complete(handle(item->request()));
}

answer_message announce_api::handle(const request_message& request)
{
    if (path_of(request.target_) != "/v1/targets")
    {
        return error_reply({error_kind::not_found, "the path is /v1/targets"});
    }
    const auto target = parse_announcement(request.body_);
    if (!target)
    {
        return error_reply(last_reason());
    }
    if (request.method_ == "DELETE")
    {
        targets_.withdraw(target->id_, "announced its end");
    }
    else
    {
        targets_.announce(*target);
    }
    const nlohmann::json body{{"target", target->id_},
                              {"lease_ms", announcement_lease / std::chrono::milliseconds(1)},
                              {"stopped", targets_.stopped(target->id_)}};
    return json_answer(200, body.dump());
}

} // namespace bamboohoist
