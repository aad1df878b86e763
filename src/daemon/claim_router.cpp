#include "daemon/claim_router.hpp"

#include "core/hash.hpp"
#include "loop/run_after.hpp"

#include <algorithm>
#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::uint32_t shards = 32;
/// Callers cannot send fields with this prefix.
constexpr std::string_view call_field = "bamboohoist-call";
constexpr std::string_view time_left_field = "bamboohoist-time-left-us";
/// The holder gets this share of the time; the rest is for writing the shard without it.
constexpr double holder_share = 0.5;
constexpr duration end_timeout = std::chrono::seconds(5);
constexpr duration end_retry_delay = std::chrono::seconds(2);
constexpr std::size_t max_ends_waiting = 4096;

} // namespace

claim_router::claim_router(const traffic_context& context)
    : context_(context), store_(context.loop_, context.settings_.store_, context.metrics_)
{
}

void claim_router::set_fleet(const fleet_ptr& fleet)
{
    holders_.clear();
    for (const auto& service : fleet->services_)
    {
        for (const fleet_target& target : service->targets_)
        {
            holders_.push_back(holder{target.node_, target.guard_address_});
        }
    }
    std::ranges::sort(holders_);
    holders_.erase(std::unique(holders_.begin(), holders_.end()), holders_.end());
}

void claim_router::submit(claim_record wanted, instant deadline, callback on_reply)
{
    context_.metrics_.add(counter::claims_requested);
    const holder* chosen = holder_of(wanted.key_);
    if (chosen == nullptr || chosen->node_ == context_.settings_.node_)
    {
        claim_writer& writer = writer_of(wanted.key_);
        writer.submit(std::move(wanted), deadline, std::move(on_reply));
        return;
    }
    ask_holder(chosen->guard_address_, wanted, deadline, std::move(on_reply));
}

void claim_router::submit_completion(claim_record ended)
{
    if (ended.expires_ms_ < context_.clock_.wall_ms() || ends_waiting_ >= max_ends_waiting)
    {
        return;
    }
    ++ends_waiting_;
    claim_record again = ended;
    submit(std::move(ended), context_.clock_.now() + end_timeout,
           [this, again = std::move(again), alive = lifetime_.watch()](const claim_reply& reply) {
               if (!alive)
               {
                   return;
               }
               --ends_waiting_;
               if (!reply.decided_)
               {
                   run_after(context_.loop_, end_retry_delay, [this, again, still = alive] {
                       if (still)
                       {
                           submit_completion(again);
                       }
                   });
               }
           });
}

std::size_t claim_router::pending_completions() const
{
    return ends_waiting_;
}

void claim_router::serve(claim_record wanted, duration time_left, callback on_reply)
{
    const instant deadline = context_.clock_.now() + time_left;
    claim_writer& writer = writer_of(wanted.key_);
    writer.submit(std::move(wanted), deadline, std::move(on_reply));
}

claim_writer& claim_router::writer_of(std::string_view key)
{
    const std::uint32_t shard = claim_shard_index(key, shards);
    auto& writer = writers_[shard];
    if (!writer)
    {
        writer = std::make_unique<claim_writer>(context_, store_, shard);
    }
    return *writer;
}

const claim_router::holder* claim_router::holder_of(std::string_view key) const
{
    // Nodes may differ in what they know for a while, and then in their choice; that costs
    // conflicts, never a second run.
    const std::string shard = std::to_string(claim_shard_index(key, shards));
    const auto best = std::ranges::max_element(holders_, {}, [&](const holder& node) {
        return hash_parts({shard, node.node_});
    });
    return best == holders_.end() ? nullptr : &*best;
}

void claim_router::ask_holder(std::string_view guard, const claim_record& wanted, instant deadline,
                              callback on_reply)
{
    auto& link = links_[std::string(guard)];
    if (!link)
    {
        const endpoint remote = parse_endpoint(guard).value_or(endpoint{});
        link = std::make_unique<peer_link>(context_.loop_, remote);
    }
    const duration left = deadline - context_.clock_.now();
    const auto for_holder = std::chrono::duration_cast<duration>(left * holder_share);
    struct attempt : ref_counted_local<attempt>
    {
        claim_record wanted_;
        callback on_reply_;
        bool direct_ = false;
    };
    const ref_ptr<attempt> state(new attempt);
    state->wanted_ = wanted;
    state->on_reply_ = std::move(on_reply);
    const auto go_direct = [this, state, deadline] {
        if (!state->direct_ && state->on_reply_)
        {
            state->direct_ = true;
            writer_of(state->wanted_.key_).submit(state->wanted_, deadline, state->on_reply_);
        }
    };
    link->call(encode_claim_call(wanted, for_holder), [state, go_direct](call_result result) {
        const auto reply =
            result.response_ ? decode_claim_reply(result.response_->body_) : std::nullopt;
        if (state->direct_)
        {
            return;
        }
        if (!reply || !reply->decided_)
        {
            go_direct();
            return;
        }
        const callback report = std::move(state->on_reply_);
        state->on_reply_ = nullptr;
        report(*reply);
    });
    run_after(context_.loop_, for_holder + std::chrono::milliseconds(20),
              [go_direct, alive = lifetime_.watch()] {
                  if (alive)
                  {
                      go_direct();
                  }
              });
}

stream_message encode_claim_call(const claim_record& wanted, duration time_left)
{
    const auto left_us = std::chrono::duration_cast<std::chrono::microseconds>(time_left);
    stream_message message;
    message.fields_ = {{":method", "POST"},
                       {":scheme", "http"},
                       {":authority", "guard"},
                       {":path", "/"},
                       {std::string(call_field), "claim"},
                       {std::string(time_left_field), std::to_string(left_us.count())}};
    message.body_ = encode_claim(wanted);
    return message;
}

bool is_claim_call(const stream_message& message)
{
    return find_header(message.fields_, call_field) == "claim";
}

duration claim_time_left(const stream_message& message)
{
    std::int64_t left_us = 0;
    const auto text = find_header(message.fields_, time_left_field).value_or("");
    std::from_chars(text.data(), text.data() + text.size(), left_us);
    return std::chrono::microseconds(left_us);
}

stream_message encode_claim_reply_message(const claim_reply& reply)
{
    stream_message message;
    message.fields_ = {{":status", "200"}};
    message.body_ = encode_claim_reply(reply);
    return message;
}

} // namespace bamboohoist
