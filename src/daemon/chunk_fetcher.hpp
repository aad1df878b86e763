#ifndef BAMBOOHOIST_DAEMON_CHUNK_FETCHER_HPP
#define BAMBOOHOIST_DAEMON_CHUNK_FETCHER_HPP

#include "config/chunks.hpp"
#include "daemon/control_link.hpp"
#include "policy/revision.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboohoist {

/// The prefix before the address of a chunk in the store.
inline constexpr std::string_view chunk_prefix = "bamboohoist/chunks/";

/// Where a revision comes from.
enum class revision_origin : std::uint8_t
{
    store,
    peer,
    local, ///< Applied by this node.
};

struct revision_source
{
    revision_origin origin_ = revision_origin::store;
    endpoint peer_; ///< Only if the origin is a peer.
};

/// Keeps the chunks of the current content and of the one that is being fetched, fetches missing
/// ones from the store or from a peer, and serves them to other peers.
class chunk_fetcher
{
public:
    chunk_fetcher(const control_context& context, control_link& link, store_client& store);

    void insert(const chunk_map& chunks);

    /// Fetches those of the chunks that are missing. The callback runs also when some still are.
    void fetch(std::span<const std::string> addresses, const revision_source& from,
               std::function<void()> on_complete);

    /// The addresses in the chunk list of a content; empty when the list is missing or unreadable.
    std::optional<std::vector<std::string>> list_of(std::string_view content) const;

    /// The text of a content; empty when a chunk is missing.
    std::optional<std::string> text_of(std::string_view content) const;

    /// Drops the chunks of older contents, except the fallback, which a withdrawal restores.
    void keep_only(const revision_head& head);

private:
    void fetch_from_peer(std::span<const std::string> addresses, const endpoint& peer,
                         std::function<void()> on_complete);
    void fetch_from_store(std::span<const std::string> addresses,
                          std::function<void()> on_complete);
    /// Keeps a chunk if its bytes match its address.
    bool add(std::string_view address, std::string bytes);
    std::vector<std::string> missing(std::span<const std::string> addresses) const;
    std::optional<std::string> handle_chunks(std::string_view body);

    const control_context& context_;
    control_link& link_;
    store_client& store_;
    chunk_map chunks_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
