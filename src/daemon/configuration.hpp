#ifndef BAMBOOHOIST_DAEMON_CONFIGURATION_HPP
#define BAMBOOHOIST_DAEMON_CONFIGURATION_HPP

#include "config/chunks.hpp"
#include "daemon/control_link.hpp"
#include "policy/fleet.hpp"
#include "policy/revision.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>

namespace bamboohoist {

/// Store keys and chunk addresses of the configuration.
inline constexpr std::string_view head_key = "bamboohoist/head";
inline constexpr std::string_view chunk_prefix = "bamboohoist/chunks/";

/// What the configuration tells the rest of control.
class configuration_listener
{
public:
    virtual ~configuration_listener() = default;

    /// A revision is to be taken into force by the traffic threads. `on_in_force` of the
    /// configuration has to be called once they have it.
    virtual void on_revision(const ref_ptr<const active_revision>& active) = 0;

    /// The newest known head has changed.
    virtual void on_head(const revision_head& head) = 0;
};

/// Learns revisions from the store or from peers, keeps their chunks for other peers and takes
/// them into force. It never goes back to a lower revision.
class configuration : public child
{
public:
    configuration(const control_context& context, control_link& link, store_client& store,
                  configuration_listener& listener);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// A peer knows this revision.
    void hear(std::uint64_t revision, bool accepted, const endpoint& peer);

    /// Takes a head whose content is in these chunks, as the node that applies it does.
    void install(const revision_head& head, const chunk_map& chunks);

    /// The traffic threads have this revision.
    void mark_in_force(std::uint64_t revision);

    /// Whether this node watches the store for its failure domain.
    void set_watching(bool watching);

    const revision_head& head() const;
    std::uint64_t revision_in_force() const;
    const ref_ptr<const active_revision>& active() const;

    /// The manifest in force as JSON text; empty when there is none.
    std::string content_text() const;

private:
    /// Where the parts of a revision come from.
    struct source
    {
        std::optional<endpoint> peer_; ///< The store when empty.
    };

    void watch();
    void on_watched(const store_reply& reply);
    /// Tells when the store is lost and when it is back.
    void note_store(const store_reply& reply);
    void learn(const revision_head& head, const source& from);
    void fetch(std::span<const std::string> addresses, const source& from,
               std::function<void()> on_complete);
    void fetch_from_peer(std::span<const std::string> addresses, const endpoint& peer,
                         std::function<void()> on_complete);
    void fetch_from_store(std::span<const std::string> addresses,
                          std::function<void()> on_complete);
    bool keep_chunk(std::string_view address, std::string bytes);
    std::vector<std::string> absent(std::span<const std::string> addresses) const;
    void fetch_pieces(const revision_head& head, const source& from);
    void finish(const revision_head& head);
    void adopt(const revision_head& head, ref_ptr<const manifest> content);
    void end_learning();
    void record_head(const revision_head& head, std::string_view rule);
    std::optional<std::string> answer_head(std::string_view body);
    std::optional<std::string> answer_chunks(std::string_view body);

    const control_context& context_;
    control_link& link_;
    store_client& store_;
    configuration_listener& listener_;
    revision_head head_;
    std::uint64_t in_force_ = 0;
    std::uint64_t watch_index_ = 0;
    ref_ptr<const active_revision> active_;
    chunk_map chunks_;     ///< Of the present content, and of the one being learnt.
    bool watching_ = true; ///< Until a peer of the domain is known to do so.
    bool watch_pending_ = false;
    bool store_answers_ = true;
    bool running_ = false;
    bool learning_ = false;
    duration retry_delay_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
