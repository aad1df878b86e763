#ifndef BAMBOOHOIST_POLICY_CLAIM_SHARD_HPP
#define BAMBOOHOIST_POLICY_CLAIM_SHARD_HPP

#include "core/message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboohoist {

/// The progress of a claimed request.
enum class claim_state : std::uint8_t
{
    running,  ///< Claimed; the guard may have sent it to its target.
    done,     ///< Ended; the record holds its response if that was kept.
    released, ///< Certainly not run; the key may be claimed again.
};

/// One entry for an idempotency key. The newest entry of a key is the valid one.
struct claim_record
{
    std::string key_;               ///< Digest of service, organisation and key.
    std::uint64_t fingerprint_ = 0; ///< Of the request; detects reuse of a key for another request.
    std::string owner_;             ///< Unique id of the caller's request that claimed the key.
    std::uint32_t attempt_ = 1;     ///< Of that request; rises when an attempt was not run.
    claim_state state_ = claim_state::running;
    std::int64_t expires_ms_ = 0; ///< Milliseconds since the Unix epoch.
    bool response_kept_ = false;  ///< False when there was no response or it was too large.
    bool ran_ = false;            ///< True when it certainly ran; if false it may have run.
    response_message response_;

    /// Whether `next` may replace this entry. A claim is continued by its owner only.
    bool may_be_followed_by(const claim_record& next) const;

    /// Whether both entries describe the same state of the same attempt.
    bool is_same_step(const claim_record& other) const;
};

/// Part of the entries of one shard, stored as one value. Entries are added to the last generation
/// only; earlier ones are sealed.
struct claim_generation
{
    std::uint64_t number_ = 1;
    bool sealed_ = false;
    std::vector<claim_record> records_;
};

/// The result for one entry that was to be written.
enum class claim_result
{
    accepted, ///< It is the newest entry of its key.
    refused,  ///< Another entry of the key is valid.
};

/// The known entries of one shard, in its sealed generations and its open one. Decides which new
/// entries are allowed; the store's compare-and-swap on the open generation makes that final.
class claim_shard
{
public:
    /// Adds a generation as it was read from the store.
    void load(const claim_generation& generation, std::uint64_t index);

    /// The newest entry of a key; null when there is none or it has expired.
    const claim_record* find(std::string_view key, std::int64_t now_ms) const;

    /// Returns a copy of the open generation with the allowed entries appended, and the result for
    /// each entry. This object changes only when the written generation is loaded again.
    claim_generation extend_open_generation(std::span<const claim_record> requested,
                                            std::int64_t now_ms,
                                            std::vector<claim_result>& results) const;

    /// Whether the newest entry of the key is this entry.
    bool contains(const claim_record& requested, std::int64_t now_ms) const;

    /// The open generation and the index under which it was read; 0 when it does not exist yet.
    const claim_generation& open_generation() const;
    std::uint64_t open_index() const;

    /// Starts an empty generation after the open one was sealed.
    void start_next_generation();

    /// The numbers of sealed generations whose entries all expired before the given time.
    std::vector<std::uint64_t> expired_generations(std::int64_t before_ms) const;
    void remove_generation(std::uint64_t number);

    std::size_t size() const;

private:
    struct sealed_summary
    {
        std::int64_t last_expiry_ms_ = 0;
    };

    void insert_sealed(const claim_record& record);

    claim_generation open_;
    std::uint64_t open_index_ = 0;
    /// The newest entry of each key in the sealed generations.
    std::unordered_map<std::string, claim_record> sealed_records_;
    /// The newest entry of each key in the open generation.
    std::unordered_map<std::string, claim_record> open_records_;
    std::unordered_map<std::uint64_t, sealed_summary> sealed_;
};

/// The digest that identifies an idempotency key in the store.
std::string claim_digest(std::string_view service, std::string_view organisation,
                         std::string_view key);

/// The index of the shard that holds a digest.
std::uint32_t claim_shard_index(std::string_view claim_digest, std::uint32_t shards);

} // namespace bamboohoist

#endif
