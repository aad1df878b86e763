#include "http/response_writer.hpp"

#include <cstdlib>
#include <microhttpd.h>

namespace bamboohoist {

namespace {

/// Content reader for responses to HEAD: their Content-Length is sent, their body is not.
ssize_t read_no_content(void*, std::uint64_t, char*, std::size_t)
{
    return MHD_CONTENT_READER_END_OF_STREAM;
}

MHD_Response* make_mhd_response(const request_message& request, const response_message& response)
{
    const auto length = find_header(response.headers_, "Content-Length");
    if (request.method_ == "HEAD" && length)
    {
        const auto size = std::strtoull(std::string(*length).c_str(), nullptr, 10);
        return ::MHD_create_response_from_callback(size, 1, &read_no_content, nullptr, nullptr);
    }
    // The library does not write to the buffer.
    return ::MHD_create_response_from_buffer(
        response.body_.size(), const_cast<char*>(response.body_.data()), MHD_RESPMEM_PERSISTENT);
}

} // namespace

bool write_response(MHD_Connection* connection, const request_message& request,
                    const response_message& response, bool close)
{
    MHD_Response* mhd_response = make_mhd_response(request, response);
    for (const header& field : response.headers_)
    {
        if (!is_hop_by_hop_header(field.name_))
        {
            ::MHD_add_response_header(mhd_response, field.name_.c_str(), field.value_.c_str());
        }
    }
    if (close)
    {
        ::MHD_add_response_header(mhd_response, "Connection", "close");
    }
    const MHD_Result queued =
        ::MHD_queue_response(connection, static_cast<unsigned>(response.status_), mhd_response);
    ::MHD_destroy_response(mhd_response);
    return queued == MHD_YES;
}

} // namespace bamboohoist
