#include "config/chunks.hpp"

#include "core/random_source.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

std::string make_manifest_text(int count, int changed_route)
{
    std::string text = "{\"routes\":[";
    for (int i = 0; i < count; ++i)
    {
        text += (i == 0 ? "" : ",") + std::string("{\"prefix\":\"/p") + std::to_string(i) +
                (i == changed_route ? "x" : "") + "\"}";
    }
    return text + "]}";
}

} // namespace

TEST_CASE("a text that is split into chunks and joined again is unchanged")
{
    const std::string text = one_element_per_line(make_manifest_text(3000, -1));
    const chunked_text chunked = split_into_chunks(text);
    CHECK(chunked.chunks_.size() > 5);
    const auto addresses = read_chunk_list(chunked.chunks_.at(chunked.list_address_));
    REQUIRE(addresses);
    CHECK(join_chunks(*addresses, chunked.chunks_) == text);
}

TEST_CASE("a change of one line changes at most three chunks")
{
    const chunked_text before =
        split_into_chunks(one_element_per_line(make_manifest_text(8800, -1)));
    const chunked_text after =
        split_into_chunks(one_element_per_line(make_manifest_text(8800, 4321)));
    std::size_t changed_chunks = 0;
    std::size_t changed_bytes = 0;
    for (const auto& [address, chunk] : after.chunks_)
    {
        if (!before.chunks_.contains(address))
        {
            ++changed_chunks;
            changed_bytes += chunk.size();
        }
    }
    CHECK(changed_chunks <= 3);
    CHECK(changed_bytes < 18'000);
}

TEST_CASE("damaged and missing chunks are detected")
{
    chunked_text chunked = split_into_chunks(one_element_per_line(make_manifest_text(1000, -1)));
    const auto addresses = read_chunk_list(chunked.chunks_.at(chunked.list_address_));
    REQUIRE(addresses);
    std::string damaged = chunked.chunks_.at(addresses->front());
    CHECK(verify_chunk(addresses->front(), damaged));
    damaged[damaged.size() / 2] ^= 0x55;
    CHECK_FALSE(verify_chunk(addresses->front(), damaged));
    chunked.chunks_.erase(addresses->front());
    CHECK_FALSE(join_chunks(*addresses, chunked.chunks_));
    CHECK_FALSE(read_chunk_list("not a chunk"));
}
