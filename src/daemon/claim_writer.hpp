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

/// Writes the entries of one shard to the store: whatever waits goes into one compare-and-swap,
/// and writes keep a distance, so that their number does not grow with the requests.
class claim_writer
{
public:
    using callback = std::function<void(claim_reply)>;

    claim_writer(const traffic_context& context, store_client& store, std::uint32_t shard);

    /// Writes an entry, or finds out that another one holds. Not settled when the deadline passes
    /// first; whether it was written is then unknown, and its owner alone may go on with it.
    void submit(claim_record wanted, instant deadline, callback on_reply);

    bool idle() const;

private:
    struct pending
    {
        claim_record wanted_;
        instant deadline_;
        callback on_reply_;
    };

    enum class phase
    {
        idle,
        loading,
        writing,
    };

    void step();
    void read_first();
    void read_generation(std::uint64_t number);
    void on_generation(std::uint64_t number, const store_reply& reply);
    void write();
    void seal();
    void on_written(const store_reply& reply);
    void settle_held();
    void settle(std::size_t position, claim_reply reply);
    void drop_late();
    void back_off();
    void collect_expired();
    std::string key_of(std::uint64_t number) const;

    const traffic_context& context_;
    store_client& store_;
    std::string prefix_;
    claim_shard book_;
    std::deque<pending> waiting_;
    std::vector<claim_record> in_write_;
    phase phase_ = phase::idle;
    bool loaded_ = false;      ///< All generations were read once.
    bool index_known_ = false; ///< The open generation was read since the last write.
    std::uint64_t first_ = 1;  ///< The oldest generation that is still kept.
    std::uint64_t head_index_ = 0;
    instant last_write_;
    duration retry_delay_;
    timer step_timer_;
    timer late_timer_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
