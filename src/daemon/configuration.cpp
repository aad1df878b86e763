#include "daemon/configuration.hpp"

#include "config/head_json.hpp"
#include "config/manifest_json.hpp"
#include "loop/run_after.hpp"
#include "policy/watch_wait.hpp"

#include <algorithm>
#include <malloc.h>
#include <utility>

namespace bamboohoist {

namespace {

constexpr duration min_retry_delay = std::chrono::milliseconds(500);
constexpr duration max_retry_delay = std::chrono::milliseconds(800);

} // namespace

configuration::configuration(const control_context& context, control_link& link,
                             store_client& store, configuration_listener& listener)
    : context_(context), link_(link), store_(store), listener_(listener),
      chunks_(context, link, store), retry_delay_(min_retry_delay)
{
    link_.add_responder("/head", [this](std::string_view body) { return handle_head(body); });
}

std::string_view configuration::name() const
{
    return "configuration";
}

bool configuration::start()
{
    running_ = true;
    store_replied_at_ = context_.clock_.now();
    watch();
    return true;
}

void configuration::stop()
{
    running_ = false;
}

void configuration::check_peer_revision(std::uint64_t revision, bool accepted, const endpoint& peer)
{
    const bool newer =
        revision > head_.revision_ || (revision == head_.revision_ && accepted && !head_.accepted_);
    if (!newer || !fetches_.begin_from_peer(to_string(peer), context_.clock_.now()))
    {
        return;
    }
    link_.call(peer, "/head", "",
               [this, peer, alive = lifetime_.watch()](const std::optional<std::string>& body) {
                   if (!alive)
                   {
                       return;
                   }
                   const auto head = body ? parse_head(*body) : std::nullopt;
                   if (!head)
                   {
                       end_fetch_from_peer(peer, false);
                       return;
                   }
                   fetch_revision(*head, revision_source{revision_origin::peer, peer});
               });
}

void configuration::install(const revision_head& head, const chunk_map& chunks)
{
    chunks_.insert(chunks);
    if (should_adopt(head_, head))
    {
        assemble(head, revision_source{revision_origin::local, {}});
    }
}

void configuration::mark_in_force(std::uint64_t revision)
{
    in_force_ = std::max(in_force_, revision);
}

void configuration::set_watching(bool watching, std::size_t watchers)
{
    watching_ = watching;
    watchers_ = watchers;
    // This is called at each change of members, which must not shorten the pause after a failure.
    if (watching_ && !watch_pending_ && !watch_scheduled_)
    {
        watch();
    }
}

void configuration::on_writes_lost()
{
    watch_index_ = 0;
    store_restored_ = true;
}

const revision_head& configuration::head() const
{
    return head_;
}

std::uint64_t configuration::revision_in_force() const
{
    return in_force_;
}

const ref_ptr<const active_revision>& configuration::active() const
{
    return active_;
}

std::string configuration::manifest_text() const
{
    return chunks_.text_of(head_.content_).value_or("");
}

void configuration::watch()
{
    if (!running_ || !watching_ || watch_pending_)
    {
        return;
    }
    watch_pending_ = true;
    store_.watch(head_key, watch_index_, watch_wait(watchers_, context_.random_),
                 [this, alive = lifetime_.watch()](const store_reply& reply) {
                     if (alive)
                     {
                         watch_pending_ = false;
                         on_watched(reply);
                     }
                 });
}

void configuration::on_watched(const store_reply& reply)
{
    report_store_state(reply);
    if (reply.status_ == store_status::unavailable)
    {
        // The random factor keeps the nodes from all reconnecting at once after an outage.
        const duration delay =
            std::chrono::duration_cast<duration>(retry_delay_ * (0.5 + context_.random_.uniform()));
        retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
        watch_index_ = 0;
        schedule_watch(delay);
        return;
    }
    retry_delay_ = min_retry_delay;
    watch_index_ = reply.index_;
    store_replied_at_ = context_.clock_.now();
    context_.metrics_.record_time(moment::store_reply, context_.clock_.wall_ms());
    if (!watching_)
    {
        // Another node of the failure domain watches by now, and gossip brings its revisions. If
        // this node went on, every node would read each change from the store at the same time.
        return;
    }
    if (!reply.entries_.empty())
    {
        const auto head = parse_head(reply.entries_.front().value_);
        if (head)
        {
            listener_.on_revision_known(head->revision_);
        }
        if (head && std::exchange(store_restored_, false) && head->revision_ < head_.revision_)
        {
            report_older_head(*head);
        }
        if (head && fetches_.begin_from_store(context_.clock_.now()))
        {
            fetch_revision(*head, revision_source{});
        }
        else if (head)
        {
            // A revision is being read from the store already; read the head again afterwards.
            watch_index_ = 0;
        }
    }
    schedule_watch(fetches_.store_pending() ? min_retry_delay : duration::zero());
}

void configuration::schedule_watch(duration delay)
{
    watch_scheduled_ = true;
    run_after(context_.loop_, delay, [this, alive = lifetime_.watch()] {
        if (alive)
        {
            watch_scheduled_ = false;
            watch();
        }
    });
}

void configuration::report_store_state(const store_reply& reply)
{
    const bool available = reply.status_ != store_status::unavailable;
    if (available == store_available_)
    {
        return;
    }
    store_available_ = available;
    event entry;
    entry.subject_ = "store " + to_string(context_.settings_.store_);
    entry.what_ = available ? "store regained" : "store lost";
    entry.rule_ = "dependency: watch of the configuration in the store";
    const auto silent_ms = static_cast<long>(to_ms(context_.clock_.now() - store_replied_at_));
    entry.evidence_ = (available ? "at index " + std::to_string(reply.index_) : reply.text_) +
                      ", latest reply " + std::to_string(silent_ms) + " ms ago";
    entry.revision_ = head_.revision_;
    context_.record(std::move(entry));
    if (available)
    {
        listener_.on_store_regained();
    }
}

void configuration::fetch_revision(const revision_head& head, const revision_source& from)
{
    if (!should_adopt(head_, head))
    {
        end_fetch(head, from);
        return;
    }
    if (head.content_.empty() || head.content_ == head_.content_)
    {
        assemble(head, from);
        end_fetch(head, from);
        return;
    }
    const std::string list = head.content_;
    chunks_.fetch(std::span(&list, 1), from, [this, head, from] { fetch_content(head, from); });
}

void configuration::fetch_content(const revision_head& head, const revision_source& from)
{
    const auto addresses = chunks_.list_of(head.content_);
    if (!addresses)
    {
        end_fetch(head, from);
        return;
    }
    chunks_.fetch(*addresses, from, [this, head, from] {
        if (should_adopt(head_, head))
        {
            assemble(head, from);
        }
        end_fetch(head, from);
    });
}

void configuration::assemble(const revision_head& head, const revision_source& from)
{
    if (head.content_.empty())
    {
        // The withdrawal of the very first proposal leaves no configuration in force.
        adopt(head, nullptr, from);
        return;
    }
    if (head.content_ == head_.content_ && active_)
    {
        adopt(head, active_->manifest_, from);
        return;
    }
    const auto text = chunks_.text_of(head.content_);
    const auto content = text ? parse_validated_manifest(*text) : std::nullopt;
    if (!content)
    {
        log_failure("configuration", "cannot read revision " + std::to_string(head.revision_) +
                                         ": " + last_reason().text_);
        return;
    }
    adopt(head, *content, from);
    // Parsing leaves free memory of several times the size of the manifest in the allocator.
    ::malloc_trim(0);
    chunks_.keep_only(head);
}

void configuration::adopt(const revision_head& head, ref_ptr<const manifest> content,
                          const revision_source& from)
{
    const bool same_revision = head.revision_ == head_.revision_;
    head_ = head;
    record_head(head,
                same_revision ? "configuration: in force in every failure domain"
                              : "configuration: newer than the previous revision",
                from);
    context_.metrics_.add(counter::config_changes);
    context_.metrics_.record_time(moment::revision_adopted, context_.clock_.wall_ms());
    if (!same_revision)
    {
        active_ = content ? ref_ptr<const active_revision>(
                                new active_revision(head.revision_, std::move(content)))
                          : nullptr;
        listener_.on_revision_adopted(active_);
    }
    listener_.on_head_changed(head_);
}

void configuration::end_fetch(const revision_head& head, const revision_source& from)
{
    switch (from.origin_)
    {
    case revision_origin::store:
        fetches_.end_from_store();
        break;
    case revision_origin::peer:
        end_fetch_from_peer(from.peer_, !should_adopt(head_, head));
        break;
    case revision_origin::local:
        break;
    }
}

void configuration::end_fetch_from_peer(const endpoint& peer, bool delivered)
{
    const auto begun = fetches_.end_from_peer(to_string(peer), delivered, context_.clock_.now());
    if (begun && !delivered)
    {
        report_failed_fetch(peer, *begun);
    }
}

void configuration::report_failed_fetch(const endpoint& peer, instant begun)
{
    context_.metrics_.add(counter::config_fetches_failed);
    event entry;
    entry.subject_ = "peer " + to_string(peer);
    entry.what_ = "fetch failed";
    entry.rule_ = "configuration: the peer knows a newer revision and does not deliver it";
    entry.evidence_ = "not delivered for " +
                      std::to_string(static_cast<long>(to_ms(context_.clock_.now() - begun))) +
                      " ms, this node has revision " + std::to_string(head_.revision_);
    entry.revision_ = head_.revision_;
    context_.record(std::move(entry));
}

void configuration::report_older_head(const revision_head& stored)
{
    event entry;
    entry.subject_ = "revision " + std::to_string(stored.revision_);
    entry.what_ = "stays out of force";
    entry.rule_ = "configuration: the restored store holds an older revision than this node";
    entry.evidence_ = "this node keeps revision " + std::to_string(head_.revision_) +
                      " until a newer one is written";
    entry.revision_ = head_.revision_;
    context_.record(std::move(entry));
}

std::string configuration::describe(const revision_source& from)
{
    switch (from.origin_)
    {
    case revision_origin::store:
        return "from the store";
    case revision_origin::peer:
        return "from peer " + to_string(from.peer_);
    case revision_origin::local:
        return "applied here";
    }
    return {};
}

void configuration::record_head(const revision_head& head, std::string_view rule,
                                const revision_source& from)
{
    event entry;
    entry.subject_ = "revision " + std::to_string(head.revision_);
    entry.what_ = head.withdrawn_ != 0 ? "withdraws revision " + std::to_string(head.withdrawn_)
                  : head.accepted_     ? "accepted"
                                       : "proposed";
    entry.rule_ = std::string(rule);
    entry.evidence_ = "operation " + head.operation_ + ", " + describe(from);
    entry.revision_ = head.revision_;
    entry.note_ = head.note_.who_ + ": " + head.note_.why_;
    context_.record(std::move(entry));
}

std::optional<std::string> configuration::handle_head(std::string_view)
{
    if (head_.revision_ == 0)
    {
        return std::nullopt;
    }
    return write_head(head_);
}

} // namespace bamboohoist
