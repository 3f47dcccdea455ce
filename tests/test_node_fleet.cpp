// Large fleets: the load that all daemons together put on the store must not grow with the number of daemons.
#include "node_rows.h"
#include "node_simulation.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr std::size_t kFleetSize = 60;
constexpr std::size_t kEngineCount = 8;
/// At the base poll intervals the fleet would make about 860 reads per second.
constexpr double kStoreReadsPerSecond = 400;
constexpr milliseconds kStartupTime{4000};
constexpr milliseconds kCompletionTimeout{20'000};

} // namespace

// Failure guarded against: hundreds of daemons that each poll five tables exceed the read capacity of the
// store.
TEST(node_fleet, keepsReadsOfLargeFleetWithinStoreCapacity)
{
    node_simulation simulation(1, kFleetSize, kEngineCount, kStoreReadsPerSecond);
    simulation.run(kStartupTime);
    const std::size_t readsBefore = simulation.readCount();
    constexpr milliseconds kMeasuredPeriod{10'000};
    std::vector<batch> batches;
    for (int i = 0; i < 4; ++i) {
        batches.push_back(node_simulation::makeBatch("b" + std::to_string(i), "m" + std::to_string(i % 2), 1,
                                                     {5, 20, 30, 12, 40, 9}));
        simulation.submitBatch(static_cast<std::size_t>(i), batches.back());
        simulation.run(kMeasuredPeriod / 4);
    }
    EXPECT_LE(static_cast<double>(simulation.readCount() - readsBefore),
              kStoreReadsPerSecond * kMeasuredPeriod.count() / 1000);
    ASSERT_TRUE(simulation.runUntil(
            [&] {
                return std::ranges::all_of(batches,
                                           [&](const auto &b) { return simulation.allCommitted(b); });
            },
            kCompletionTimeout));
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_fleet, pollsAtBaseIntervalInSmallFleet)
{
    node_simulation simulation(2, 3, kEngineCount, kStoreReadsPerSecond);
    simulation.run(kStartupTime);
    const auto &feeds = simulation.state(0).feeds;
    EXPECT_EQ(std::ranges::find(feeds, table_id::upstreams, &table_feed::table)->pollInterval,
              milliseconds{400});
}

TEST(node_fleet, takesOverBatchOfKilledOwnerInLargeFleet)
{
    node_simulation simulation(3, kFleetSize, kEngineCount, kStoreReadsPerSecond);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {5, 90, 60, 40, 80, 70});
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{2500});
    simulation.kill(simulation.ownerIndex(submitted.id));
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(submitted); }, kCompletionTimeout));
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_fleet, propagatesUpstreamChangesThroughStoreReadersInLargeFleet)
{
    node_simulation simulation(4, 2 * test::kSimulationSharedReadingThreshold, kEngineCount);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(2).entry.id;
    const auto countDaemons = [&](auto condition) {
        std::size_t matching = 0;
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
            matching += simulation.isUp(i) && condition(simulation.state(i)) ? 1 : 0;
        }
        return matching;
    };
    const auto knows = [&](const node_state &state) { return state.upstreams.contains(id); };
    ASSERT_EQ(countDaemons(knows), simulation.daemonCount());
    // Kills a quarter of the daemons, regardless of which of them are store readers.
    for (std::size_t i = 0; i < simulation.daemonCount(); i += 4) {
        simulation.kill(i);
    }
    simulation.upstream(2).entry.draining = true;
    constexpr milliseconds kDrainPropagationBound{2000};
    ASSERT_TRUE(simulation.runUntil(
            [&] {
                return countDaemons([&](const node_state &state) {
                           return knows(state) && !state.upstreams.at(id).entry.draining;
                       })
                       == 0;
            },
            kDrainPropagationBound));
    simulation.crashUpstream(2);
    ASSERT_TRUE(simulation.runUntil([&] { return countDaemons(knows) == 0; }, milliseconds{8000}));
    simulation.restoreUpstream(2);
    ASSERT_TRUE(simulation.runUntil(
            [&] { return countDaemons(knows) == countDaemons([](const auto &) { return true; }); },
            milliseconds{8000}));
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_fleet, returnsNoUpstreamDeltaBeforeFeedIsSynced)
{
    node_state state = makeNodeState({});
    static_cast<void>(reduce(state, started{{1}}, {}));
    const effects emitted = reduce(state, upstream_delta_requested{exchange_id{5}, 0}, {});
    ASSERT_EQ(emitted.size(), 1U);
    EXPECT_FALSE(std::get<answer_upstream_delta>(emitted.front()).delta.available);
}

// Failure guarded against: the heartbeats of a large fleet in one partition delay the writes of the weights
// lease, whose rows are in a single partition.
TEST(node_fleet, spreadsHeartbeatsOfLargeFleetOverPartitions)
{
    constexpr std::size_t kHostCount = 300;
    std::map<std::string, std::size_t> hostsPerPartition;
    for (std::size_t i = 0; i < kHostCount; ++i) {
        ++hostsPerPartition[memberPartition({"edge-" + std::to_string(i)})];
    }
    EXPECT_FALSE(hostsPerPartition.contains(""));
    EXPECT_EQ(hostsPerPartition.size(), kMemberPartitions);
    for (const auto &[partition, hosts] : hostsPerPartition) {
        EXPECT_LT(hosts, kHostCount / 2) << partition;
    }
}

} // namespace jacinthvale
