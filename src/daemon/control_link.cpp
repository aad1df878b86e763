#include "daemon/control_link.hpp"

#include "loop/run_after.hpp"

namespace bamboohoist {

namespace {

constexpr duration call_timeout = std::chrono::seconds(3);
constexpr duration idle_timeout = std::chrono::seconds(30);
constexpr duration idle_check_period = std::chrono::seconds(5);

stream_message make_request(std::string_view path, std::string body)
{
    stream_message message;
    message.fields_ = {{":method", "POST"},
                       {":scheme", "http"},
                       {":authority", "control"},
                       {":path", std::string(path)}};
    message.body_ = std::move(body);
    return message;
}

stream_message make_reply(std::optional<std::string> body)
{
    stream_message message;
    message.fields_ = {{":status", body ? "200" : "404"}};
    message.body_ = std::move(body).value_or("");
    return message;
}

std::optional<std::string> take_body(call_result& result)
{
    if (!result.response_ || find_header(result.response_->fields_, ":status") != "200")
    {
        return std::nullopt;
    }
    return std::move(result.response_->body_);
}

} // namespace

control_link::control_link(const control_context& context)
    : context_(context), server_(context.loop_, "control-server", context.settings_.gossip_,
                                 [this](const stream_call_ptr& call) { on_call(call); }),
      idle_timer_(context.loop_, [this] { close_idle_links(); })
{
}

std::string_view control_link::name() const
{
    return "control-link";
}

bool control_link::start()
{
    idle_timer_.repeat(idle_check_period);
    return server_.start();
}

void control_link::stop()
{
    idle_timer_.cancel();
    server_.stop();
    links_.clear();
}

void control_link::add_responder(std::string_view path, responder respond)
{
    add_late_responder(
        path, [respond = std::move(respond)](std::string_view body, const callback& reply) {
            reply(respond(body));
        });
}

void control_link::add_late_responder(std::string_view path, late_responder respond)
{
    responders_.emplace(path, std::move(respond));
}

void control_link::call(const endpoint& remote, std::string_view path, std::string body,
                        callback on_reply)
{
    cached_link& open = links_[remote];
    if (!open.link_)
    {
        open.link_ = std::make_unique<peer_link>(context_.loop_, remote);
    }
    open.last_used_ = context_.clock_.now();
    context_.metrics_.add(counter::control_bytes_sent, body.size());
    // Both the reply and the time-out try to run the callback; the first one clears it.
    struct pending : ref_counted_local<pending>
    {
        callback on_reply_;
    };
    const ref_ptr<pending> state(new pending);
    state->on_reply_ = std::move(on_reply);
    const auto complete = [state](std::optional<std::string> reply) {
        const callback reply_callback = std::move(state->on_reply_);
        state->on_reply_ = nullptr;
        if (reply_callback)
        {
            reply_callback(std::move(reply));
        }
    };
    const auto id =
        open.link_->call(make_request(path, std::move(body)), [this, complete](call_result result) {
            auto reply = take_body(result);
            const std::size_t size = reply ? reply->size() : 0;
            context_.metrics_.add(counter::control_bytes_received, size);
            complete(std::move(reply));
        });
    run_after(context_.loop_, call_timeout,
              [this, remote, id, complete, state, alive = lifetime_.watch()] {
                  if (!alive)
                  {
                      complete(std::nullopt);
                      return;
                  }
                  const auto found = links_.find(remote);
                  if (state->on_reply_ && found != links_.end())
                  {
                      found->second.link_->cancel(id);
                  }
                  complete(std::nullopt);
              });
}

std::uint16_t control_link::port() const
{
    return server_.port();
}

void control_link::on_call(const stream_call_ptr& call)
{
    const auto path = find_header(call->message().fields_, ":path");
    const auto found = responders_.find(path.value_or(""));
    if (found == responders_.end())
    {
        call->respond(make_reply(std::nullopt));
        return;
    }
    context_.metrics_.add(counter::control_bytes_received, call->message().body_.size());
    found->second(call->message().body_,
                  [call, &metrics = context_.metrics_](std::optional<std::string> reply) {
                      metrics.add(counter::control_bytes_sent, reply ? reply->size() : 0);
                      call->respond(make_reply(std::move(reply)));
                  });
}

void control_link::close_idle_links()
{
    const instant now = context_.clock_.now();
    std::erase_if(links_, [now](const auto& pair) {
        return pair.second.link_->in_flight() == 0 && now - pair.second.last_used_ > idle_timeout;
    });
}

} // namespace bamboohoist
