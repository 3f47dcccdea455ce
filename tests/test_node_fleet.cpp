// Fleets far larger than today's: what each daemon asks of the store must not grow with their number.
#include "node_rows.h"
#include "node_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr std::size_t kFleet = 60;
constexpr std::size_t kEngines = 8;
/// At the usual paces the fleet would make about 860 reads a second.
constexpr double kStoreReads = 400;
constexpr milliseconds kStart{4000};
constexpr milliseconds kLong{20'000};

} // namespace

// Pattern: hundreds of daemons, each of which follows five tables.
TEST(node_fleet, readsOfALargeFleetStayWithinTheStore)
{
    node_simulation world(1, kFleet, kEngines, kStoreReads);
    world.run(kStart);
    const std::size_t before = world.readCount();
    constexpr milliseconds kWatched{10'000};
    std::vector<batch> batches;
    for (int i = 0; i < 4; ++i) {
        batches.push_back(node_simulation::makeBatch("b" + std::to_string(i), "m" + std::to_string(i % 2), 1,
                                                     {5, 20, 30, 12, 40, 9}));
        world.submitBatch(static_cast<std::size_t>(i), batches.back());
        world.run(kWatched / 4);
    }
    EXPECT_LE(static_cast<double>(world.readCount() - before), kStoreReads * kWatched.count() / 1000);
    ASSERT_TRUE(world.runUntil(
            [&] {
                return std::ranges::all_of(batches, [&](const auto &b) { return world.allCommitted(b); });
            },
            kLong));
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_fleet, aSmallFleetReadsAtTheUsualPace)
{
    node_simulation world(2, 3, kEngines, kStoreReads);
    world.run(kStart);
    const auto &feeds = world.state(0).feeds;
    EXPECT_EQ(std::ranges::find(feeds, table_id::upstreams, &table_feed::table)->pollInterval,
              milliseconds{400});
}

TEST(node_fleet, aKilledOwnerOfALargeFleetIsFollowed)
{
    node_simulation world(3, kFleet, kEngines, kStoreReads);
    world.run(kStart);
    const batch what = node_simulation::makeBatch("b1", "m0", 1, {5, 90, 60, 40, 80, 70});
    world.submitBatch(0, what);
    world.run(milliseconds{2500});
    world.kill(world.ownerIndex(what.id));
    ASSERT_TRUE(world.runUntil([&] { return world.allCommitted(what); }, kLong));
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_fleet, aLargeFleetSeesUpstreamsComeAndGoThroughAFewReaders)
{
    node_simulation world(4, 2 * test::kSimulationSharedReadingThreshold, kEngines);
    world.run(kStart);
    const upstream_id id = world.upstream(2).entry.id;
    const auto number = [&](auto condition) {
        std::size_t met = 0;
        for (std::size_t i = 0; i < world.daemonCount(); ++i) {
            met += world.isUp(i) && condition(world.state(i)) ? 1 : 0;
        }
        return met;
    };
    const auto knows = [&](const node_state &state) { return state.upstreams.contains(id); };
    ASSERT_EQ(number(knows), world.daemonCount());
    // Some of those that read for the others die, whichever they are.
    for (std::size_t i = 0; i < world.daemonCount(); i += 4) {
        world.kill(i);
    }
    world.upstream(2).entry.draining = true;
    constexpr milliseconds kBound{2000};
    ASSERT_TRUE(world.runUntil(
            [&] {
                return number([&](const node_state &state) {
                           return knows(state) && !state.upstreams.at(id).entry.draining;
                       })
                       == 0;
            },
            kBound));
    world.crashUpstream(2);
    ASSERT_TRUE(world.runUntil([&] { return number(knows) == 0; }, milliseconds{8000}));
    world.restoreUpstream(2);
    ASSERT_TRUE(world.runUntil([&] { return number(knows) == number([](const auto &) { return true; }); },
                               milliseconds{8000}));
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_fleet, whoIsNotSyncedTellsNoNews)
{
    node_state state = makeNodeState({});
    static_cast<void>(reduce(state, started{{1}}, {}));
    const effects told = reduce(state, upstream_delta_requested{exchange_id{5}, 0}, {});
    ASSERT_EQ(told.size(), 1U);
    EXPECT_FALSE(std::get<answer_upstream_delta>(told.front()).delta.available);
}

// Pattern: the beats of a large fleet beside the lease, whose rows stand in one part.
TEST(node_fleet, beatsOfALargeFleetAreSpreadOverParts)
{
    constexpr std::size_t kHosts = 300;
    std::map<std::string, std::size_t> hosts;
    for (std::size_t i = 0; i < kHosts; ++i) {
        ++hosts[memberPart({"edge-" + std::to_string(i)})];
    }
    EXPECT_FALSE(hosts.contains(""));
    EXPECT_EQ(hosts.size(), kMemberParts);
    for (const auto &[part, number] : hosts) {
        EXPECT_LT(number, kHosts / 2) << part;
    }
}

} // namespace jacinthvale
