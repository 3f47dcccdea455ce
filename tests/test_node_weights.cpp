// Loading of weights: a single holder of the lease, takeover of loads by the next holder, and order of the
// loads.
#include "node_placement.h"
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kWarmUp{1500};

/// Number of upstreams with at least this version of the model's weights.
std::size_t countUpstreamsAtVersion(node_simulation &simulation, std::size_t upstreams,
                                    const std::string &model, std::uint64_t version)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < upstreams; ++i) {
        count += simulation.upstream(i).entry.weights[{model}].value >= version ? 1 : 0;
    }
    return count;
}

std::size_t holderOf(const node_simulation &simulation)
{
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        if (simulation.isUp(i) && simulation.state(i).weightsLeader.held) {
            return i;
        }
    }
    return simulation.daemonCount();
}

} // namespace

TEST(node_weights, loadsNamedVersionOnlyOnUpstreamsOfTheModel)
{
    node_simulation simulation(1, 3, 6);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    simulation.setNamedVersion("m1", 2);
    simulation.run(milliseconds{8000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 6, "m0", 2), 3U);
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 6, "m1", 2), 3U);
    EXPECT_EQ(simulation.ordersSent(), 6U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_weights, replacesKilledHolderBeforeAStepEnds)
{
    node_simulation simulation(2, 3, 6);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    ASSERT_TRUE(simulation.runUntil(
            [&] { return holderOf(simulation) < simulation.daemonCount() && simulation.ordersSent() > 0; },
            milliseconds{3000}));
    simulation.kill(holderOf(simulation));
    const instant killedAt = simulation.now();
    ASSERT_TRUE(simulation.runUntil([&] { return holderOf(simulation) < simulation.daemonCount(); },
                                    milliseconds{4000}));
    EXPECT_LT(simulation.now() - killedAt, milliseconds{2500});
    simulation.run(milliseconds{9000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 6, "m0", 2), 3U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_weights, releasesLeaseWhenHolderStops)
{
    node_simulation simulation(3, 3, 6);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    ASSERT_TRUE(simulation.runUntil([&] { return holderOf(simulation) < simulation.daemonCount(); },
                                    milliseconds{3000}));
    const std::size_t before = holderOf(simulation);
    simulation.stop(before);
    EXPECT_TRUE(simulation.runUntil(
            [&] { return holderOf(simulation) < simulation.daemonCount() && holderOf(simulation) != before; },
            milliseconds{1000}));
    simulation.run(milliseconds{8000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 6, "m0", 2), 3U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_weights, suspendedHolderSendsNoOrderAfterLeaseExpires)
{
    for (std::uint64_t seed = 10; seed < 40; ++seed) {
        node_simulation simulation(seed, 3, 6);
        simulation.run(kWarmUp);
        for (std::uint64_t version = 2; version < 6; ++version) {
            simulation.setNamedVersion("m0", version);
            simulation.setNamedVersion("m1", version);
            simulation.run(milliseconds{static_cast<int>(400 + seed * 37 % 900)});
            if (holderOf(simulation) < simulation.daemonCount()) {
                simulation.freeze(holderOf(simulation), milliseconds{4000});
            }
            simulation.run(milliseconds{5000});
        }
        EXPECT_EQ(simulation.violationText(), "") << "seed " << seed;
    }
}

TEST(node_weights, neverOrdersOneUpstreamFromTwoHoldersWithinLeaseTime)
{
    for (std::uint64_t seed = 50; seed < 90; ++seed) {
        node_simulation simulation(seed, 4, 6);
        simulation.run(kWarmUp);
        for (std::uint64_t version = 2; version < 8; ++version) {
            simulation.setNamedVersion("m0", version);
            simulation.setNamedVersion("m1", version);
            simulation.run(milliseconds{static_cast<int>(150 + seed * 53 % 1200)});
            const std::size_t holder = holderOf(simulation);
            if (holder < simulation.daemonCount()) {
                if (seed % 2 == 0) {
                    simulation.kill(holder);
                    simulation.run(milliseconds{300});
                    simulation.start(holder);
                } else {
                    simulation.stop(holder);
                    simulation.run(milliseconds{2000});
                    if (!simulation.isUp(holder)) {
                        simulation.start(holder);
                    }
                }
            }
            simulation.run(milliseconds{1500});
        }
        EXPECT_EQ(simulation.violationText(), "") << "seed " << seed;
    }
}

// Guards against an order that names a number of accepted orders which its upstream never reported.
TEST(node_weights, sendsNoOrderToAnUpstreamThatDoesNotTellOfLoads)
{
    node_simulation simulation(3, 3, 6);
    const auto setReports = [&](bool reports) {
        for (std::size_t i = 0; i < 6; ++i) {
            simulation.upstream(i).reportsLoads = reports;
        }
    };
    setReports(false);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    simulation.run(milliseconds{9000});
    EXPECT_EQ(simulation.ordersSent(), 0U);
    setReports(true);
    simulation.run(milliseconds{9000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 6, "m0", 2), 3U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_weights, loadsUpstreamsThatCannotServeTheStepFirst)
{
    // Pattern: the store was unavailable while versions were named; many upstreams are two versions behind
    // and cannot serve the step.
    node_simulation simulation(4, 3, 10);
    simulation.run(kWarmUp);
    for (std::size_t i = 0; i < 3; ++i) {
        simulation.upstream(i).entry.weights[{"m0"}] = {3};
    }
    simulation.setNamedVersion("m0", 4);
    simulation.run(milliseconds{4500});
    const std::size_t serving = countUpstreamsAtVersion(simulation, 10, "m0", 3);
    // There is time for four loads; a load of an upstream that already serves the step would leave fewer
    // upstreams serving.
    EXPECT_GE(serving, 5U);
}

TEST(node_weights, advertisesLoadBeforeUpstreamTableShowsIt)
{
    // Pattern: the table of upstreams shows a load one to two seconds late, which would delay the items of a
    // step by that time.
    node_simulation simulation(6, 3, 6);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    const auto knowsVersion = [&](std::size_t daemon) {
        return std::ranges::any_of(simulation.state(daemon).upstreams, [](const auto &idAndView) {
            const auto found = idAndView.second.entry.weights.find({"m0"});
            return found != idAndView.second.entry.weights.end() && found->second.value >= 2;
        });
    };
    ASSERT_TRUE(simulation.runUntil([&] { return countUpstreamsAtVersion(simulation, 6, "m0", 2) > 0; },
                                    milliseconds{6000}));
    simulation.run(milliseconds{400});
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        EXPECT_TRUE(knowsVersion(i)) << i;
    }
}

TEST(node_weights, loadsConcurrentlyInProportionToFleetSize)
{
    // Pattern: with 45 upstreams, two concurrent loads would leave most upstreams without a version that the
    // step accepts.
    node_simulation simulation(5, 3, 40);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    simulation.setNamedVersion("m1", 2);
    simulation.run(milliseconds{9000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, 40, "m0", 2)
                      + countUpstreamsAtVersion(simulation, 40, "m1", 2),
              40U);
}

// Pattern: each trainer names a version every 2 s; loading each on all upstreams would take more than that
// time. Half of a model's upstreams skip a version, and enough of them serve each step at once.
TEST(node_weights, halfOfTheUpstreamsSkipAVersionWhileVersionsFollowQuickly)
{
    constexpr std::size_t kUpstreams = 10;
    node_simulation simulation(7, 3, kUpstreams);
    simulation.run(kWarmUp);
    for (std::uint64_t version = 2; version < 8; ++version) {
        simulation.setNamedVersion("m0", version);
        simulation.run(milliseconds{100});
        // The step accepts the named version and the one before it.
        EXPECT_GE(countUpstreamsAtVersion(simulation, kUpstreams, "m0", version - 1), 2U) << version;
        simulation.run(milliseconds{1900});
    }
    EXPECT_LE(simulation.ordersSent(), 20U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_weights, lastVersionIsLoadedEverywhereOnceNoOtherFollows)
{
    constexpr std::size_t kUpstreams = 10;
    node_simulation simulation(8, 3, kUpstreams);
    simulation.run(kWarmUp);
    for (std::uint64_t version = 2; version < 6; ++version) {
        simulation.setNamedVersion("m0", version);
        simulation.run(milliseconds{2000});
    }
    simulation.run(milliseconds{10'000});
    EXPECT_EQ(countUpstreamsAtVersion(simulation, kUpstreams, "m0", 5), 5U);
    EXPECT_EQ(simulation.violationText(), "");
}

// Pattern: renewals of the lease list a load again until it is confirmed; its upstream takes runs from the
// confirmation on, not from the end of the last listing.
TEST(node_weights, upstreamTakesRunsOnceItsLoadIsConfirmed)
{
    node_simulation simulation(9, 1, 2);
    simulation.run(kWarmUp);
    simulation.setNamedVersion("m0", 2);
    const auto loading = [&] {
        return std::ranges::any_of(simulation.state(0).upstreams, [&](const auto &entry) {
            return isLoading(simulation.state(0), entry.first, simulation.now());
        });
    };
    ASSERT_TRUE(simulation.runUntil(loading, milliseconds{3000}));
    ASSERT_TRUE(simulation.runUntil([&] { return countUpstreamsAtVersion(simulation, 2, "m0", 2) > 0; },
                                    milliseconds{3000}));
    EXPECT_TRUE(simulation.runUntil([&] { return !loading(); }, milliseconds{300}));
}

} // namespace jacinthvale
