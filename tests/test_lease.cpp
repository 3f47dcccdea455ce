// Leases: at most one contender acts at a time, whatever the table's answers and pauses do.
#include <gtest/gtest.h>
#include <jacinthvale/lease.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>

using namespace jacinthvale;

namespace {

constexpr std::size_t kContenders = 3;
const std::string kKey = "leases/test";

/// The row and the writes that the service may still take.
struct lease_table
{
    std::optional<store_row> row;
    std::uint64_t lastVersion = 0;

    store_outcome transact(const store_transact &what)
    {
        const store_write &write = what.writes.front();
        if (write.expectedVersion != (row ? row->version : 0)) {
            return store_conflict{row ? std::vector{*row} : std::vector<store_row>{}, false};
        }
        row = store_row{kKey, ++lastVersion, what.writeId, write.value};
        return store_committed{{lastVersion}};
    }
};

/// Contenders around one table. An acting contender notes its epoch as if it had sent an order.
struct lease_world
{
    lease_table table;
    std::vector<lease> contenders;
    std::deque<std::pair<std::size_t, store_outcome>> answers;
    std::vector<store_transact> lateWrites;
    instant now{milliseconds{1000}};
    std::uint64_t highestActed = 0;
    const lease *lastActor = nullptr;

    lease_world()
    {
        for (std::size_t i = 0; i < kContenders; ++i) {
            contenders.emplace_back(kKey, host_id{"h" + std::to_string(i)}, incarnation_id{i + 1},
                                    lease_terms{});
        }
    }
};

/// What the commands' generators need; the system under test decides the rest.
struct lease_model
{};

using lease_command = rc::state::Command<lease_model, lease_world>;

void checkOneActs(lease_world &world)
{
    const auto acting = std::ranges::count_if(world.contenders,
                                              [&](const lease &one) { return one.mayAct(world.now); });
    RC_ASSERT(acting <= 1);
    for (const lease &one : world.contenders) {
        if (one.mayAct(world.now)) {
            const std::uint64_t least = world.highestActed + (world.lastActor == &one ? 0 : 1);
            RC_ASSERT(one.epoch().value >= least);
            world.highestActed = one.epoch().value;
            world.lastActor = &one;
        }
    }
}

struct lease_step : lease_command
{
    std::size_t who = *rc::gen::inRange<std::size_t>(0, kContenders);

    void run(const lease_model &, lease_world &world) const override
    {
        act(world);
        checkOneActs(world);
    }
    virtual void act(lease_world &world) const = 0;
};

struct pass_time : lease_step
{
    int ms = *rc::gen::inRange(1, 6000);
    void act(lease_world &world) const override { world.now += milliseconds{ms}; }
    void show(std::ostream &os) const override { os << "pass " << ms << " ms"; }
};

struct read_row : lease_step
{
    void act(lease_world &world) const override
    {
        world.contenders[who].observe(world.table.row, world.now, world.now);
    }
    void show(std::ostream &os) const override { os << "contender " << who << " reads"; }
};

/// How the service treats a write.
enum class write_fate : std::uint8_t { done, lost_after_effect, lost_before_effect, refused };

struct write_row : lease_step
{
    write_fate fate = *rc::gen::weightedElement<write_fate>({{6, write_fate::done},
                                                             {2, write_fate::lost_after_effect},
                                                             {2, write_fate::lost_before_effect},
                                                             {1, write_fate::refused}});
    int latencyMs = *rc::gen::inRange(0, 3000);
    bool giveUp = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});

    void act(lease_world &world) const override
    {
        lease &one = world.contenders[who];
        std::optional<store_transact> write = one.ownsRow() ? one.renew(world.now) : one.acquire(world.now);
        if (giveUp && one.ownsRow() && !write) {
            write = one.release(world.now);
        }
        if (!write) {
            return;
        }
        world.now += milliseconds{latencyMs};
        deliver(world, one, *write);
    }

    void deliver(lease_world &world, lease &one, const store_transact &write) const
    {
        switch (fate) {
        case write_fate::done:
            world.answers.emplace_back(who, world.table.transact(write));
            break;
        case write_fate::lost_after_effect:
            static_cast<void>(world.table.transact(write));
            one.settle(store_unknown{}, world.now);
            break;
        case write_fate::lost_before_effect:
            world.lateWrites.push_back(write);
            one.settle(store_unknown{}, world.now);
            break;
        case write_fate::refused:
            one.settle(store_unavailable{"refused"}, world.now);
            break;
        }
    }
    void show(std::ostream &os) const override
    {
        os << "contender " << who << " writes, fate " << static_cast<int>(fate) << ", " << latencyMs << " ms";
    }
};

struct land_late_write : lease_step
{
    void act(lease_world &world) const override
    {
        if (!world.lateWrites.empty()) {
            static_cast<void>(world.table.transact(world.lateWrites.back()));
            world.lateWrites.pop_back();
        }
    }
    void show(std::ostream &os) const override { os << "a late write lands"; }
};

/// A contender that does not get this for long was paused.
struct receive_answer : lease_step
{
    void act(lease_world &world) const override
    {
        const auto found = std::ranges::find(world.answers, who, [](const auto &a) { return a.first; });
        if (found != world.answers.end()) {
            world.contenders[who].settle(found->second, world.now);
            world.answers.erase(found);
        }
    }
    void show(std::ostream &os) const override { os << "contender " << who << " gets its answer"; }
};

lease makeLease(const std::string &host, std::uint64_t incarnation)
{
    return {kKey, host_id{host}, incarnation_id{incarnation}, lease_terms{}};
}

instant at(int ms)
{
    return instant{milliseconds{ms}};
}

} // namespace

RC_GTEST_PROP(lease, neverLetsTwoContendersActAndEpochsNeverFall, ())
{
    lease_world world;
    rc::state::check(lease_model{}, world,
                     rc::state::gen::execOneOfWithArgs<pass_time, read_row, write_row, write_row,
                                                       receive_answer, receive_answer, land_late_write>());
}

RC_GTEST_PROP(lease, decodesOnlyWhatItEncodes, (const std::string &text, std::uint64_t epoch, bool released))
{
    static_cast<void>(decodeLease(text));
    const lease_record record{{"host"}, {7}, {epoch}, released};
    RC_ASSERT(decodeLease(encodeLease(record)) == record);
}

TEST(lease, countsItsTimeFromBeforeTheWriteWasSent)
{
    lease_table table;
    lease one = makeLease("a", 1);
    one.observe(table.row, at(10), at(10));
    const store_outcome outcome = table.transact(*one.acquire(at(1000)));
    one.settle(outcome, at(9500));
    EXPECT_FALSE(one.mayAct(at(10'500)));
}

TEST(lease, successorWaitsForAWholeLeaseThatItSawItself)
{
    lease_table table;
    lease first = makeLease("a", 1);
    first.observe(table.row, at(1), at(1));
    first.settle(table.transact(*first.acquire(at(2))), at(3));
    lease second = makeLease("b", 2);
    second.observe(table.row, at(5000), at(5000));
    EXPECT_FALSE(second.acquire(at(14'000)).has_value());
    EXPECT_TRUE(second.acquire(at(15'000)).has_value());
}

TEST(lease, handOverNeedsNoWait)
{
    lease_table table;
    lease first = makeLease("a", 1);
    first.observe(table.row, at(1), at(1));
    first.settle(table.transact(*first.acquire(at(2))), at(3));
    first.settle(table.transact(*first.release(at(4))), at(5));
    EXPECT_FALSE(first.mayAct(at(6)));
    lease second = makeLease("b", 2);
    second.observe(table.row, at(6), at(6));
    second.settle(table.transact(*second.acquire(at(7))), at(8));
    EXPECT_TRUE(second.mayOrderUnfenced(at(9)));
    EXPECT_GT(second.epoch(), first.epoch());
}

TEST(lease, isNotTakenBackByAWriteFromBeforeItsRelease)
{
    lease_table table;
    lease one = makeLease("a", 1);
    one.observe(table.row, at(1), at(1));
    one.settle(table.transact(*one.acquire(at(2))), at(3));
    const store_transact renewal = *one.renew(at(4000));
    EXPECT_FALSE(one.release(at(4001)).has_value());
    one.settle(table.transact(renewal), at(4002));
    EXPECT_FALSE(one.mayAct(at(4003)));
    EXPECT_TRUE(one.release(at(4004)).has_value());
}

TEST(lease, waitsForAFormerHoldersLastOrder)
{
    lease_table table;
    lease first = makeLease("a", 1);
    first.observe(table.row, at(1), at(1));
    first.settle(table.transact(*first.acquire(at(2))), at(3));
    lease second = makeLease("b", 2);
    second.observe(table.row, at(5), at(5));
    second.settle(table.transact(*second.acquire(at(11'000))), at(11'100));
    EXPECT_TRUE(second.mayAct(at(11'200)));
    EXPECT_FALSE(second.mayOrderUnfenced(at(12'900)));
    EXPECT_TRUE(second.mayOrderUnfenced(at(13'000)));
}

TEST(lease, goesAboveAFencingNumberThatAnUpstreamHasSeen)
{
    lease_table table;
    lease one = makeLease("a", 1);
    one.observe(table.row, at(1), at(1));
    one.settle(table.transact(*one.acquire(at(2))), at(3));
    one.sawFencing({41});
    one.settle(table.transact(*one.renew(at(4))), at(5));
    EXPECT_EQ(one.epoch().value, 42U);
    EXPECT_FALSE(one.renew(at(6)).has_value());
}

TEST(lease, recognizesItsOwnWriteAfterALostAnswer)
{
    lease_table table;
    lease one = makeLease("a", 1);
    one.observe(table.row, at(1), at(1));
    static_cast<void>(table.transact(*one.acquire(at(2))));
    one.settle(store_unknown{}, at(3000));
    EXPECT_FALSE(one.mayAct(at(3000)));
    EXPECT_TRUE(one.needsRead());
    one.observe(table.row, at(3001), at(3002));
    EXPECT_TRUE(one.mayAct(at(3002)));
    EXPECT_FALSE(one.mayAct(at(9500)));
}
