#ifndef BAMBOOHOIST_DAEMON_CLAIM_WRITER_HPP
#define BAMBOOHOIST_DAEMON_CLAIM_WRITER_HPP

#include "core/lifetime.hpp"
#include "daemon/traffic_context.hpp"
#include "loop/timer.hpp"
#include "store/store_client.hpp"
#include "wire/claim_codec.hpp"

#include <deque>
#include <functional>
#include <string>

namespace bamboohoist {

/// Writes the entries of one shard to the store. All waiting entries go into one compare-and-swap,
/// and there is a minimum interval between writes, so that their rate does not grow with the rate
/// of requests.
class claim_writer
{
public:
    using callback = std::function<void(claim_reply)>;

    claim_writer(const traffic_context& context, store_client& store, std::uint32_t shard);

    /// Writes an entry, or finds that another entry has the key. When the deadline passes first,
    /// the reply is undecided: the entry may or may not have been written, and only its owner may
    /// continue the claim.
    void submit(claim_record record, instant deadline, callback on_reply);

    bool is_idle() const;

private:
    struct pending_entry
    {
        claim_record record_;
        instant deadline_;
        callback on_reply_;
    };

    enum class phase
    {
        idle,
        loading,
        writing,
    };

    void run_next_step();
    void read_first_number();
    void read_generation(std::uint64_t number);
    void on_generation(std::uint64_t number, const store_reply& reply);
    void write();
    void seal();
    void on_written(const store_reply& reply);
    void finish_decided_entries();
    void finish_entry(std::size_t position, claim_reply reply);
    void finish_overdue_entries();
    void back_off();
    void collect_expired();
    std::string store_key(std::uint64_t number) const;

    const traffic_context& context_;
    store_client& store_;
    std::string prefix_;
    claim_shard shard_;
    std::deque<pending_entry> pending_entries_;
    std::vector<claim_record> batch_;
    phase phase_ = phase::idle;
    bool loaded_ = false;                   ///< All generations were read once.
    bool index_known_ = false;              ///< The open generation was read since the last write.
    std::uint64_t first_generation_ = 1;    ///< The oldest generation that is kept.
    store_condition first_condition_;       ///< Of the next write of `first_generation_`.
    std::optional<std::uint64_t> read_era_; ///< Of the store when the generations were read.
    instant last_write_;
    duration retry_delay_;
    timer next_step_timer_;
    timer overdue_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
