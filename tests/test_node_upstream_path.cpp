// Daemons that lose their path to all upstreams, while callers, the store and the other daemons reach them.
#include "node_simulation.h"
#include "node_step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;
using test::upstream_cut;

namespace {

constexpr milliseconds kStartupTime{1500};
constexpr milliseconds kBatchTime{40'000};

/// Time after a cut from which on callers must be served again.
constexpr milliseconds kContactTime{3000};

constexpr upstream_cut kCuts[] = {upstream_cut::silent, upstream_cut::refuses, upstream_cut::refuses_new};

/// Sends calls to a daemon, one each 100 ms. @returns how many of them an upstream answered.
std::size_t answeredCalls(node_simulation &simulation, std::size_t daemon, const std::string &prefix,
                          std::size_t number, const std::string &path = "/plain/1")
{
    std::vector<exchange_id> calls;
    for (std::size_t i = 0; i < number; ++i) {
        calls.push_back(simulation.sendCall(daemon, prefix + std::to_string(i), path));
        simulation.run(milliseconds{100});
    }
    simulation.run(milliseconds{2000});
    return static_cast<std::size_t>(std::ranges::count_if(
            calls, [&](exchange_id call) { return simulation.answerAs<answer_call>(call) != nullptr; }));
}

} // namespace

// Guards against callers that are not served because their host has no path to the upstreams.
TEST(node_upstream_path, callersOfADaemonWithoutPathAreServedByOthers)
{
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(1, 4);
        simulation.run(kStartupTime);
        simulation.setUpstreamCut(0, cut);
        simulation.setUpstreamCut(1, cut);
        answeredCalls(simulation, 0, "early", 5);
        simulation.run(kContactTime);
        EXPECT_GE(answeredCalls(simulation, 0, "repeatable", 20), 19U) << static_cast<int>(cut);
        EXPECT_GE(answeredCalls(simulation, 1, "other", 20), 19U) << static_cast<int>(cut);
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Guards against the same for calls that may run only once.
TEST(node_upstream_path, callsThatMayRunOnceAreServedByOthers)
{
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(2, 4);
        simulation.run(kStartupTime);
        simulation.setUpstreamCut(0, cut);
        answeredCalls(simulation, 0, "early", 5);
        simulation.run(kContactTime);
        EXPECT_GE(answeredCalls(simulation, 0, "once", 20, "/once/1"), 19U) << static_cast<int>(cut);
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Guards against a host that has had no request and therefore does not notice.
TEST(node_upstream_path, firstCallAtAnIdleDaemonIsServed)
{
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(3, 4);
        simulation.run(kStartupTime);
        simulation.setUpstreamCut(0, cut);
        simulation.run(kContactTime);
        EXPECT_EQ(answeredCalls(simulation, 0, "first", 1), 1U) << static_cast<int>(cut);
    }
}

// Guards against steps that stand still because their owner has no path to the upstreams.
TEST(node_upstream_path, batchesGoToDaemonsWithAPath)
{
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(4, 4);
        simulation.run(kStartupTime);
        const batch first = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(16, 60));
        simulation.submitBatch(0, first);
        simulation.run(milliseconds{500});
        const std::size_t owner = simulation.ownerIndex(first.id);
        simulation.setUpstreamCut(owner, cut);
        EXPECT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(first); }, milliseconds{9000}))
                << static_cast<int>(cut);
        const batch second = node_simulation::makeBatch("b2", "m0", 1, std::vector<unsigned>(16, 20));
        simulation.submitBatch(owner, second);
        EXPECT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(second); }, milliseconds{6000}))
                << static_cast<int>(cut);
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Guards against a host that counts as connected because old connections live on while new ones are refused.
TEST(node_upstream_path, oldConnectionsThatLiveOnAreNoPath)
{
    node_simulation simulation(11, 4);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(16, 60));
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{300});
    const std::size_t owner = simulation.ownerIndex(submitted.id);
    simulation.setUpstreamCut(owner, upstream_cut::refuses_new);
    simulation.sendCall(owner, "c");
    simulation.run(milliseconds{300});
    EXPECT_TRUE(simulation.state(owner).path.lost);
    EXPECT_LT(simulation.now() - simulation.state(owner).path.heardAt, milliseconds{100});
    simulation.run(milliseconds{300});
    EXPECT_TRUE(simulation.state(owner).path.lost);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{9000}));
    EXPECT_EQ(simulation.violationText(), "");
}

// Guards against weights that are not loaded because the leader has no path to the upstreams.
TEST(node_upstream_path, weightsLeaderWithoutPathIsReplaced)
{
    node_simulation simulation(5, 3);
    simulation.run(kStartupTime);
    simulation.setNamedVersion("m0", 2);
    simulation.run(milliseconds{3000});
    std::size_t leader = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        leader = simulation.state(i).weightsLeader.held ? i : leader;
    }
    simulation.setUpstreamCut(leader, upstream_cut::silent);
    simulation.run(milliseconds{500});
    simulation.setNamedVersion("m0", 3);
    simulation.run(milliseconds{12'000});
    EXPECT_FALSE(simulation.state(leader).weightsLeader.held);
    std::size_t loaded = 0;
    for (std::size_t engine = 0; engine < 4; ++engine) {
        loaded += simulation.upstream(engine).entry.weights.at({"m0"}).value == 3 ? 1 : 0;
    }
    EXPECT_GE(loaded, 1U);
    EXPECT_EQ(simulation.violationText(), "");
}

// Guards against a host that stays without a path for itself after the path is back.
TEST(node_upstream_path, daemonReturnsWhenAnUpstreamIsHeard)
{
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(6, 3);
        simulation.run(kStartupTime);
        simulation.setUpstreamCut(0, cut);
        answeredCalls(simulation, 0, "during", 10);
        simulation.setUpstreamCut(0, upstream_cut::none);
        simulation.run(milliseconds{1000});
        EXPECT_FALSE(simulation.state(0).path.lost) << static_cast<int>(cut);
        EXPECT_EQ(answeredCalls(simulation, 0, "after", 10), 10U);
        EXPECT_FALSE(isPathDoubtful(simulation.state(0)));
    }
}

// Guards against calls that go in circles where no daemon has a path, in which their callers wait.
TEST(node_upstream_path, callsEndInTimeWhereNoDaemonHasAPath)
{
    node_simulation simulation(7, 3);
    simulation.run(kStartupTime);
    for (std::size_t i = 0; i < 3; ++i) {
        simulation.setUpstreamCut(i, upstream_cut::refuses);
    }
    const exchange_id call = simulation.sendCall(0, "c", "/once/1");
    simulation.run(milliseconds{2100});
    EXPECT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_TRUE(simulation.state(1).calls.empty());
}

// Guards against streams that end because their host has no path to the upstreams.
TEST(node_upstream_path, streamsGoOnThroughOtherDaemons)
{
    for (const upstream_cut cut : {upstream_cut::silent, upstream_cut::refuses}) {
        node_simulation simulation(8, 4);
        simulation.runTwoVersions();
        simulation.run(kStartupTime);
        std::vector<exchange_id> streams;
        for (int i = 0; i < 6; ++i) {
            streams.push_back(simulation.requestStream(0, "s" + std::to_string(i), "/stream/1"));
        }
        simulation.run(milliseconds{600});
        simulation.setUpstreamCut(0, cut);
        simulation.run(kContactTime);
        streams.push_back(simulation.requestStream(0, "late", "/stream/1"));
        simulation.run(milliseconds{8000});
        for (const exchange_id stream : streams) {
            EXPECT_TRUE(simulation.stream(stream).complete) << static_cast<int>(cut) << " " << stream.value;
        }
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Guards against streams that began through another host and lose their version when that host is gone.
TEST(node_upstream_path, streamThatBeganThroughAnotherDaemonOutlivesIt)
{
    node_simulation simulation(12, 4);
    simulation.runTwoVersions();
    simulation.run(kStartupTime);
    simulation.setUpstreamCut(0, upstream_cut::refuses);
    answeredCalls(simulation, 0, "early", 5);
    ASSERT_TRUE(simulation.state(0).path.lost);
    std::vector<exchange_id> streams;
    for (int i = 0; i < 8; ++i) {
        streams.push_back(simulation.requestStream(0, "s" + std::to_string(i), "/stream/1"));
    }
    simulation.run(milliseconds{600});
    simulation.setUpstreamCut(0, upstream_cut::none);
    simulation.run(milliseconds{600});
    ASSERT_FALSE(simulation.state(0).path.lost);
    simulation.kill(1);
    simulation.kill(2);
    simulation.run(milliseconds{4000});
    for (const exchange_id stream : streams) {
        EXPECT_TRUE(simulation.stream(stream).complete) << stream.value;
    }
    EXPECT_EQ(simulation.violationText(), "");
}

// Guards against contents that are refused everywhere because a host lost its path while it sent them.
TEST(node_upstream_path, lostPathIsNotBlamedOnTheCallsInProgress)
{
    node_simulation simulation(10, 4);
    simulation.run(kStartupTime);
    for (int i = 0; i < 6; ++i) {
        simulation.requestStream(0, "s" + std::to_string(i), "/stream/1");
    }
    simulation.run(milliseconds{600});
    simulation.setUpstreamCut(0, upstream_cut::refuses);
    simulation.run(kContactTime);
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        for (const auto &[content, suspected] : simulation.state(daemon).suspectedContents) {
            EXPECT_TRUE(suspected.crashed.empty()) << "at daemon " << daemon;
        }
    }
}

// Guards against calls that run more often than their route allows: they had reached an upstream before the
// path was lost.
TEST(node_upstream_path, callThatReachedAnUpstreamCountsAgainstTheLimitOfItsRoute)
{
    constexpr std::size_t kPlainUpstreams[] = {4, 5};
    for (const upstream_cut cut : kCuts) {
        node_simulation simulation(12, 4);
        simulation.run(kStartupTime);
        route_table config = simulation.state(0).config;
        ++config.version;
        std::ranges::for_each(config.routes, [](route &changed) { changed.maxAttempts = 1; });
        simulation.putConfig(config);
        for (const std::size_t index : kPlainUpstreams) {
            simulation.upstream(index).callBehaviour = test::call_behaviour::hangs;
        }
        simulation.run(kStartupTime);
        simulation.sendCall(0, "reached");
        simulation.run(milliseconds{700});
        simulation.setUpstreamCut(0, cut);
        simulation.run(kContactTime);
        std::size_t requests = 0;
        for (const std::size_t index : kPlainUpstreams) {
            const auto found = simulation.runsPerUpstream().find(simulation.upstream(index).entry.id);
            requests += found == simulation.runsPerUpstream().end() ? 0 : found->second;
        }
        EXPECT_EQ(requests, 1U) << static_cast<int>(cut);
    }
}

// Guards against handing batches over for a moment in which all connections break.
TEST(node_upstream_path, brokenConnectionsAloneAreNoLostPath)
{
    node_simulation simulation(9, 3);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(16, 60));
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{700});
    const std::size_t owner = simulation.ownerIndex(submitted.id);
    simulation.setUpstreamCut(owner, upstream_cut::refuses);
    simulation.setUpstreamCut(owner, upstream_cut::none);
    simulation.run(milliseconds{1500});
    EXPECT_EQ(simulation.ownerIndex(submitted.id), owner);
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(submitted); }, kBatchTime));
    EXPECT_EQ(simulation.violationText(), "");
}

} // namespace jacinthvale
