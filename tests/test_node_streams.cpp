// Progress of streams is counted in complete chunks: slow but sound streams go on, and streams that send
// bytes without completing a chunk end.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

} // namespace

// Pattern: the connection of a stalled run stays open and brings a byte now and then. In the simulation
// nothing but chunks reaches the reducer, so only the reducer can notice.
TEST(node_streams, streamWithoutACompleteChunkIsRunElsewhere)
{
    node_simulation simulation(1, 1, 2);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {20});
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{200});
    ASSERT_TRUE(simulation.stallNewestRun(0, milliseconds{60'000})
                || simulation.stallNewestRun(1, milliseconds{60'000}));
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{8000}));
    EXPECT_GE(simulation.runsStarted(), 2U);
    EXPECT_EQ(simulation.violationText(), "");
}

// Pattern: a sound upstream sends a chunk each 1.9 s for a minute.
TEST(node_streams, slowStreamIsNotCut)
{
    node_simulation simulation(2, 1, 1);
    simulation.upstream(0).interChunkLatency = milliseconds{1900};
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {32});
    simulation.submitBatch(0, submitted);
    EXPECT_TRUE(
            simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{70'000}));
    EXPECT_EQ(simulation.runsStarted(), 1U);
    EXPECT_EQ(simulation.violationText(), "");
}

// Pattern: an upstream becomes so slow that its chunks take longer than the lower bound of the timeout.
TEST(node_streams, timeoutFollowsThePaceOfTheUpstream)
{
    node_simulation simulation(3, 1, 1);
    simulation.upstream(0).interChunkLatency = milliseconds{1500};
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, {12, 12});
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{9000});
    simulation.upstream(0).interChunkLatency = milliseconds{3500};
    EXPECT_TRUE(
            simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{70'000}));
    EXPECT_EQ(simulation.runsStarted(), 2U);
}

} // namespace jacinthvale
