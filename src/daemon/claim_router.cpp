#include "daemon/claim_router.hpp"

#include "core/hash.hpp"
#include "loop/run_after.hpp"

#include <algorithm>
#include <charconv>

namespace bamboohoist {

namespace {

constexpr std::uint32_t shard_count = 32;
constexpr std::string_view time_left_field = "bamboohoist-time-left-us";
/// The holder gets this fraction of the time; the rest is for writing to the shard directly.
constexpr double holder_time_fraction = 0.5;
constexpr duration completion_timeout = std::chrono::seconds(5);
constexpr duration completion_retry_delay = std::chrono::seconds(2);
constexpr std::size_t max_pending_completions = 4096;

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
            holders_.push_back(shard_holder{target.node_, target.guard_address_});
        }
    }
    std::ranges::sort(holders_);
    holders_.erase(std::unique(holders_.begin(), holders_.end()), holders_.end());
}

void claim_router::submit(claim_record record, instant deadline, callback on_reply)
{
    context_.metrics_.add(counter::claims_requested);
    const shard_holder* chosen = holder_for(record.key_);
    if (chosen == nullptr || chosen->node_ == context_.settings_.node_)
    {
        claim_writer& writer = writer_for(record.key_);
        writer.submit(std::move(record), deadline, std::move(on_reply));
        return;
    }
    forward_to_holder(chosen->guard_address_, record, deadline, std::move(on_reply));
}

void claim_router::submit_completion(claim_record record)
{
    if (record.expires_ms_ < context_.clock_.wall_ms() ||
        pending_completions_ >= max_pending_completions)
    {
        return;
    }
    ++pending_completions_;
    claim_record retry_record = record;
    submit(std::move(record), context_.clock_.now() + completion_timeout,
           [this, retry_record = std::move(retry_record),
            alive = lifetime_.watch()](const claim_reply& reply) {
               if (!alive)
               {
                   return;
               }
               --pending_completions_;
               if (!reply.decided_)
               {
                   run_after(context_.loop_, completion_retry_delay,
                             [this, retry_record, still_alive = alive] {
                                 if (still_alive)
                                 {
                                     submit_completion(retry_record);
                                 }
                             });
               }
           });
}

std::size_t claim_router::pending_completions() const
{
    return pending_completions_;
}

void claim_router::submit_for_peer(claim_record record, duration time_left, callback on_reply)
{
    const instant deadline = context_.clock_.now() + time_left;
    claim_writer& writer = writer_for(record.key_);
    writer.submit(std::move(record), deadline, std::move(on_reply));
}

claim_writer& claim_router::writer_for(std::string_view key)
{
    const std::uint32_t shard = claim_shard_index(key, shard_count);
    auto& writer = writers_[shard];
    if (!writer)
    {
        writer = std::make_unique<claim_writer>(context_, store_, shard);
    }
    return *writer;
}

const claim_router::shard_holder* claim_router::holder_for(std::string_view key) const
{
    // Nodes with different fleet snapshots may choose different holders for a while. This causes
    // write conflicts in the store, but never a second run of a request.
    const std::string shard = std::to_string(claim_shard_index(key, shard_count));
    const auto best = std::ranges::max_element(holders_, {}, [&](const shard_holder& node) {
        return hash_parts({shard, node.node_});
    });
    return best == holders_.end() ? nullptr : &*best;
}

void claim_router::forward_to_holder(std::string_view guard_address, const claim_record& record,
                                     instant deadline, callback on_reply)
{
    auto& link = links_[std::string(guard_address)];
    if (!link)
    {
        const endpoint remote = parse_endpoint(guard_address).value_or(endpoint{});
        link = std::make_unique<peer_link>(context_.loop_, remote);
    }
    const duration time_left = deadline - context_.clock_.now();
    const auto holder_timeout =
        std::chrono::duration_cast<duration>(time_left * holder_time_fraction);
    struct forwarded_claim : ref_counted_local<forwarded_claim>
    {
        claim_record record_;
        callback on_reply_;
        bool written_directly_ = false;
    };
    const ref_ptr<forwarded_claim> state(new forwarded_claim);
    state->record_ = record;
    state->on_reply_ = std::move(on_reply);
    const auto write_directly = [this, state, deadline] {
        if (!state->written_directly_ && state->on_reply_)
        {
            state->written_directly_ = true;
            writer_for(state->record_.key_).submit(state->record_, deadline, state->on_reply_);
        }
    };
    link->call(encode_claim_call(record, holder_timeout),
               [state, write_directly](call_result result) {
                   const auto reply = result.response_ ? decode_claim_reply(result.response_->body_)
                                                       : std::nullopt;
                   if (state->written_directly_)
                   {
                       return;
                   }
                   if (!reply || !reply->decided_)
                   {
                       write_directly();
                       return;
                   }
                   const callback report = std::move(state->on_reply_);
                   state->on_reply_ = nullptr;
                   report(*reply);
               });
    run_after(context_.loop_, holder_timeout + std::chrono::milliseconds(20),
              [write_directly, alive = lifetime_.watch()] {
                  if (alive)
                  {
                      write_directly();
                  }
              });
}

stream_message encode_claim_call(const claim_record& record, duration time_left)
{
    const auto left_us = std::chrono::duration_cast<std::chrono::microseconds>(time_left);
    stream_message message;
    message.fields_ = {{":method", "POST"},
                       {":scheme", "http"},
                       {":authority", "guard"},
                       {":path", "/"},
                       {std::string(internal_call_field), "claim"},
                       {std::string(time_left_field), std::to_string(left_us.count())}};
    message.body_ = encode_claim(record);
    return message;
}

bool is_claim_call(const stream_message& message)
{
    return find_header(message.fields_, internal_call_field) == "claim";
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
