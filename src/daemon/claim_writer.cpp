#include "daemon/claim_writer.hpp"

#include <algorithm>
#include <charconv>

namespace bamboohoist {

namespace {

/// Least distance of two writes of one shard.
constexpr duration write_period = std::chrono::milliseconds(250);
constexpr duration least_retry = std::chrono::milliseconds(20);
constexpr duration most_retry = std::chrono::seconds(2);
constexpr duration late_check_period = std::chrono::milliseconds(10);
/// A generation beyond this is sealed, so that writes stay small.
constexpr std::size_t seal_bytes = 64U << 10U;
constexpr std::size_t max_batch = 256;
/// Generations are kept this much longer than their entries, for clocks that differ.
constexpr std::int64_t expiry_margin_ms = 3'600'000;

} // namespace

claim_writer::claim_writer(const traffic_context& context, store_client& store, std::uint32_t shard)
    : context_(context), store_(store),
      prefix_("bamboohoist/claims/" + std::to_string(shard) + "/"), retry_delay_(least_retry),
      step_timer_(context.loop_, [this] { step(); }),
      late_timer_(context.loop_, [this] { drop_late(); })
{
}

void claim_writer::submit(claim_record wanted, instant deadline, callback on_reply)
{
    waiting_.push_back(pending{std::move(wanted), deadline, std::move(on_reply)});
    if (waiting_.size() == 1)
    {
        late_timer_.repeat(late_check_period);
    }
    if (phase_ == phase::idle)
    {
        step();
    }
}

bool claim_writer::idle() const
{
    return waiting_.empty() && phase_ == phase::idle;
}

void claim_writer::step()
{
    if (phase_ != phase::idle || waiting_.empty())
    {
        return;
    }
    if (!loaded_)
    {
        read_first();
        return;
    }
    if (!index_known_)
    {
        read_generation(book_.open_generation().number_);
        return;
    }
    const duration since = context_.clock_.now() - last_write_;
    if (since < write_period)
    {
        step_timer_.arm(write_period - since);
        return;
    }
    write();
}

void claim_writer::read_first()
{
    phase_ = phase::loading;
    store_.read(prefix_ + "first", [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (!alive)
        {
            return;
        }
        if (reply.status_ == store_status::unavailable)
        {
            back_off();
            return;
        }
        if (!reply.entries_.empty())
        {
            const std::string& text = reply.entries_.front().value_;
            std::from_chars(text.data(), text.data() + text.size(), first_);
            head_index_ = reply.entries_.front().index_;
        }
        book_ = claim_shard();
        claim_generation empty;
        empty.number_ = first_;
        book_.load(empty, 0);
        read_generation(first_);
    });
}

void claim_writer::read_generation(std::uint64_t number)
{
    phase_ = phase::loading;
    store_.read(key_of(number),
                [this, number, alive = lifetime_.watch()](const store_reply& reply) {
                    if (alive)
                    {
                        on_generation(number, reply);
                    }
                });
}

void claim_writer::on_generation(std::uint64_t number, const store_reply& reply)
{
    if (reply.status_ == store_status::unavailable)
    {
        back_off();
        return;
    }
    if (!reply.entries_.empty())
    {
        const auto generation = decode_generation(reply.entries_.front().value_);
        if (!generation)
        {
            back_off();
            return;
        }
        book_.load(*generation, reply.entries_.front().index_);
        if (generation->sealed_)
        {
            book_.start_next_generation();
            read_generation(number + 1);
            return;
        }
    }
    loaded_ = true;
    index_known_ = true;
    retry_delay_ = least_retry;
    phase_ = phase::idle;
    settle_held();
    step();
}

void claim_writer::write()
{
    in_write_.clear();
    for (const pending& entry : waiting_)
    {
        if (in_write_.size() < max_batch)
        {
            in_write_.push_back(entry.wanted_);
        }
    }
    std::vector<claim_result> verdicts;
    const claim_generation next =
        book_.extend_open_generation(in_write_, context_.clock_.wall_ms(), verdicts);
    const std::string bytes = encode_generation(next);
    if (bytes.size() > seal_bytes && !book_.open_generation().records_.empty())
    {
        seal();
        return;
    }
    phase_ = phase::writing;
    last_write_ = context_.clock_.now();
    index_known_ = false;
    context_.metrics_.add(counter::claim_writes);
    store_.write(key_of(next.number_), bytes, book_.open_index(),
                 [this, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive)
                     {
                         on_written(reply);
                     }
                 });
}

void claim_writer::seal()
{
    claim_generation sealed = book_.open_generation();
    sealed.sealed_ = true;
    phase_ = phase::writing;
    index_known_ = false;
    context_.metrics_.add(counter::claim_writes);
    store_.write(key_of(sealed.number_), encode_generation(sealed), book_.open_index(),
                 [this, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive)
                     {
                         collect_expired();
                         on_written(reply);
                     }
                 });
}

void claim_writer::on_written(const store_reply& reply)
{
    if (reply.status_ == store_status::unavailable)
    {
        back_off();
        return;
    }
    // Success and conflict alike are read back: that tells what holds, and the next index.
    read_generation(book_.open_generation().number_);
}

void claim_writer::settle_held()
{
    const std::int64_t now_ms = context_.clock_.wall_ms();
    for (std::size_t i = waiting_.size(); i > 0; --i)
    {
        const claim_record& wanted = waiting_[i - 1].wanted_;
        const claim_record* present = book_.find(wanted.key_, now_ms);
        claim_reply reply;
        reply.decided_ = true;
        if (book_.contains(wanted, now_ms))
        {
            reply.result_ = claim_result::accepted;
            settle(i - 1, std::move(reply));
        }
        else if (present != nullptr ? !present->may_be_followed_by(wanted)
                                    : wanted.state_ != claim_state::running)
        {
            reply.current_record_ = present != nullptr ? *present : claim_record{};
            settle(i - 1, std::move(reply));
        }
    }
}

void claim_writer::settle(std::size_t position, claim_reply reply)
{
    const callback report = std::move(waiting_[position].on_reply_);
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(position));
    context_.loop_.defer([report, made = std::move(reply)] { report(made); });
}

void claim_writer::drop_late()
{
    const instant now = context_.clock_.now();
    for (std::size_t i = waiting_.size(); i > 0; --i)
    {
        if (waiting_[i - 1].deadline_ <= now)
        {
            settle(i - 1, claim_reply{});
        }
    }
    if (waiting_.empty())
    {
        late_timer_.cancel();
    }
}

void claim_writer::back_off()
{
    phase_ = phase::idle;
    index_known_ = false;
    const double jitter = 0.5 + context_.random_.uniform();
    step_timer_.arm(std::chrono::duration_cast<duration>(retry_delay_ * jitter));
    retry_delay_ = std::min(retry_delay_ * 2, most_retry);
}

void claim_writer::collect_expired()
{
    const std::int64_t before_ms = context_.clock_.wall_ms() - expiry_margin_ms;
    for (const std::uint64_t number : book_.expired_generations(before_ms))
    {
        if (number != first_)
        {
            return;
        }
        // The pointer moves first, so that nobody looks for a generation that is gone.
        ++first_;
        store_.write(prefix_ + "first", std::to_string(first_), head_index_,
                     [this, number, alive = lifetime_.watch()](const store_reply& reply) {
                         if (alive && reply.status_ == store_status::ok)
                         {
                             store_.remove(key_of(number), [](const store_reply&) {});
                         }
                     });
        book_.remove_generation(number);
        return;
    }
}

std::string claim_writer::key_of(std::uint64_t number) const
{
    return prefix_ + std::to_string(number);
}

} // namespace bamboohoist
