#ifndef BAMBOOHOIST_HTTP_EXCHANGE_HPP
#define BAMBOOHOIST_HTTP_EXCHANGE_HPP

#include "core/clock.hpp"
#include "core/memory_account.hpp"
#include "core/message.hpp"
#include "core/ref_counted.hpp"
#include "loop/io_watch.hpp"

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct MHD_Connection;

namespace bamboohoist {

class http_server;

/// One request of a caller and its response. It belongs to the thread of its server. References to
/// it keep it alive, also after the caller has disconnected.
class exchange : public ref_counted_local<exchange>,
                 public boost::intrusive::list_base_hook<
                     boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    exchange(http_server& owner, MHD_Connection* connection, memory_account& memory,
             memory_use body_use);

    /// The request. Its body is released once the response is being sent.
    const request_message& request() const;

    /// Sends the response. Does nothing when the caller has disconnected or has its response.
    void complete(response_message response);

    /// True when no response can be sent any more.
    bool closed() const;

    /// The callback runs once when the caller disconnects before it has its response.
    void on_abandoned(std::function<void()> callback);

private:
    friend class http_server;
    friend class exchange_memory;
    friend struct http_server_callbacks;

    http_server* owner_; ///< Null once the server has stopped.
    MHD_Connection* connection_;
    request_message request_;
    response_message response_; ///< Its body is read by the library until the exchange is finished.
    std::function<void()> on_abandoned_;
    std::unique_ptr<io_watch> disconnect_watch_;
    memory_charge charge_;                       ///< For the body of the request or the response.
    std::optional<std::size_t> announced_bytes_; ///< `Content-Length` of the request.
    std::size_t body_bytes_ = 0;                 ///< Bytes received, discarded ones included.
    instant transfer_started_;      ///< Start of receiving the request or of sending the response.
    instant shed_at_;               ///< When the body was given up because of the memory limit.
    bool headers_received_ = false; ///< The headers are in `request_`.
    bool shed_ = false;             ///< The body was given up, and what still arrives is discarded.
    bool dispatched_ = false;       ///< The request is complete and with the handler.
    bool sending_ = false;          ///< The response is being written.
    bool suspended_ = false;
    bool completed_ = false;
    bool closed_ = false;
};

using exchange_ptr = ref_ptr<exchange>;

/// The exchanges of a server that are not finished.
using exchange_list = boost::intrusive::list<exchange, boost::intrusive::constant_time_size<false>>;

/// A response with a status and a JSON body.
response_message json_response(int status, std::string body);

} // namespace bamboohoist

#endif
