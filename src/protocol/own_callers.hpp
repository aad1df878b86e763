#ifndef BAMBOOHOIST_PROTOCOL_OWN_CALLERS_HPP
#define BAMBOOHOIST_PROTOCOL_OWN_CALLERS_HPP

#include "protocol/caller_protocol.hpp"

namespace bamboohoist {

/// Header field that bounds how long a caller waits, in milliseconds.
inline constexpr std::string_view timeout_header = "X-Request-Timeout-Ms";
inline constexpr std::string_view key_header = "Idempotency-Key";

/// The callers' interface of the product.
class own_callers : public caller_protocol
{
public:
    std::optional<request_terms> read(std::span<const header> headers) const override;
    bool consumes(std::string_view name) const override;
    answer_message write(const made_answer& made) const override;
};

} // namespace bamboohoist

#endif
