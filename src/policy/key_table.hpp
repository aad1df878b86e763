#ifndef BAMBOOHOIST_POLICY_KEY_TABLE_HPP
#define BAMBOOHOIST_POLICY_KEY_TABLE_HPP

#include "core/key_digest.hpp"
#include "policy/manifest.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bamboohoist {

/// Finds the organisation that holds an API key. Built once per revision. It contains and compares
/// digests only, so that the time of a look-up reveals nothing about a key.
class key_table
{
public:
    explicit key_table(std::span<const organisation_spec> organisations);

    /// The index in the manifest of the organisation that declares this digest. Empty, without a
    /// reason, when none does, and when several do: such a key identifies none of them.
    std::optional<std::uint32_t> find(const key_digest& digest) const;

private:
    struct entry
    {
        key_digest digest_;
        std::uint32_t organisation_ = 0;
    };

    /// Searched by the hash alone; entries of one hash are then compared as a whole.
    static std::size_t hash_of(const entry& element);

    std::vector<entry> entries_; ///< Sorted by hash, with each digest once.
};

} // namespace bamboohoist

#endif
