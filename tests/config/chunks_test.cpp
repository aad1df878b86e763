#include "config/chunks.hpp"

#include "core/random_source.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;

namespace {

std::string many_routes(int count, int changed)
{
    std::string text = "{\"routes\":[";
    for (int i = 0; i < count; ++i)
    {
        text += (i == 0 ? "" : ",") + std::string("{\"prefix\":\"/p") + std::to_string(i) +
                (i == changed ? "x" : "") + "\"}";
    }
    return text + "]}";
}

} // namespace

TEST_CASE("a text survives being cut, compressed and joined")
{
    const std::string text = one_element_per_line(many_routes(3000, -1));
    const chunked_text cut = split_into_chunks(text);
    CHECK(cut.chunks_.size() > 5);
    const auto addresses = read_chunk_list(cut.chunks_.at(cut.list_address_));
    REQUIRE(addresses);
    CHECK(join_chunks(*addresses, cut.chunks_) == text);
}

TEST_CASE("one changed line moves one piece and the list")
{
    const chunked_text before = split_into_chunks(one_element_per_line(many_routes(8800, -1)));
    const chunked_text after = split_into_chunks(one_element_per_line(many_routes(8800, 4321)));
    std::size_t moved = 0;
    std::size_t bytes = 0;
    for (const auto& [address, chunk] : after.chunks_)
    {
        if (!before.chunks_.contains(address))
        {
            ++moved;
            bytes += chunk.size();
        }
    }
    CHECK(moved <= 3);
    CHECK(bytes < 18'000);
}

TEST_CASE("damaged or missing pieces are noticed")
{
    chunked_text cut = split_into_chunks(one_element_per_line(many_routes(1000, -1)));
    const auto addresses = read_chunk_list(cut.chunks_.at(cut.list_address_));
    REQUIRE(addresses);
    std::string damaged = cut.chunks_.at(addresses->front());
    CHECK(verify_chunk(addresses->front(), damaged));
    damaged[damaged.size() / 2] ^= 0x55;
    CHECK_FALSE(verify_chunk(addresses->front(), damaged));
    cut.chunks_.erase(addresses->front());
    CHECK_FALSE(join_chunks(*addresses, cut.chunks_));
    CHECK_FALSE(read_chunk_list("not a chunk"));
}
