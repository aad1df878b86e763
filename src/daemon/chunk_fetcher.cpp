#include "daemon/chunk_fetcher.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bamboohoist {

namespace {

using json = nlohmann::json;

} // namespace

chunk_fetcher::chunk_fetcher(const control_context& context, control_link& link,
                             store_client& store)
    : context_(context), link_(link), store_(store)
{
    link_.add_responder("/chunks", [this](std::string_view body) { return handle_chunks(body); });
}

void chunk_fetcher::insert(const chunk_map& chunks)
{
    chunks_.insert(chunks.begin(), chunks.end());
}

void chunk_fetcher::fetch(std::span<const std::string> addresses, const revision_source& from,
                          std::function<void()> on_complete)
{
    std::vector<std::string> absent = missing(addresses);
    if (absent.empty())
    {
        on_complete();
    }
    else if (from.origin_ == revision_origin::peer)
    {
        fetch_from_peer(absent, from.peer_, std::move(on_complete));
    }
    else
    {
        fetch_from_store(absent, std::move(on_complete));
    }
}

std::optional<std::vector<std::string>> chunk_fetcher::list_of(std::string_view content) const
{
    const auto list = chunks_.find(content);
    return list == chunks_.end() ? std::nullopt : read_chunk_list(list->second);
}

std::optional<std::string> chunk_fetcher::text_of(std::string_view content) const
{
    const auto addresses = list_of(content);
    return addresses ? join_chunks(*addresses, chunks_) : std::nullopt;
}

void chunk_fetcher::keep_only(const revision_head& head)
{
    std::vector<std::string> keep = list_of(head.content_).value_or(std::vector<std::string>{});
    keep.push_back(head.content_);
    if (chunks_.contains(head.fallback_))
    {
        keep.push_back(head.fallback_);
        const auto older = list_of(head.fallback_).value_or(std::vector<std::string>{});
        keep.insert(keep.end(), older.begin(), older.end());
    }
    std::ranges::sort(keep);
    std::erase_if(chunks_,
                  [&](const auto& pair) { return !std::ranges::binary_search(keep, pair.first); });
}

void chunk_fetcher::fetch_from_peer(std::span<const std::string> addresses, const endpoint& peer,
                                    std::function<void()> on_complete)
{
    std::string body;
    json::to_msgpack(json(std::vector<std::string>(addresses.begin(), addresses.end())), body);
    link_.call(peer, "/chunks", std::move(body),
               [this, done = std::move(on_complete),
                alive = lifetime_.watch()](const std::optional<std::string>& reply) {
                   if (!alive)
                   {
                       return;
                   }
                   const json chunks =
                       reply ? json::from_msgpack(*reply, true, false) : json::object();
                   for (const auto& [address, bytes] : chunks.items())
                   {
                       if (bytes.is_binary())
                       {
                           const auto& raw = bytes.get_binary();
                           add(address, std::string(raw.begin(), raw.end()));
                       }
                   }
                   done();
               });
}

void chunk_fetcher::fetch_from_store(std::span<const std::string> addresses,
                                     std::function<void()> on_complete)
{
    struct progress : ref_counted_local<progress>
    {
        std::size_t left_ = 0;
        std::function<void()> done_;
    };
    const ref_ptr<progress> state(new progress);
    state->left_ = addresses.size();
    state->done_ = std::move(on_complete);
    for (const std::string& address : addresses)
    {
        store_.read(std::string(chunk_prefix) + address,
                    [this, state, address, alive = lifetime_.watch()](const store_reply& reply) {
                        if (!alive)
                        {
                            return;
                        }
                        if (!reply.entries_.empty())
                        {
                            add(address, reply.entries_.front().value_);
                        }
                        if (--state->left_ == 0)
                        {
                            state->done_();
                        }
                    });
    }
}

bool chunk_fetcher::add(std::string_view address, std::string bytes)
{
    if (!verify_chunk(address, bytes))
    {
        return false;
    }
    context_.metrics_.add(counter::config_bytes_fetched, bytes.size());
    chunks_.insert_or_assign(std::string(address), std::move(bytes));
    return true;
}

std::vector<std::string> chunk_fetcher::missing(std::span<const std::string> addresses) const
{
    std::vector<std::string> absent;
    for (const std::string& address : addresses)
    {
        if (!chunks_.contains(address))
        {
            absent.push_back(address);
        }
    }
    return absent;
}

std::optional<std::string> chunk_fetcher::handle_chunks(std::string_view body)
{
    const json addresses = json::from_msgpack(body, true, false);
    json chunks = json::object();
    for (const json& address : addresses)
    {
        const auto found =
            address.is_string() ? chunks_.find(address.get<std::string>()) : chunks_.end();
        if (found != chunks_.end())
        {
            chunks[found->first] = json::binary({found->second.begin(), found->second.end()});
        }
    }
    std::string reply;
    json::to_msgpack(chunks, reply);
    return reply;
}

} // namespace bamboohoist
