#ifndef BAMBOOHOIST_HTTP_RESPONSE_WRITER_HPP
#define BAMBOOHOIST_HTTP_RESPONSE_WRITER_HPP

#include "core/message.hpp"

struct MHD_Connection;

namespace bamboohoist {

/// Passes a response to the library, which reads its body until the exchange is finished. False
/// when the library does not accept it.
bool write_response(MHD_Connection* connection, const request_message& request,
                    const response_message& response, bool close);

} // namespace bamboohoist

#endif
