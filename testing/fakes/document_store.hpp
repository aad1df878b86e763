#ifndef BAMBOOHOIST_TESTING_DOCUMENT_STORE_HPP
#define BAMBOOHOIST_TESTING_DOCUMENT_STORE_HPP

#include "config/chunks.hpp"
#include "config/head_json.hpp"
#include "daemon/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohoist::testing {

/// A store that holds one configuration. Each watch of the head is recorded and waits until the
/// test answers it; chunks are returned at once.
class document_store : public store_client
{
public:
    void read(std::string_view key, callback on_reply) override
    {
        store_reply reply;
        const auto found = key.starts_with(chunk_prefix)
                               ? chunks_.find(key.substr(chunk_prefix.size()))
                               : chunks_.end();
        reply.status_ = found == chunks_.end() ? store_status::absent : store_status::ok;
        if (found != chunks_.end())
        {
            reply.entries_.push_back({std::string(key), found->second, 1});
        }
        on_reply(reply);
    }

    void list(std::string_view, callback on_reply) override
    {
        on_reply({});
    }

    void write(std::string_view, std::string_view, const store_condition&,
               callback on_reply) override
    {
        on_reply({});
    }

    void watch(std::string_view, std::uint64_t known_index, duration, callback on_reply) override
    {
        watched_from_.push_back(known_index);
        pending_ = std::move(on_reply);
    }

    void remove(std::string_view, callback on_reply) override
    {
        on_reply({});
    }

    void remove_all(std::span<const std::string>, callback on_reply) override
    {
        on_reply({});
    }

    void open_session(std::string_view, duration, callback on_reply) override
    {
        on_reply({});
    }

    void renew_session(std::string_view, callback on_reply) override
    {
        on_reply({});
    }

    void write_lasting(std::string_view, std::string_view, callback on_reply) override
    {
        on_reply({});
    }

    void write_leased(std::string_view, std::string_view, std::string_view,
                      callback on_reply) override
    {
        on_reply({});
    }

    /// Answers the pending watch with a manifest as this revision, at this index of the store.
    void answer_watch(std::uint64_t revision, std::string_view manifest, std::uint64_t index)
    {
        const chunked_text chunked = split_into_chunks(manifest);
        chunks_ = chunked.chunks_;
        revision_head head;
        head.revision_ = revision;
        head.accepted_ = true;
        head.content_ = chunked.list_address_;
        store_reply reply;
        reply.status_ = store_status::ok;
        reply.index_ = index;
        reply.entries_.push_back({std::string(head_key), write_head(head), index});
        std::exchange(pending_, {})(reply);
    }

    /// Answers the pending watch with an error.
    void fail_watch()
    {
        std::exchange(pending_, {})({});
    }

    bool watched() const
    {
        return static_cast<bool>(pending_);
    }

    /// The index from which each watch began, oldest first.
    const std::vector<std::uint64_t>& watched_from() const
    {
        return watched_from_;
    }

private:
    chunk_map chunks_;
    std::vector<std::uint64_t> watched_from_;
    callback pending_;
};

} // namespace bamboohoist::testing

#endif
