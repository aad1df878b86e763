#ifndef BAMBOOHOIST_POLICY_SHARD_OWNERS_HPP
#define BAMBOOHOIST_POLICY_SHARD_OWNERS_HPP

#include "core/ref_counted.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohoist {

/// A node that can own shards of quotas.
struct shard_node
{
    std::string node_;
    std::string guard_address_; ///< `address:port` of its guard, as reached from this node.

    auto operator<=>(const shard_node&) const = default;
};

/// The owners of the shards into which organisations are divided: of each shard, the two present
/// nodes with the highest rendezvous hash. When the first one goes, the second one is the owner; so
/// the second one is also whom to ask when the first one cannot be reached. Immutable.
class shard_owners : public ref_counted<shard_owners>
{
public:
    /// Enough shards for 660 nodes to own about as many organisations each. With 64 shards at most
    /// 64 nodes would be owners, and get ten times the mean number of asks.
    static constexpr std::size_t shard_count = 4096;

    explicit shard_owners(std::vector<shard_node> nodes);

    static std::size_t shard_of(std::string_view organisation);

    /// The owner of a shard; null when there is no node.
    const shard_node* first(std::size_t shard) const;

    /// The node that becomes the owner when the first one goes; null when there is none.
    const shard_node* second(std::size_t shard) const;

    /// All nodes, ordered by name.
    std::span<const shard_node> nodes() const;

private:
    static constexpr std::uint32_t no_node = ~0U;

    struct ranked
    {
        std::uint32_t first_ = no_node;
        std::uint32_t second_ = no_node;
    };

    const shard_node* at(std::uint32_t index) const;

    std::vector<shard_node> nodes_;
    std::vector<ranked> shards_;
};

} // namespace bamboohoist

#endif
