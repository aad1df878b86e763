#include "daemon/claim_writer.hpp"

#include <algorithm>
#include <charconv>

namespace bamboohoist {

namespace {

/// Minimum interval between two writes of one shard.
constexpr duration min_write_interval = std::chrono::milliseconds(250);
constexpr duration min_retry_delay = std::chrono::milliseconds(20);
constexpr duration max_retry_delay = std::chrono::seconds(2);
constexpr duration overdue_check_period = std::chrono::milliseconds(10);
/// A generation that would grow beyond this is sealed, so that writes stay small.
constexpr std::size_t max_generation_bytes = 64U << 10U;
constexpr std::size_t max_batch_entries = 256;
/// Generations are kept this much longer than their entries, because clocks of nodes differ.
constexpr std::int64_t expiry_margin_ms = 3'600'000;

} // namespace

claim_writer::claim_writer(const traffic_context& context, store_client& store, std::uint32_t shard)
    : context_(context), store_(store),
      prefix_("bamboohoist/claims/" + std::to_string(shard) + "/"), retry_delay_(min_retry_delay),
      next_step_timer_(context.loop_, [this] { run_next_step(); }),
      overdue_timer_(context.loop_, [this] { finish_overdue_entries(); })
{
}

void claim_writer::submit(claim_record record, instant deadline, callback on_reply)
{
    pending_entries_.push_back(pending_entry{std::move(record), deadline, std::move(on_reply)});
    if (pending_entries_.size() == 1)
    {
        overdue_timer_.repeat(overdue_check_period);
    }
    if (phase_ == phase::idle)
    {
        run_next_step();
    }
}

bool claim_writer::is_idle() const
{
    return pending_entries_.empty() && phase_ == phase::idle;
}

void claim_writer::run_next_step()
{
    if (phase_ != phase::idle || pending_entries_.empty())
    {
        return;
    }
    if (!loaded_)
    {
        read_first_number();
        return;
    }
    if (!index_known_)
    {
        read_generation(shard_.open_generation().number_);
        return;
    }
    const duration elapsed = context_.clock_.now() - last_write_;
    if (elapsed < min_write_interval)
    {
        next_step_timer_.arm(min_write_interval - elapsed);
        return;
    }
    write();
}

void claim_writer::read_first_number()
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
        first_generation_ = 1;
        first_condition_ = {0, reply.era_};
        if (!reply.entries_.empty())
        {
            const std::string& text = reply.entries_.front().value_;
            std::from_chars(text.data(), text.data() + text.size(), first_generation_);
            first_condition_ = {reply.entries_.front().index_, reply.era_};
        }
        read_era_ = reply.era_;
        shard_ = claim_shard();
        claim_generation empty;
        empty.number_ = first_generation_;
        shard_.load(empty, 0);
        read_generation(first_generation_);
    });
}

void claim_writer::read_generation(std::uint64_t number)
{
    phase_ = phase::loading;
    store_.read(store_key(number),
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
    if (reply.era_ != read_era_)
    {
        // The store was restored from an older copy, which may lack the generations read so far.
        loaded_ = false;
        read_first_number();
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
        shard_.load(*generation, reply.entries_.front().index_);
        if (generation->sealed_)
        {
            shard_.start_next_generation();
            read_generation(number + 1);
            return;
        }
    }
    loaded_ = true;
    index_known_ = true;
    retry_delay_ = min_retry_delay;
    phase_ = phase::idle;
    finish_decided_entries();
    run_next_step();
}

void claim_writer::write()
{
    batch_.clear();
    for (const pending_entry& entry : pending_entries_)
    {
        if (batch_.size() < max_batch_entries)
        {
            batch_.push_back(entry.record_);
        }
    }
    std::vector<claim_result> results;
    const claim_generation next =
        shard_.extend_open_generation(batch_, context_.clock_.wall_ms(), results);
    const std::string bytes = encode_generation(next);
    if (bytes.size() > max_generation_bytes && !shard_.open_generation().records_.empty())
    {
        seal();
        return;
    }
    phase_ = phase::writing;
    last_write_ = context_.clock_.now();
    index_known_ = false;
    context_.metrics_.add(counter::claim_writes);
    store_.write(store_key(next.number_), bytes, {shard_.open_index(), read_era_},
                 [this, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive)
                     {
                         on_written(reply);
                     }
                 });
}

void claim_writer::seal()
{
    claim_generation sealed = shard_.open_generation();
    sealed.sealed_ = true;
    phase_ = phase::writing;
    index_known_ = false;
    context_.metrics_.add(counter::claim_writes);
    store_.write(store_key(sealed.number_), encode_generation(sealed),
                 {shard_.open_index(), read_era_},
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
    // The generation is read back after success and after conflict: this shows which entries are in
    // force, and the index for the next write.
    read_generation(shard_.open_generation().number_);
}

void claim_writer::finish_decided_entries()
{
    const std::int64_t now_ms = context_.clock_.wall_ms();
    for (std::size_t i = pending_entries_.size(); i > 0; --i)
    {
        const claim_record& record = pending_entries_[i - 1].record_;
        const claim_record* current = shard_.find(record.key_, now_ms);
        claim_reply reply;
        reply.decided_ = true;
        if (shard_.contains(record, now_ms))
        {
            reply.result_ = claim_result::accepted;
            finish_entry(i - 1, std::move(reply));
        }
        else if (current != nullptr ? !current->may_be_followed_by(record)
                                    : record.state_ != claim_state::running)
        {
            reply.current_record_ = current != nullptr ? *current : claim_record{};
            finish_entry(i - 1, std::move(reply));
        }
    }
}

void claim_writer::finish_entry(std::size_t position, claim_reply reply)
{
    const callback report = std::move(pending_entries_[position].on_reply_);
    pending_entries_.erase(pending_entries_.begin() + static_cast<std::ptrdiff_t>(position));
    context_.loop_.defer([report, reply = std::move(reply)] { report(reply); });
}

void claim_writer::finish_overdue_entries()
{
    const instant now = context_.clock_.now();
    for (std::size_t i = pending_entries_.size(); i > 0; --i)
    {
        if (pending_entries_[i - 1].deadline_ <= now)
        {
            finish_entry(i - 1, claim_reply{});
        }
    }
    if (pending_entries_.empty())
    {
        overdue_timer_.cancel();
    }
}

void claim_writer::back_off()
{
    phase_ = phase::idle;
    index_known_ = false;
    const double jitter = 0.5 + context_.random_.uniform();
    next_step_timer_.arm(std::chrono::duration_cast<duration>(retry_delay_ * jitter));
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
}

void claim_writer::collect_expired()
{
    const std::int64_t before_ms = context_.clock_.wall_ms() - expiry_margin_ms;
    for (const std::uint64_t number : shard_.expired_generations(before_ms))
    {
        if (number != first_generation_)
        {
            return;
        }
        // The number of the first generation is written before the generation is removed, so that
        // no reader looks for a removed one.
        ++first_generation_;
        store_.write(prefix_ + "first", std::to_string(first_generation_), first_condition_,
                     [this, number, alive = lifetime_.watch()](const store_reply& reply) {
                         if (alive && reply.status_ == store_status::ok)
                         {
                             store_.remove(store_key(number), [](const store_reply&) {});
                         }
                     });
        shard_.remove_generation(number);
        return;
    }
}

std::string claim_writer::store_key(std::uint64_t number) const
{
    return prefix_ + std::to_string(number);
}

} // namespace bamboohoist
