#include "protocol/default_announcement_protocol.hpp"

#include "config/object_reader.hpp"
#include "wire/endpoint.hpp"

namespace bamboohoist {

namespace {

void read_target(object_reader& reader, local_target& target)
{
    double load = 0.0;
    reader.read_required("service", target.service_);
    reader.read_required("address", target.address_);
    reader.read("slots", target.slots_, 1);
    reader.read("incarnation", target.incarnation_);
    reader.read("leaving", target.leaving_);
    // Accepted but not used: the guard counts the requests in flight itself.
    reader.read("load", load, 0.0, 1e9);
    if (!target.address_.empty() && !parse_endpoint(target.address_))
    {
        reader.report_error("address", std::string(last_reason().text_));
    }
}

} // namespace

std::optional<announcement>
default_announcement_protocol::read(const request_message& request) const
{
    if (path_without_query(request.target_) != "/v1/targets")
    {
        return fail(error_kind::not_found,
                    "announcements are accepted only on the path /v1/targets");
    }
    auto target = parse_object<local_target>(request.body_, error_kind::bad_request, &read_target);
    if (!target)
    {
        return std::nullopt;
    }
    target->id_ = target_id(target->service_, target->address_);
    return announcement{std::move(*target), request.method_ == "DELETE"};
}

response_message default_announcement_protocol::write(const announcement& received,
                                                      const announcement_reply& reply) const
{
    const nlohmann::json body{{"target", received.target_.id_},
                              {"lease_ms", reply.lease_ / std::chrono::milliseconds(1)},
                              {"stopped", reply.stopped_}};
    response_message response;
    response.status_ = 200;
    response.headers_.push_back(header{"Content-Type", "application/json"});
    response.body_ = body.dump();
    return response;
}

} // namespace bamboohoist
