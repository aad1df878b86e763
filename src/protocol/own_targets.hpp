#ifndef BAMBOOHOIST_PROTOCOL_OWN_TARGETS_HPP
#define BAMBOOHOIST_PROTOCOL_OWN_TARGETS_HPP

#include "protocol/target_protocol.hpp"

namespace bamboohoist {

/// The product's own way to targets: the time left and the request's identifier go along, and
/// whatever the target answers is its answer.
class own_targets : public target_protocol
{
public:
    void dress(request_message& message, const target_call& call) const override;
    reply_meaning read(const answer_message& answer, const target_call& call) const override;
};

} // namespace bamboohoist

#endif
