#include "wire/request_codec.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::string_view id_field = "bamboohoist-id";
constexpr std::string_view service_field = "bamboohoist-service";
constexpr std::string_view target_field = "bamboohoist-target";
constexpr std::string_view organisation_field = "bamboohoist-organisation";
constexpr std::string_view share_field = "bamboohoist-share";
constexpr std::string_view rank_field = "bamboohoist-rank";
constexpr std::string_view key_field = "bamboohoist-key";
constexpr std::string_view time_left_field = "bamboohoist-time-left-us";
constexpr std::string_view attempt_field = "bamboohoist-attempt";
constexpr std::string_view from_field = "bamboohoist-from";
constexpr std::string_view caller_service_field = "bamboohoist-caller-service";
constexpr std::string_view idempotent_field = "bamboohoist-idempotent";
constexpr std::string_view last_resort_field = "bamboohoist-last-resort";
constexpr std::string_view trial_field = "bamboohoist-trial";
constexpr std::string_view usual_ms_field = "bamboohoist-usual-ms";
constexpr std::string_view usual_bad_field = "bamboohoist-usual-bad";
constexpr std::string_view slot_ms_field = "bamboohoist-slot-ms";
constexpr std::string_view outcome_field = "bamboohoist-outcome";
constexpr std::string_view error_field = "bamboohoist-error";
constexpr std::string_view detail_field = "bamboohoist-detail";
constexpr std::string_view load_field = "bamboohoist-load";
constexpr std::string_view weight_field = "bamboohoist-weight";

class field_writer
{
public:
    explicit field_writer(header_list& fields) : fields_(fields) {}

    void add(std::string_view name, std::string value)
    {
        if (!value.empty())
        {
            fields_.push_back(header{std::string(name), std::move(value)});
        }
    }

    void add_lower_case(const header& field)
    {
        std::string name = field.name_;
        std::ranges::transform(name, name.begin(), [](char character) {
            return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        });
        fields_.push_back(header{std::move(name), field.value_});
    }

private:
    header_list& fields_;
};

template <typename Number>
bool parse_number(std::string_view text, Number& value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

std::string field_text(std::span<const header> fields, std::string_view name)
{
    return std::string(find_header(fields, name).value_or(""));
}

template <typename Number>
bool read_number(std::span<const header> fields, std::string_view name, Number& value)
{
    const auto text = find_header(fields, name);
    return text && parse_number(*text, value);
}

/// The fields of the caller or the target, without pseudo-header and internal fields.
header_list remove_internal_fields(header_list fields)
{
    std::erase_if(fields, [](const header& field) {
        return field.name_.starts_with(':') || is_internal_header(field.name_);
    });
    return fields;
}

/// The rank of a request; the highest when the field is missing, empty when it is malformed.
std::optional<request_rank> read_rank(std::span<const header> fields)
{
    const auto text = find_header(fields, rank_field);
    return text ? parse_request_rank(*text) : request_rank{};
}

bool parse_load(std::span<const header> fields, target_load& load)
{
    const std::string text = field_text(fields, load_field);
    const auto first = text.find('/');
    const auto second = text.find('/', first + 1);
    if (first == std::string::npos || second == std::string::npos)
    {
        return false;
    }
    const std::string_view view = text;
    return parse_number(view.substr(0, first), load.running_) &&
           parse_number(view.substr(first + 1, second - first - 1), load.queued_) &&
           parse_number(view.substr(second + 1), load.slots_);
}

std::string format_load(const target_load& load)
{
    return std::to_string(load.running_) + "/" + std::to_string(load.queued_) + "/" +
           std::to_string(load.slots_);
}

} // namespace

stream_message encode_request(forwarded_request request)
{
    stream_message message;
    const auto time_left =
        std::chrono::duration_cast<std::chrono::microseconds>(request.time_left_);
    field_writer writer(message.fields_);
    writer.add(":method", request.message_.method_);
    writer.add(":scheme", "http");
    writer.add(":authority", request.message_.host_);
    writer.add(":path", request.message_.target_);
    writer.add(id_field, request.id_);
    writer.add(service_field, request.service_);
    writer.add(target_field, request.target_);
    writer.add(organisation_field, request.organisation_);
    writer.add(share_field, std::to_string(request.share_));
    // A message without this field has the highest rank, as one from a node of an older version.
    writer.add(rank_field, request.rank_ == request_rank{} ? "" : to_string(request.rank_));
    writer.add(key_field, request.idempotency_key_);
    writer.add(time_left_field, std::to_string(time_left.count()));
    writer.add(attempt_field, std::to_string(request.attempt_));
    writer.add(from_field, request.ingress_node_);
    writer.add(caller_service_field, request.caller_service_);
    writer.add(idempotent_field, request.idempotent_ ? "1" : "0");
    writer.add(last_resort_field, request.last_resort_ ? "1" : "");
    writer.add(trial_field, request.trial_ ? "1" : "");
    writer.add(usual_ms_field, std::to_string(request.baseline_.latency_ms_));
    writer.add(usual_bad_field, std::to_string(request.baseline_.bad_fraction_));
    for (const header& field : request.message_.headers_)
    {
        writer.add_lower_case(field);
    }
    message.body_ = std::move(request.message_.body_);
    return message;
}

std::optional<forwarded_request> decode_request(stream_message message)
{
    const std::span<const header> fields = message.fields_;
    forwarded_request request;
    std::int64_t time_left_us = 0;
    const bool numbers_valid =
        read_number(fields, time_left_field, time_left_us) &&
        read_number(fields, attempt_field, request.attempt_) &&
        read_number(fields, share_field, request.share_) &&
        read_number(fields, usual_ms_field, request.baseline_.latency_ms_) &&
        read_number(fields, usual_bad_field, request.baseline_.bad_fraction_);
    request.id_ = field_text(fields, id_field);
    request.service_ = field_text(fields, service_field);
    request.target_ = field_text(fields, target_field);
    request.organisation_ = field_text(fields, organisation_field);
    request.idempotency_key_ = field_text(fields, key_field);
    request.ingress_node_ = field_text(fields, from_field);
    request.caller_service_ = field_text(fields, caller_service_field);
    request.last_resort_ = field_text(fields, last_resort_field) == "1";
    request.trial_ = field_text(fields, trial_field) == "1";
    request.idempotent_ = field_text(fields, idempotent_field) == "1";
    request.message_.method_ = field_text(fields, ":method");
    request.message_.host_ = field_text(fields, ":authority");
    request.message_.target_ = field_text(fields, ":path");
    const auto rank = read_rank(fields);
    if (!numbers_valid || !rank || request.target_.empty() || request.message_.method_.empty())
    {
        return fail(error_kind::bad_request,
                    "a peer sent a request with a missing or malformed field");
    }
    request.rank_ = *rank;
    request.time_left_ = std::chrono::microseconds(time_left_us);
    request.message_.headers_ = remove_internal_fields(std::move(message.fields_));
    request.message_.body_ = std::move(message.body_);
    return request;
}

stream_message encode_response(forwarded_response response)
{
    stream_message message;
    field_writer writer(message.fields_);
    const bool relayed = response.error_ == error_kind::none;
    const error_response& row = error_response_for(response.error_);
    writer.add(":status", std::to_string(relayed ? response.message_.status_ : row.status_));
    writer.add(outcome_field, std::string(to_string(response.outcome_)));
    writer.add(error_field, std::string(row.name_));
    writer.add(detail_field, response.detail_);
    writer.add(load_field, format_load(response.load_));
    writer.add(weight_field, std::to_string(response.weight_));
    writer.add(slot_ms_field, std::to_string(response.slot_ms_));
    for (const header& field : response.message_.headers_)
    {
        writer.add_lower_case(field);
    }
    message.body_ = std::move(response.message_.body_);
    return message;
}

std::optional<forwarded_response> decode_response(stream_message message)
{
    const std::span<const header> fields = message.fields_;
    forwarded_response response;
    const auto outcome = parse_outcome(field_text(fields, outcome_field));
    const auto error = parse_error_kind(field_text(fields, error_field));
    const bool valid = outcome && error && parse_load(fields, response.load_) &&
                       read_number(fields, weight_field, response.weight_) &&
                       read_number(fields, slot_ms_field, response.slot_ms_) &&
                       read_number(fields, ":status", response.message_.status_);
    if (!valid)
    {
        return fail(error_kind::bad_request,
                    "a peer sent a response with a missing or malformed field");
    }
    response.outcome_ = *outcome;
    response.error_ = *error;
    response.detail_ = field_text(fields, detail_field);
    response.message_.headers_ = remove_internal_fields(std::move(message.fields_));
    response.message_.body_ = std::move(message.body_);
    return response;
}

} // namespace bamboohoist
