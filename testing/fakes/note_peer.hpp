#ifndef BAMBOOHOIST_TESTING_NOTE_PEER_HPP
#define BAMBOOHOIST_TESTING_NOTE_PEER_HPP

#include "config/recovery_json.hpp"
#include "daemon/control_link.hpp"
#include "wire/gossip_codec.hpp"

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace bamboohoist::testing {

/// A peer that keeps the recovery notes it receives, and replies to a node that asks for notes only
/// once the test has set them. Runs on the event loop of the node under test.
class note_peer
{
public:
    note_peer(const control_context& context, std::string node, std::string domain) : link_(context)
    {
        record_.node_ = std::move(node);
        record_.region_ = "r1";
        record_.domain_ = std::move(domain);
        record_.incarnation_ = 1;
        record_.version_ = 1;
        link_.add_responder("/sync", [this](std::string_view) {
            const member_record* const own = &record_;
            return std::optional(encode_records({&own, 1}));
        });
        link_.add_responder("/recovery/read", [this](std::string_view) {
            return reply_ ? std::optional(write_recovery_reply(*reply_)) : std::nullopt;
        });
        link_.add_responder("/recovery/relay", [this](std::string_view) {
            return stored_ ? std::optional(write_recovery_reply(*stored_)) : std::nullopt;
        });
        link_.add_responder("/recovery/write", [this](std::string_view body) {
            written_.push_back(parse_recovery_note(body).value());
            return stored_ ? std::optional<std::string>("") : std::nullopt;
        });
        link_.add_responder("/recovery/keep", [this](std::string_view body) {
            if (refused_copies_ > 0)
            {
                --refused_copies_;
                return std::optional<std::string>();
            }
            kept_.push_back(parse_recovery_note(body).value());
            return std::optional<std::string>("");
        });
        if (!link_.start())
        {
            throw std::runtime_error("note_peer cannot listen on 127.0.0.1");
        }
        record_.gossip_address_ = "127.0.0.1:" + std::to_string(link_.port());
    }

    ~note_peer()
    {
        link_.stop();
    }

    note_peer(const note_peer&) = delete;
    note_peer& operator=(const note_peer&) = delete;

    endpoint gossip() const
    {
        return {"127.0.0.1", link_.port()};
    }

    const std::string& node() const
    {
        return record_.node_;
    }

    /// Sets what the peer replies to a node that asks for notes.
    void set_reply(recovery_reply reply)
    {
        reply_ = std::move(reply);
    }

    /// Sets what the peer reads from the store for a node that asks it to, and has it write to the
    /// store for others; before, the store rejects the peer too.
    void set_stored(recovery_reply stored)
    {
        stored_ = std::move(stored);
    }

    /// The next copies of notes are lost.
    void refuse_copies(std::size_t count)
    {
        refused_copies_ = count;
    }

    const std::vector<recovery_note>& kept() const
    {
        return kept_;
    }

    /// The notes that this peer was asked to write to the store.
    const std::vector<recovery_note>& written() const
    {
        return written_;
    }

private:
    control_link link_;
    member_record record_;
    std::optional<recovery_reply> reply_;
    std::optional<recovery_reply> stored_;
    std::vector<recovery_note> kept_;
    std::size_t refused_copies_ = 0;
    std::vector<recovery_note> written_;
};

} // namespace bamboohoist::testing

#endif
