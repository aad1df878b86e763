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

/// How far a claimed request has come.
enum class claim_state : std::uint8_t
{
    running,  ///< Claimed; its guard may have sent it.
    done,     ///< It has ended, and this is its answer, if there is one.
    released, ///< It was certainly not run; the key may be claimed again.
};

/// One entry about an idempotency key. The newest entry of a key holds.
struct claim_record
{
    std::string key_;               ///< Digest of service, organisation and key.
    std::uint64_t fingerprint_ = 0; ///< Of the request, to notice a key used for another one.
    std::string owner_;             ///< Names the caller's request that claimed it; unique.
    std::uint32_t attempt_ = 1;     ///< Of that request. A later attempt follows a "not run".
    claim_state state_ = claim_state::running;
    std::int64_t expires_ms_ = 0; ///< Milliseconds since the Unix epoch.
    bool response_kept_ = false;  ///< False when there was none or it was too large to keep.
    bool ran_ = false;            ///< Whether the end was seen; it may have run otherwise.
    response_message response_;

    /// Whether `next` may follow this entry: only its owner goes on with a claim.
    bool may_be_followed_by(const claim_record& next) const;

    /// Whether both are the same step of the same attempt.
    bool is_same_step(const claim_record& other) const;
};

/// A value of the store: some entries of one shard. Only the last generation takes new entries.
struct claim_generation
{
    std::uint64_t number_ = 1;
    bool sealed_ = false;
    std::vector<claim_record> records_;
};

/// What became of one entry that was to be written.
enum class claim_result
{
    accepted, ///< It is the newest entry of its key.
    refused,  ///< Another entry holds.
};

/// All that is known of one shard: the sealed generations and the open one. Decides which entries
/// may follow; the store's compare-and-swap on the open generation makes the decision final.
class claim_shard
{
public:
    /// Takes a generation as it was read from the store.
    void load(const claim_generation& generation, std::uint64_t index);

    /// The newest entry of a key; null when there is none or it has expired.
    const claim_record* find(std::string_view key, std::int64_t now_ms) const;

    /// The open generation with the entries that may follow, and the verdict on each. Nothing is
    /// changed until the write has succeeded and the generation is loaded again.
    claim_generation extend_open_generation(std::span<const claim_record> wanted,
                                            std::int64_t now_ms,
                                            std::vector<claim_result>& verdicts) const;

    /// Whether the entry stands in the book as its owner wrote it.
    bool contains(const claim_record& wanted, std::int64_t now_ms) const;

    /// The open generation and the index under which it was read; 0 when it does not exist yet.
    const claim_generation& open_generation() const;
    std::uint64_t open_index() const;

    /// The generation that follows the sealed open one.
    void start_next_generation();

    /// Numbers of sealed generations all of whose entries expired before the given time.
    std::vector<std::uint64_t> expired_generations(std::int64_t before_ms) const;
    void remove_generation(std::uint64_t number);

    std::size_t size() const;

private:
    struct sealed_summary
    {
        std::int64_t last_expiry_ms_ = 0;
    };

    void enter(const claim_record& record);

    claim_generation open_;
    std::uint64_t open_index_ = 0;
    std::unordered_map<std::string, claim_record> newest_; ///< By key, of sealed generations.
    std::unordered_map<std::string, claim_record> in_open_;
    std::unordered_map<std::uint64_t, sealed_summary> sealed_;
};

/// The digest under which a key is entered.
std::string claim_digest(std::string_view service, std::string_view organisation,
                         std::string_view key);

/// The shard of a digest.
std::uint32_t claim_shard_index(std::string_view claim_digest, std::uint32_t shards);

} // namespace bamboohoist

#endif
