#include "http/exchange.hpp"

#include "http/http_server.hpp"

namespace bamboohoist {

exchange::exchange(http_server& owner, MHD_Connection* connection, memory_account& memory,
                   memory_use body_use)
    : owner_(&owner), connection_(connection), charge_(memory, body_use)
{
}

const request_message& exchange::request() const
{
    return request_;
}

void exchange::complete(response_message response)
{
    if (completed_ || closed_ || owner_ == nullptr)
    {
        return;
    }
    response_ = std::move(response);
    completed_ = true;
    on_abandoned_ = nullptr;
    owner_->resume(*this);
}

bool exchange::closed() const
{
    return closed_ || completed_ || owner_ == nullptr;
}

void exchange::on_abandoned(std::function<void()> callback)
{
    on_abandoned_ = std::move(callback);
}

response_message json_response(int status, std::string body)
{
    response_message response;
    response.status_ = status;
    response.headers_.push_back(header{"Content-Type", "application/json"});
    response.body_ = std::move(body);
    return response;
}

} // namespace bamboohoist
