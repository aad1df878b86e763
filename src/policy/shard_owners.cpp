#include "policy/shard_owners.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace bamboohoist {

shard_owners::shard_owners(std::vector<shard_node> nodes) : nodes_(std::move(nodes))
{
    std::ranges::sort(nodes_);
    for (std::size_t shard = 0; shard < shard_count; ++shard)
    {
        ranked& owners = shards_[shard];
        std::uint64_t first_hash = 0;
        std::uint64_t second_hash = 0;
        for (std::uint32_t i = 0; i < nodes_.size(); ++i)
        {
            const std::uint64_t hash = hash_text(nodes_[i].node_, shard + 1);
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
