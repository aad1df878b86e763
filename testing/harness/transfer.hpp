#ifndef BAMBOOHOIST_TESTING_TRANSFER_HPP
#define BAMBOOHOIST_TESTING_TRANSFER_HPP

#include "http/http_client.hpp"

#include <string_view>

namespace bamboohoist::testing {

/// A request for `/` at a server, `address:port`, with five seconds for its response.
transfer_request make_transfer(std::string_view method, std::string_view server);

/// Runs one transfer to its end, on a client and an event loop of its own.
transfer_result run_transfer(transfer_request request);

} // namespace bamboohoist::testing

#endif
