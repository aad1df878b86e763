#include "daemon/apply_coordinator.hpp"

#include "config/head_json.hpp"
#include "config/manifest_json.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

constexpr duration check_period = std::chrono::milliseconds(50);
/// A proposal that is not in force everywhere after this time is withdrawn.
constexpr duration acceptance_timeout = std::chrono::seconds(6);

/// A head that is still proposed after this time has lost its coordinator.
constexpr duration abandoned_timeout = std::chrono::seconds(10);
constexpr duration abandoned_stagger = std::chrono::seconds(2); ///< Per rank of the node.

std::string join_names(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

std::string describe(const revision_head& head)
{
    return "revision " + std::to_string(head.revision_) +
           (head.accepted_ ? " (accepted)" : " (proposed)") + " by " + head.note_.who_ + ": " +
           head.note_.why_;
}

} // namespace

apply_coordinator::apply_coordinator(const control_context& context, store_client& store,
                                     configuration& config, membership& members)
    : context_(context), store_(store), config_(config), members_(members),
      check_timer_(context.loop_, [this] { check_acceptance(); }),
      abandoned_timer_(context.loop_, [this] { withdraw_abandoned(); })
{
}

std::string_view apply_coordinator::name() const
{
    return "apply";
}

bool apply_coordinator::start()
{
    return true;
}

void apply_coordinator::stop()
{
    check_timer_.cancel();
    abandoned_timer_.cancel();
    current_.reset();
    waiting_.clear();
}

void apply_coordinator::submit(apply_request request, callback on_end)
{
    auto added = std::make_unique<proposal>();
    added->request_ = std::move(request);
    added->on_end_ = std::move(on_end);
    waiting_.push_back(std::move(added));
    if (!current_)
    {
        start_next();
    }
}

void apply_coordinator::record_report(const domain_member& member, std::uint64_t revision)
{
    if (current_ && current_->acceptance_)
    {
        current_->acceptance_->report(member, revision);
        check_acceptance();
    }
}

void apply_coordinator::watch_proposal(const revision_head& head)
{
    if (head.accepted_ || head.revision_ == 0)
    {
        abandoned_timer_.cancel();
        return;
    }
    // The nodes try one after another, so that the withdrawal does not depend on a single node.
    abandoned_timer_.arm(abandoned_timeout + abandoned_stagger * takeover_rank());
}

std::size_t apply_coordinator::takeover_rank() const
{
    constexpr std::size_t last_rank = 10;
    std::size_t before = 0;
    for (const member_record* peer : members_.table().peers())
    {
        const bool alive = peer->state_ == member_state::alive;
        before += alive && peer->node_ < members_.table().self().node_ ? 1 : 0;
    }
    return std::min(before, last_rank);
}

void apply_coordinator::withdraw_abandoned()
{
    if (current_ || config_.head().accepted_)
    {
        return;
    }
    const std::string operation = config_.head().operation_;
    abandoned_timer_.arm(abandoned_timeout);
    store_.read(head_key, [this, operation, alive = lifetime_.watch()](const store_reply& reply) {
        const auto found = alive && !reply.entries_.empty()
                               ? parse_head(reply.entries_.front().value_)
                               : std::nullopt;
        if (!found || found->accepted_ || found->operation_ != operation)
        {
            return;
        }
        const revision_head withdrawal = make_withdrawal(*found, unique_identifier());
        store_.write(
            head_key, write_head(withdrawal), {reply.entries_.front().index_, reply.era_},
            [this, withdrawal, still_alive = lifetime_.watch()](const store_reply& written) {
                if (still_alive && written.status_ == store_status::ok)
                {
                    config_.install(withdrawal, {});
                }
            });
    });
}

void apply_coordinator::start_next()
{
    if (waiting_.empty())
    {
        return;
    }
    current_ = std::move(waiting_.front());
    waiting_.pop_front();
    const auto parsed = parse_manifest(current_->request_.manifest_text_);
    if (!parsed)
    {
        refuse(last_reason().kind_, last_reason().text_);
        return;
    }
    if (current_->request_.note_.who_.empty() || current_->request_.note_.why_.empty())
    {
        refuse(error_kind::bad_request, "a request to apply needs a note with \"who\" and \"why\"");
        return;
    }
    current_->manifest_ = *parsed;
    current_->content_ = split_into_chunks(one_element_per_line(current_->request_.manifest_text_));
    read_head();
}

void apply_coordinator::read_head()
{
    store_.read(head_key, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (!alive || !current_)
        {
            return;
        }
        if (reply.status_ == store_status::unavailable)
        {
            refuse(error_kind::store_unavailable,
                   "the store did not reply; the configuration is unchanged");
            return;
        }
        propose(reply);
    });
}

void apply_coordinator::propose(const store_reply& stored)
{
    revision_head newest;
    if (!stored.entries_.empty())
    {
        newest = parse_head(stored.entries_.front().value_).value_or(revision_head{});
    }
    if (newest.revision_ != current_->request_.base_)
    {
        refuse(error_kind::revision_conflict, "the request is based on revision " +
                                                  std::to_string(current_->request_.base_) +
                                                  ", but the newest is " + describe(newest));
        return;
    }
    if (!newest.accepted_ && newest.revision_ != 0)
    {
        refuse(error_kind::revision_conflict,
               "another proposal is neither accepted nor withdrawn yet: " + describe(newest));
        return;
    }
    revision_head& head = current_->head_;
    head.revision_ = newest.revision_ + 1;
    head.operation_ = unique_identifier();
    head.content_ = current_->content_.list_address_;
    head.fallback_ = newest.content_;
    head.fallback_revision_ = newest.revision_;
    head.note_ = current_->request_.note_;
    head.coordinator_ = members_.table().self().gossip_address_;
    head.waived_ = current_->request_.waived_;
    head.proposed_ms_ = context_.clock_.wall_ms();
    current_->head_condition_ = {stored.entries_.empty() ? 0 : stored.entries_.front().index_,
                                 stored.era_};
    write_chunks();
}

void apply_coordinator::write_chunks()
{
    current_->writes_left_ = current_->content_.chunks_.size();
    for (const auto& [address, bytes] : current_->content_.chunks_)
    {
        const std::string key = std::string(chunk_prefix) + address;
        store_.write(key, bytes, {}, [this, alive = lifetime_.watch()](const store_reply& reply) {
            if (!alive || !current_)
            {
                return;
            }
            // A conflict means that the store already holds the chunk, which is equally good.
            current_->write_failed_ |= reply.status_ == store_status::unavailable;
            if (--current_->writes_left_ > 0)
            {
                return;
            }
            if (current_->write_failed_)
            {
                refuse(error_kind::store_unavailable,
                       "the store did not confirm every chunk; the configuration is unchanged");
                return;
            }
            store_.write(head_key, write_head(current_->head_), current_->head_condition_,
                         [this, still_alive = lifetime_.watch()](const store_reply&) {
                             // Reading the head back distinguishes success, a conflict and a lost
                             // reply.
                             if (still_alive && current_)
                             {
                                 confirm_proposal();
                             }
                         });
        });
    }
}

void apply_coordinator::confirm_proposal()
{
    store_.read(head_key, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (!alive || !current_)
        {
            return;
        }
        if (reply.status_ == store_status::unavailable)
        {
            refuse(error_kind::store_unavailable,
                   "the store did not reply; whether revision " +
                       std::to_string(current_->head_.revision_) +
                       " was proposed is unknown: check the status before applying again");
            return;
        }
        const auto found =
            reply.entries_.empty() ? std::nullopt : parse_head(reply.entries_.front().value_);
        if (!found || found->operation_ != current_->head_.operation_)
        {
            refuse(error_kind::revision_conflict,
                   found ? "another proposal was written first: " + describe(*found)
                         : "the proposal did not reach the store");
            return;
        }
        on_proposed({reply.entries_.front().index_, reply.era_});
    });
}

void apply_coordinator::on_proposed(const store_condition& expected)
{
    current_->head_condition_ = expected;
    current_->acceptance_ =
        std::make_unique<acceptance_tracker>(current_->head_, current_->manifest_->regions_);
    current_->deadline_ = context_.clock_.now() + acceptance_timeout;
    config_.install(current_->head_, current_->content_.chunks_);
    check_timer_.repeat(check_period);
}

void apply_coordinator::check_acceptance()
{
    if (!current_ || !current_->acceptance_)
    {
        return;
    }
    const member_record& self = members_.table().self();
    const domain_member self_member{self.node_, self.incarnation_, self.domain_};
    current_->acceptance_->report(self_member, config_.revision_in_force());
    std::vector<domain_member> present{self_member};
    for (const member_record* peer : members_.table().peers())
    {
        present.push_back({peer->node_, peer->incarnation_, peer->domain_});
    }
    std::vector<std::string> missing_domains = current_->acceptance_->missing_domains(present);
    if (missing_domains.empty())
    {
        check_timer_.cancel();
        accept();
    }
    else if (context_.clock_.now() >= current_->deadline_)
    {
        check_timer_.cancel();
        withdraw(std::move(missing_domains));
    }
}

void apply_coordinator::accept()
{
    revision_head accepted = current_->head_;
    accepted.accepted_ = true;
    current_->acceptance_.reset();
    store_.write(head_key, write_head(accepted), current_->head_condition_,
                 [this, accepted, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive && current_)
                     {
                         apply_result result;
                         result.revision_ = accepted.revision_;
                         on_decision_written(accepted, reply, std::move(result));
                     }
                 });
}

void apply_coordinator::withdraw(std::vector<std::string> missing_domains)
{
    const revision_head withdrawal = make_withdrawal(current_->head_, unique_identifier());
    current_->acceptance_.reset();
    apply_result result;
    result.error_ = error_kind::not_accepted;
    result.revision_ = withdrawal.revision_;
    result.detail_ = "not in force within " + std::to_string(acceptance_timeout / from_ms(1000)) +
                     " s in the failure domains " + join_names(missing_domains) +
                     "; withdrawn by revision " + std::to_string(withdrawal.revision_);
    result.missing_domains_ = std::move(missing_domains);
    store_.write(head_key, write_head(withdrawal), current_->head_condition_,
                 [this, withdrawal, result, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive && current_)
                     {
                         on_decision_written(withdrawal, reply, result);
                     }
                 });
}

void apply_coordinator::on_decision_written(const revision_head& head, const store_reply& reply,
                                            apply_result result)
{
    if (reply.status_ == store_status::ok)
    {
        config_.install(head, {});
        finish(std::move(result));
        return;
    }
    // The write may have taken effect without a reply, or another node has withdrawn the proposal.
    store_.read(head_key, [this, head, result, alive = lifetime_.watch()](const store_reply& now) {
        if (!alive || !current_)
        {
            return;
        }
        const auto found =
            now.entries_.empty() ? std::nullopt : parse_head(now.entries_.front().value_);
        if (found && *found == head)
        {
            config_.install(head, {});
            finish(result);
            return;
        }
        apply_result unknown;
        unknown.error_ = error_kind::not_accepted;
        unknown.revision_ = head.revision_;
        unknown.detail_ = found ? "decided by another node: " + describe(*found)
                                : "the store did not reply; check the status";
        finish(std::move(unknown));
    });
}

void apply_coordinator::finish(apply_result result)
{
    const callback ended = std::move(current_->on_end_);
    current_.reset();
    ended(std::move(result));
    start_next();
}

void apply_coordinator::refuse(error_kind kind, std::string detail)
{
    apply_result result;
    result.error_ = kind;
    result.detail_ = std::move(detail);
    result.revision_ = config_.head().revision_;
    finish(std::move(result));
}

} // namespace bamboohoist
