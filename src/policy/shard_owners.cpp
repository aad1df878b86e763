#include "policy/shard_owners.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

namespace {

/// Combines the hashes of a node and a shard. Hashing both names again for each pair would take ten
/// times as long.
std::uint64_t combine(std::uint64_t node, std::uint64_t shard)
{
    // The finalizer of SplitMix64.
    std::uint64_t mixed = node ^ shard;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace

shard_owners::shard_owners(std::vector<shard_node> nodes)
    : nodes_(std::move(nodes)), shards_(shard_count)
{
    std::ranges::sort(nodes_);
    std::vector<std::uint64_t> node_hashes;
    for (const shard_node& node : nodes_)
    {
        node_hashes.push_back(hash_text(node.node_));
    }
    for (std::size_t shard = 0; shard < shard_count; ++shard)
    {
        const std::uint64_t shard_hash = hash_text(std::to_string(shard));
        ranked& owners = shards_[shard];
        std::uint64_t first_hash = 0;
        std::uint64_t second_hash = 0;
        for (std::uint32_t i = 0; i < node_hashes.size(); ++i)
        {
            const std::uint64_t hash = combine(node_hashes[i], shard_hash);
            if (owners.first_ == no_node || hash > first_hash)
            {
                owners.second_ = owners.first_;
                second_hash = first_hash;
                owners.first_ = i;
                first_hash = hash;
            }
            else if (owners.second_ == no_node || hash > second_hash)
            {
                owners.second_ = i;
                second_hash = hash;
            }
        }
    }
}

std::size_t shard_owners::shard_of(std::string_view organisation)
{
    return hash_text(organisation) % shard_count;
}

const shard_node* shard_owners::first(std::size_t shard) const
{
    return at(shards_[shard].first_);
}

const shard_node* shard_owners::second(std::size_t shard) const
{
    return at(shards_[shard].second_);
}

std::span<const shard_node> shard_owners::nodes() const
{
    return nodes_;
}

const shard_node* shard_owners::at(std::uint32_t index) const
{
    return index == no_node ? nullptr : &nodes_[index];
}

} // namespace bamboohoist
