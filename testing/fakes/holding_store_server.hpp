#ifndef BAMBOOHOIST_TESTING_HOLDING_STORE_SERVER_HPP
#define BAMBOOHOIST_TESTING_HOLDING_STORE_SERVER_HPP

#include "http/http_server.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// A server of the platform's key-value API that answers ranges at once, with no items, and holds
/// every other call until the test releases it. Runs on the event loop of the client under test.
class holding_store_server
{
public:
    explicit holding_store_server(event_loop& loop)
        : server_(
              loop,
              http_server_options{.name_ = "store", .address_ = "127.0.0.1", .idle_timeout_s_ = 0},
              [this](const exchange_ptr& call) { handle(call); })
    {
        if (!server_.start())
        {
            throw std::runtime_error("holding_store_server cannot listen on 127.0.0.1");
        }
    }

    ~holding_store_server()
    {
        held_.clear();
        server_.stop();
    }

    holding_store_server(const holding_store_server&) = delete;
    holding_store_server& operator=(const holding_store_server&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.port());
    }

    /// The value of `Store-Era` in the responses from now on; empty for none.
    void set_era(std::string era)
    {
        era_ = std::move(era);
    }

    /// Answers the held calls with this status.
    void release(int status)
    {
        for (const exchange_ptr& call : held_)
        {
            respond(call, json_response(status, "{}"));
        }
        held_.clear();
    }

    std::size_t held() const
    {
        return held_.size();
    }

private:
    void handle(const exchange_ptr& call)
    {
        if (path_without_query(call->request().target_) == "/v1/kv-range")
        {
            respond(call, json_response(200, R"({"items":[],"HasMore":false,"At":5})"));
            return;
        }
        held_.push_back(call);
    }

    void respond(const exchange_ptr& call, response_message response) const
    {
        if (!era_.empty())
        {
            response.headers_.push_back(header{"Store-Era", era_});
        }
        call->complete(std::move(response));
    }

    http_server server_;
    std::vector<exchange_ptr> held_;
    std::string era_;
};

} // namespace bamboohoist::testing

#endif
