#ifndef BAMBOOHOIST_DAEMON_CONFIGURATION_HPP
#define BAMBOOHOIST_DAEMON_CONFIGURATION_HPP

#include "daemon/chunk_fetcher.hpp"
#include "policy/fleet.hpp"
#include "policy/pending_fetches.hpp"
#include "policy/revision.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>

namespace bamboohoist {

/// The key of the configuration's head in the store.
inline constexpr std::string_view head_key = "bamboohoist/head";

/// Receives new revisions from the configuration.
class configuration_listener
{
public:
    virtual ~configuration_listener() = default;

    /// A revision has been adopted and is to be published to the traffic threads. Once all of them
    /// use it, `configuration::mark_in_force()` has to be called.
    virtual void on_revision_adopted(const ref_ptr<const active_revision>& active) = 0;

    /// The store has this revision; it is fetched if it is newer than the own one.
    virtual void on_revision_known(std::uint64_t revision) = 0;

    /// The store replies again after it did not.
    virtual void on_store_regained() = 0;

    /// The newest known head has changed.
    virtual void on_head_changed(const revision_head& head) = 0;
};

/// Fetches new revisions from the store or from peers, adopts them and serves their chunks to
/// other peers. It never goes back to a lower revision.
class configuration : public child
{
public:
    configuration(const control_context& context, control_link& link, store_client& store,
                  configuration_listener& listener);

    std::string_view name() const override;
    bool start() override;
    void stop() override;

    /// Fetches the head of a peer when the revision that it knows is newer than the own one.
    void check_peer_revision(std::uint64_t revision, bool accepted, const endpoint& peer);

    /// Adopts a head whose content is in the given chunks; used by the node that applies it.
    void install(const revision_head& head, const chunk_map& chunks);

    /// All traffic threads use this revision.
    void mark_in_force(std::uint64_t revision);

    /// Sets whether this node watches the store, and how many nodes of its failure domain do so,
    /// this one included.
    void set_watching(bool watching, std::size_t watchers);

    /// The store was restored from an older copy: the watch begins with a new read, and an older
    /// revision that the copy holds stays out of force.
    void on_writes_lost();

    const revision_head& head() const;
    std::uint64_t revision_in_force() const;
    const ref_ptr<const active_revision>& active() const;

    /// The manifest in force as JSON text; empty when there is none.
    std::string manifest_text() const;

private:
    static std::string describe(const revision_source& from);

    void watch();
    void on_watched(const store_reply& reply);
    void schedule_watch(duration delay);
    /// Records an event when the store becomes unavailable or available again.
    void report_store_state(const store_reply& reply);
    void fetch_revision(const revision_head& head, const revision_source& from);
    /// Fetches the chunks that are listed in the chunk list of the head.
    void fetch_content(const revision_head& head, const revision_source& from);
    /// Parses the manifest of a head from its chunks and adopts it.
    void assemble(const revision_head& head, const revision_source& from);
    void adopt(const revision_head& head, ref_ptr<const manifest> content,
               const revision_source& from);
    /// Ends the fetch that brought this head.
    void end_fetch(const revision_head& head, const revision_source& from);
    void end_fetch_from_peer(const endpoint& peer, bool delivered);
    /// Logs that a peer did not deliver a newer revision.
    void report_failed_fetch(const endpoint& peer, instant begun);
    /// Logs, once for each time that the store was restored, that it holds an older revision.
    void report_older_head(const revision_head& stored);
    void record_head(const revision_head& head, std::string_view rule, const revision_source& from);
    std::optional<std::string> handle_head(std::string_view body);

    const control_context& context_;
    control_link& link_;
    store_client& store_;
    configuration_listener& listener_;
    revision_head head_;
    std::uint64_t in_force_ = 0;
    std::uint64_t watch_index_ = 0;
    ref_ptr<const active_revision> active_;
    chunk_fetcher chunks_;
    bool watching_ = true; ///< Until a peer of the failure domain is known that watches.
    std::size_t watchers_ = 1;
    bool watch_pending_ = false;
    bool watch_scheduled_ = false;
    bool store_restored_ = false; ///< And its head was not read since.
    bool store_available_ = true;
    instant store_replied_at_; ///< The latest reply to a watch.
    bool running_ = false;
    pending_fetches fetches_;
    duration retry_delay_;
    lifetime lifetime_;
};

} // namespace bamboohoist

#endif
