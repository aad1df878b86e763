#include "daemon/target_response.hpp"

#include <array>

namespace bamboohoist {

namespace {

constexpr int gateway_timeout_status = 504;

/// Error and outcome that follow from the end of a transfer, in the order of `transfer_end`.
struct transfer_end_row
{
    error_kind error_;
    outcome outcome_;
};

constexpr std::array<transfer_end_row, 7> transfer_end_table{{
    {error_kind::none, outcome::ran},
    {error_kind::target_unreachable, outcome::not_run},
    {error_kind::target_lost, outcome::unknown},
    {error_kind::deadline_exceeded, outcome::unknown},
    {error_kind::target_unreachable, outcome::not_run},
    {error_kind::response_too_large, outcome::ran},
    {error_kind::target_lost, outcome::unknown},
}};

const transfer_end_row& row_of(transfer_end end)
{
    return transfer_end_table[static_cast<std::size_t>(end)];
}

forwarded_response make_unaccepted_response(const transfer_result& result, response_kind kind)
{
    forwarded_response response;
    const bool says_not_run =
        kind == response_kind::not_executed || kind == response_kind::wrong_target;
    // It says nothing of a first copy of the request.
    const bool certainly_not_run = says_not_run && !result.sent_again_;
    response.error_ = certainly_not_run ? error_kind::target_refused : error_kind::target_lost;
    response.outcome_ = certainly_not_run ? outcome::not_run : outcome::unknown;
    response.detail_ =
        certainly_not_run ? "the target reported that it did not run the request, status " +
                                std::to_string(result.response_.status_)
        : says_not_run ? "the target did not run the request, but may have run a first copy"
                       : "the target's response is not proven to be whole";
    return response;
}

/// Removes the fields of the target's connection. A response to HEAD keeps its length.
void remove_connection_fields(header_list& headers)
{
    std::erase_if(headers, [](const header& field) {
        return is_hop_by_hop_header(field.name_) &&
               !header_names_equal(field.name_, "Content-Length");
    });
}

} // namespace

outcome outcome_of(transfer_end end)
{
    return row_of(end).outcome_;
}

std::string describe_body(const transfer_result& result)
{
    return "; status " + std::to_string(result.status_) + ", body ended by " +
           std::string(to_string(result.framing_)) + ", " + std::to_string(result.body_bytes_) +
           " bytes of it received, " + (result.reused_connection_ ? "reused" : "new") +
           " connection";
}

forwarded_response make_target_response(transfer_result result, response_kind kind)
{
    if (result.end_ == transfer_end::complete && kind != response_kind::valid)
    {
        return make_unaccepted_response(result, kind);
    }
    forwarded_response response;
    response.error_ = row_of(result.end_).error_;
    response.outcome_ = row_of(result.end_).outcome_;
    if (result.end_ != transfer_end::complete)
    {
        response.detail_ = std::move(result.detail_);
        return response;
    }
    response.message_ = std::move(result.response_);
    remove_connection_fields(response.message_.headers_);
    return response;
}

observation classify_transfer(const transfer_result& result, response_kind kind, double slot_ms,
                              const service_baseline& baseline,
                              const std::function<bool()>& is_caused_by_call)
{
    switch (result.end_)
    {
    case transfer_end::complete:
        if (kind == response_kind::not_executed)
        {
            return observation::refused;
        }
        if (result.response_.status_ >= first_server_error_status && is_caused_by_call())
        {
            return observation::dependency_error;
        }
        if (result.response_.status_ == gateway_timeout_status)
        {
            // The deadline passed. How long the request had is what shows something.
            return target_health::classify(slot_ms, false, baseline);
        }
        return target_health::classify(slot_ms,
                                       kind != response_kind::valid ||
                                           result.response_.status_ >= first_server_error_status,
                                       baseline);
    case transfer_end::refused:
    case transfer_end::connect_timed_out:
        return observation::unreachable;
    case transfer_end::timed_out:
        // A short deadline of the caller says nothing about the target.
        return target_health::classify(slot_ms, false, baseline);
    case transfer_end::too_large:
        // That this process has no room for a response says nothing about the target.
        return target_health::classify(slot_ms, !result.no_room_, baseline);
    default:
        return observation::error;
    }
}

} // namespace bamboohoist
