/// Seeded schedules of guards that claim, end, lose replies and race through one shard.

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

/// The generations of one shard with compare-and-swap.
class fake_shard
{
public:
    struct stored
    {
        claim_generation generation_;
        std::uint64_t index_ = 0;
    };

    bool write(const claim_generation& next, std::uint64_t expected)
    {
        stored& present = generations_[next.number_];
        if (present.index_ != expected)
        {
            return false;
        }
        present = {next, ++index_};
        return true;
    }

    /// Reads all generations into a new book, as a writer does that knows nothing.
    claim_shard read() const
    {
        claim_shard book;
        for (const auto& [number, present] : generations_)
        {
            book.load(present.generation_, present.index_);
            if (present.generation_.sealed_)
            {
                book.start_next_generation();
            }
        }
        return book;
    }

private:
    std::map<std::uint64_t, stored> generations_;
    std::uint64_t index_ = 0;
};

} // namespace

TEST_CASE("a key is taken once, ends once, and may be claimed again only when it was not run")
{
    claim_shard book;
    std::vector<claim_result> verdicts;
    const auto write = [&](const claim_record& wanted) {
        const std::vector<claim_record> one{wanted};
        const claim_generation next = book.extend_open_generation(one, 0, verdicts);
        book.load(next, book.open_index() + 1);
        return verdicts.front() == claim_result::accepted;
    };
    CHECK(write(make_record("k", "a", 1, claim_state::running)));
    CHECK_FALSE(write(make_record("k", "b", 1, claim_state::running)));
    CHECK(write(make_record("k", "a", 1, claim_state::running))); // The same again.
    CHECK(write(make_record("k", "a", 2, claim_state::running))); // Goes on elsewhere.
    CHECK_FALSE(write(make_record("k", "a", 1, claim_state::released)));
    CHECK(write(make_record("k", "a", 2, claim_state::released)));
    CHECK(write(make_record("k", "b", 1, claim_state::running)));
    CHECK(write(make_record("k", "b", 1, claim_state::done)));
    CHECK_FALSE(write(make_record("k", "c", 1, claim_state::running)));
    CHECK_FALSE(write(make_record("k", "b", 2, claim_state::running)));
    CHECK(book.find("k", far_ms + 1) == nullptr);
    CHECK_FALSE(write(make_record("x", "a", 1, claim_state::done))); // An end without a claim.
}

TEST_CASE("one owner at most holds a key, whatever races, is lost or is sealed")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        CAPTURE(seed);
        random_source random(seed);
        fake_shard shard;
        std::vector<claim_shard> books(3);
        std::map<std::string, std::map<std::string, bool>> runs; // By key and owner.
        std::map<std::string, bool> ended;
        int next_owner = 0;
        for (int step = 0; step < 200; ++step)
        {
            claim_shard& book = books[random.index(books.size())];
            if (random.chance(0.5))
            {
                book = shard.read();
            }
            if (random.chance(0.05) && !book.open_generation().records_.empty())
            {
                claim_generation sealed = book.open_generation();
                sealed.sealed_ = true;
                shard.write(sealed, book.open_index());
                continue;
            }
            const std::string key = "k" + std::to_string(random.index(4));
            const std::string owner = "o" + std::to_string(next_owner++);
            const std::vector<claim_record> wanted{
                make_record(key, owner, 1, claim_state::running)};
            std::vector<claim_result> verdicts;
            const claim_generation next = book.extend_open_generation(wanted, 0, verdicts);
            if (book.open_generation().sealed_)
            {
                book = shard.read();
                continue;
            }
            shard.write(next, book.open_index());
            // Whether the reply came or not, reading back tells.
            book = shard.read();
            if (!book.contains(wanted.front(), 0))
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
                shard.write(book.extend_open_generation(end, 0, verdicts), book.open_index());
                book = shard.read();
                const bool written = book.contains(end.front(), 0);
                runs[key][owner] = !written;
                ended[key] = written && ran;
            }
        }
    }
}
