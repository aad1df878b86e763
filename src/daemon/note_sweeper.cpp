#include "daemon/note_sweeper.hpp"

#include "config/recovery_json.hpp"

#include <cmath>

namespace bamboohoist {

note_sweeper::note_sweeper(const control_context& context, store_client& store,
                           const membership& members, duration period)
    : context_(context), store_(store), members_(members), period_(period),
      timer_(context.loop_, [this] { take_turn(); })
{
}

void note_sweeper::start()
{
    running_ = true;
    schedule();
}

void note_sweeper::stop()
{
    running_ = false;
    timer_.cancel();
}

void note_sweeper::schedule()
{
    // Exponentially distributed: the time that is left does not depend on that since the start.
    const double periods = -std::log(1.0 - context_.random_.uniform());
    timer_.arm(std::chrono::duration_cast<duration>(period_ * periods));
}

void note_sweeper::take_turn()
{
    schedule();
    const auto nodes = static_cast<double>(members_.table().peers().size() + 1);
    if (context_.random_.chance(1.0 / nodes))
    {
        sweep();
    }
}

void note_sweeper::sweep()
{
    store_.list(note_prefix, [this, alive = lifetime_.watch()](const store_reply& reply) {
        if (alive && running_)
        {
            remove_disposable(reply);
        }
    });
}

void note_sweeper::remove_disposable(const store_reply& listed)
{
    std::vector<std::string> keys;
    for (const store_entry& entry : listed.entries_)
    {
        const auto note = parse_recovery_note(entry.value_);
        if (note && is_disposable(*note, context_.clock_.wall_ms()))
        {
            keys.push_back(entry.key_);
        }
    }
    if (keys.empty())
    {
        return;
    }
    store_.remove_all(
        keys, [this, removed = keys.size(), alive = lifetime_.watch()](const store_reply& reply) {
            if (alive && reply.status_ == store_status::ok)
            {
                report(removed);
            }
        });
}

void note_sweeper::report(std::size_t removed)
{
    context_.metrics_.add(counter::recovery_notes_removed, removed);
    event entry;
    entry.subject_ = context_.settings_.node_;
    entry.what_ = "notes removed";
    entry.rule_ = "recovery: notes in the store that no longer matter";
    entry.evidence_ = std::to_string(removed) + " notes";
    context_.record(std::move(entry));
}

} // namespace bamboohoist
