#include "policy/key_table.hpp"

#include <algorithm>

namespace bamboohoist {

key_table::key_table(std::span<const organisation_spec> organisations)
{
    std::vector<entry> declared;
    for (std::size_t i = 0; i < organisations.size(); ++i)
    {
        for (const key_digest& digest : organisations[i].keys_)
        {
            declared.push_back({digest, static_cast<std::uint32_t>(i)});
        }
    }
    std::ranges::sort(declared, [](const entry& left, const entry& right) {
        const std::size_t left_hash = hash_of(left);
        const std::size_t right_hash = hash_of(right);
        return left_hash != right_hash ? left_hash < right_hash
                                       : left.digest_.bytes_ < right.digest_.bytes_;
    });
    entries_.reserve(declared.size());
    for (auto first = declared.begin(); first != declared.end();)
    {
        const auto last = std::find_if(first, declared.end(), [&](const entry& other) {
            return !(other.digest_ == first->digest_);
        });
        const bool shared = std::any_of(first, last, [&](const entry& other) {
            return other.organisation_ != first->organisation_;
        });
        if (!shared)
        {
            entries_.push_back(*first);
        }
        first = last;
    }
}

std::optional<std::uint32_t> key_table::find(const key_digest& digest) const
{
    const std::size_t hash = key_digest_hash{}(digest);
    auto candidate = std::ranges::lower_bound(entries_, hash, {}, &key_table::hash_of);
    for (; candidate != entries_.end() && hash_of(*candidate) == hash; ++candidate)
    {
        if (candidate->digest_ == digest)
        {
            return candidate->organisation_;
        }
    }
    return std::nullopt;
}

std::size_t key_table::hash_of(const entry& element)
{
    return key_digest_hash{}(element.digest_);
}

} // namespace bamboohoist
