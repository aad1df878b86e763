/// Runs seeded random schedules in which guards claim and end keys of one shard, race and lose
/// replies.

#include "policy/claim_shard.hpp"

#include "core/random_source.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace bamboohoist;

namespace {

constexpr std::int64_t far_ms = 1'000'000;

claim_record make_record(std::string key, std::string owner, std::uint32_t attempt,
                         claim_state state)
{
    claim_record record;
    record.key_ = std::move(key);
    record.owner_ = std::move(owner);
    record.attempt_ = attempt;
    record.state_ = state;
    record.expires_ms_ = far_ms;
    return record;
}

/// A store with compare-and-swap for the generations of one shard.
class fake_shard_store
{
public:
    struct stored
    {
        claim_generation generation_;
        std::uint64_t index_ = 0;
    };

    bool write(const claim_generation& next, std::uint64_t expected)
    {
        stored& current = generations_[next.number_];
        if (current.index_ != expected)
        {
            return false;
        }
        current = {next, ++index_};
        return true;
    }

    /// Reads all generations, as a writer does after its start.
    claim_shard read() const
    {
        claim_shard shard;
        for (const auto& [number, current] : generations_)
        {
            shard.load(current.generation_, current.index_);
            if (current.generation_.sealed_)
            {
                shard.start_next_generation();
            }
        }
        return shard;
    }

private:
    std::map<std::uint64_t, stored> generations_;
    std::uint64_t index_ = 0;
};

} // namespace

TEST_CASE("a key is claimed once, ends once, and can be claimed again only if it was not run")
{
    claim_shard shard;
    std::vector<claim_result> results;
    const auto write = [&](const claim_record& requested) {
        const std::vector<claim_record> one{requested};
        const claim_generation next = shard.extend_open_generation(one, 0, results);
        shard.load(next, shard.open_index() + 1);
        return results.front() == claim_result::accepted;
    };
    CHECK(write(make_record("k", "a", 1, claim_state::running)));
    CHECK_FALSE(write(make_record("k", "b", 1, claim_state::running)));
    CHECK(write(make_record("k", "a", 1, claim_state::running))); // Repeated.
    CHECK(write(make_record("k", "a", 2, claim_state::running))); // A later attempt.
    CHECK_FALSE(write(make_record("k", "a", 1, claim_state::released)));
    CHECK(write(make_record("k", "a", 2, claim_state::released)));
    CHECK(write(make_record("k", "b", 1, claim_state::running)));
    CHECK(write(make_record("k", "b", 1, claim_state::done)));
    CHECK_FALSE(write(make_record("k", "c", 1, claim_state::running)));
    CHECK_FALSE(write(make_record("k", "b", 2, claim_state::running)));
    CHECK(shard.find("k", far_ms + 1) == nullptr);
    CHECK_FALSE(write(make_record("x", "a", 1, claim_state::done))); // An end without a claim.
}

TEST_CASE("at most one owner has a key despite races, lost replies and sealed generations")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        CAPTURE(seed);
        random_source random(seed);
        fake_shard_store store;
        std::vector<claim_shard> shards(3);
        std::map<std::string, std::map<std::string, bool>> runs; // By key and owner.
        std::map<std::string, bool> ended;
        int next_owner = 0;
        for (int step = 0; step < 200; ++step)
        {
            claim_shard& shard = shards[random.index(shards.size())];
            if (random.chance(0.5))
            {
                shard = store.read();
            }
            if (random.chance(0.05) && !shard.open_generation().records_.empty())
            {
                claim_generation sealed = shard.open_generation();
                sealed.sealed_ = true;
                store.write(sealed, shard.open_index());
                continue;
            }
            const std::string key = "k" + std::to_string(random.index(4));
            const std::string owner = "o" + std::to_string(next_owner++);
            const std::vector<claim_record> requested{
                make_record(key, owner, 1, claim_state::running)};
            std::vector<claim_result> results;
            const claim_generation next = shard.extend_open_generation(requested, 0, results);
            if (shard.open_generation().sealed_)
            {
                shard = store.read();
                continue;
            }
            store.write(next, shard.open_index());
            // The reply may be lost, so the result is read back.
            shard = store.read();
            if (!shard.contains(requested.front(), 0))
            {
                continue;
            }
            CHECK_FALSE(ended[key]);
            for (const auto& [other, running] : runs[key])
            {
                CHECK_FALSE(running);
            }
            runs[key][owner] = true;
            if (random.chance(0.5))
            {
                const bool ran = random.chance(0.5);
                const std::vector<claim_record> end{
                    make_record(key, owner, 1, ran ? claim_state::done : claim_state::released)};
                store.write(shard.extend_open_generation(end, 0, results), shard.open_index());
                shard = store.read();
                const bool written = shard.contains(end.front(), 0);
                runs[key][owner] = !written;
                ended[key] = written && ran;
            }
        }
    }
}
