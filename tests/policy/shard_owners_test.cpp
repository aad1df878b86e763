/// Guards against owners that change more than a lost node requires, and against dead nodes that
/// are counted wrongly when a fleet is split.

#include "policy/shard_owners.hpp"

#include "fakes/manual_clock.hpp"
#include "policy/member_table.hpp"

#include <doctest/doctest.h>

using namespace bamboohoist;
using namespace bamboohoist::testing;

namespace {

std::vector<shard_node> make_nodes(std::size_t count)
{
    std::vector<shard_node> nodes;
    for (std::size_t i = 0; i < count; ++i)
    {
        nodes.push_back({"n" + std::to_string(i), "127.0.0.1:1"});
    }
    return nodes;
}

void add_member(member_table& table, std::size_t number, member_state state, instant now)
{
    member_record record;
    record.node_ = "n" + std::to_string(number);
    record.incarnation_ = 1;
    record.version_ = state == member_state::alive ? 1 : 2;
    record.state_ = state;
    table.merge(record, now);
}

member_table make_table(std::size_t nodes, instant now)
{
    member_record self;
    self.node_ = "self";
    member_table table(self, std::chrono::seconds(3), std::chrono::minutes(30));
    for (std::size_t i = 1; i < nodes; ++i)
    {
        add_member(table, i, member_state::alive, now);
    }
    return table;
}

} // namespace

TEST_CASE("when the owner of a shard goes, the second node becomes the owner")
{
    const shard_owners before(make_nodes(20));
    for (std::size_t gone = 0; gone < 20; ++gone)
    {
        std::vector<shard_node> left = make_nodes(20);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
        const std::string name = "n" + std::to_string(gone);
        const shard_owners after(left);
        for (std::size_t shard = 0; shard < shard_owners::shard_count; ++shard)
        {
            const shard_node& expected =
                before.first(shard)->node_ == name ? *before.second(shard) : *before.first(shard);
            CHECK(*after.first(shard) == expected);
        }
    }
}

TEST_CASE("few nodes have owners too")
{
    CHECK(shard_owners({}).first(0) == nullptr);
    const shard_owners single(make_nodes(1));
    CHECK(single.first(5)->node_ == "n0");
    CHECK(single.second(5) == nullptr);
}

TEST_CASE("nodes that died together count as cut off, single ones only for a while")
{
    manual_clock clock;
    member_table table = make_table(97, clock.now());
    CHECK(table.cut_off_nodes(clock.now()).size() == 0);
    add_member(table, 1, member_state::dead, clock.now());
    clock.advance(std::chrono::seconds(10));
    for (std::size_t i = 10; i < 50; ++i)
    {
        add_member(table, i, member_state::dead, clock.now());
    }
    CHECK(table.cut_off_nodes(clock.now()).size() == 41);
    clock.advance(std::chrono::minutes(5));
    CHECK(table.cut_off_nodes(clock.now()).size() == 40);
    // A node that left is not cut off.
    add_member(table, 60, member_state::left, clock.now());
    CHECK(table.cut_off_nodes(clock.now()).size() == 40);
}

TEST_CASE("in a small fleet a single dead node may be a part that is cut off")
{
    manual_clock clock;
    member_table table = make_table(6, clock.now());
    add_member(table, 1, member_state::dead, clock.now());
    clock.advance(std::chrono::minutes(5));
    CHECK(table.cut_off_nodes(clock.now()).size() == 1);
}
