// Calls whose content crashes each upstream that runs them. They come again under new ids, at any daemon.
#include "node_simulation.h"
#include "node_step.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

const std::string kCrashingPath = "/plain/crash";

/// Calls that may still reach upstreams once three of them have crashed and all daemons can know it.
constexpr std::size_t kMaxLateCalls = 3;

/// Sends the same content to the daemons in turn, one call in each interval.
void sendAgain(node_simulation &simulation, unsigned calls, milliseconds interval,
               const std::string &path = kCrashingPath)
{
    for (unsigned i = 0; i < calls; ++i) {
        simulation.sendCall(i % simulation.daemonCount(),
                            "crash-" + std::to_string(simulation.now().time_since_epoch().count()), path);
        simulation.run(interval);
    }
}

} // namespace

// Each daemon took a returning call for a new one, so every upstream crashed again each time it was back.
TEST(node_quarantine, contentThatCrashedThreeUpstreamsIsNotSentAgain)
{
    node_simulation simulation(1, 12);
    simulation.run(kStartupTime);
    simulation.crashOn(kCrashingPath);
    sendAgain(simulation, 100, milliseconds{300});
    EXPECT_GE(simulation.crashesOf(kCrashingPath), 3U);
    EXPECT_LE(simulation.sentAfterThirdCrash(kCrashingPath), kMaxLateCalls);
}

// The store's word reaches all daemons in time also when answers to heartbeats are lost.
TEST(node_quarantine, holdsOnRoutesThatRunOnceAndAfterLostAnswers)
{
    node_simulation simulation(2, 12);
    simulation.run(kStartupTime);
    const std::string path = "/once/crash";
    simulation.crashOn(path);
    simulation.setLostAnswerShare(0.3);
    sendAgain(simulation, 100, milliseconds{300}, path);
    EXPECT_GE(simulation.crashesOf(path), 3U);
    EXPECT_LE(simulation.sentAfterThirdCrash(path), kMaxLateCalls);
}

TEST(node_quarantine, callIsRefusedAtOnceAsNotRun)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.crashOn(kCrashingPath);
    sendAgain(simulation, 30, milliseconds{300});
    const exchange_id call = simulation.sendCall(1, "last", kCrashingPath);
    const auto *refusal = simulation.answerAs<refuse_call>(call);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->reason, refusal::not_run);
    EXPECT_GE(refusal->retryAfter, milliseconds{10'000});
}

// All daemons start again at the same time: what the former processes knew lies in their rows.
TEST(node_quarantine, outlivesRestartsOfAllDaemons)
{
    node_simulation simulation(4, 6);
    simulation.run(kStartupTime);
    simulation.crashOn(kCrashingPath);
    sendAgain(simulation, 40, milliseconds{300});
    const std::size_t crashes = simulation.crashesOf(kCrashingPath);
    for (int round = 0; round < 2; ++round) {
        for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
            simulation.kill(i);
            simulation.start(i);
        }
        simulation.run(milliseconds{4000});
        sendAgain(simulation, 20, milliseconds{300});
    }
    EXPECT_EQ(simulation.crashesOf(kCrashingPath), crashes);
}

// A server that sends what is no answer has not ended under the call.
TEST(node_quarantine, malformedAnswersDoNotMakeTheirContentSuspect)
{
    node_simulation simulation(5, 12);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1, call_end::malformed);
    sendAgain(simulation, 20, milliseconds{100}, "/plain/1");
    sendAgain(simulation, 20, milliseconds{100}, "/once/1");
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        EXPECT_TRUE(simulation.state(i).suspectedContents.empty()) << i;
    }
    simulation.setBrokenCallShare(0);
    const exchange_id call = simulation.sendCall(0, "last", "/plain/1");
    simulation.run(milliseconds{300});
    EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr);
}

// The store delays writes of upstreams that crashed meanwhile; their heartbeats are no signs of life.
TEST(node_quarantine, heartbeatThatTheStoreAppliedLateIsNoSignOfLife)
{
    node_simulation simulation(9);
    simulation.run(kStartupTime);
    node_state state = simulation.state(0);
    const upstream_id id{"p4"};
    const std::uint64_t brokeAtMs = storeTime(state, simulation.now());
    state.ownAdvisory.crashes = {{7, id.value, state.upstreams.at(id).entry.startedAtMs, brokeAtMs}};
    const auto readHeartbeat = [&](milliseconds after, std::uint64_t version) {
        table_feed &feed = feedOf(state, table_id::upstreams);
        const context later{simulation.now() + after, {}, 1};
        feed.readOp = op_id{++state.lastOp};
        feed.readSentAt = later.now;
        state.ops.emplace(feed.readOp, feed_operation{table_id::upstreams});
        const row_change heartbeat{{{table_id::upstreams, "", id.value}, version, "", false},
                                   state.upstreams.at(id).entry};
        static_cast<void>(reduce(state, rows_received{feed.readOp, {heartbeat}, version, 0, false}, later));
        static_cast<void>(reduce(state, node::tick{}, later));
    };
    const std::uint64_t version = state.upstreams.at(id).rowVersion;
    readHeartbeat(milliseconds{1000}, version + 1000);
    readHeartbeat(milliseconds{5000}, version + 2000);
    EXPECT_EQ(state.ownAdvisory.crashes.size(), 1U);
    readHeartbeat(milliseconds{7000}, version + 3000);
    readHeartbeat(milliseconds{8000}, version + 4000);
    EXPECT_TRUE(state.ownAdvisory.crashes.empty());
}

// Other calls run on the upstreams that crash, many of them with the same content: they are not quarantined.
TEST(node_quarantine, contentThatIsAnsweredInBetweenIsServed)
{
    node_simulation simulation(5, 6);
    simulation.run(kStartupTime);
    simulation.crashOn(kCrashingPath);
    for (unsigned i = 0; i < 600; ++i) {
        simulation.sendCall(i % 6, "frequent-" + std::to_string(i));
        if (i % 20 == 0) {
            simulation.sendCall(i / 20 % 6, "crash-" + std::to_string(i), kCrashingPath);
        }
        simulation.run(milliseconds{50});
    }
    EXPECT_LE(simulation.sentAfterThirdCrash(kCrashingPath), kMaxLateCalls);
    const exchange_id call = simulation.sendCall(2, "frequent");
    simulation.run(milliseconds{200});
    EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr);
}

// Upstreams that lose answers show by their heartbeats that they did not crash.
TEST(node_quarantine, brokenAnswersOfLivingUpstreamsAreNoCrashes)
{
    node_simulation simulation(6);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1);
    for (int i = 0; i < 40; ++i) {
        simulation.sendCall(static_cast<std::size_t>(i % 3), "c" + std::to_string(i));
        simulation.run(milliseconds{200});
    }
    simulation.setBrokenCallShare(0);
    simulation.run(milliseconds{9000});
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        EXPECT_TRUE(simulation.state(i).suspectedContents.empty()) << i;
        const exchange_id call = simulation.sendCall(i, "after-" + std::to_string(i));
        simulation.run(milliseconds{200});
        EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr) << i;
    }
}

// Upstreams crash under reward calls because of another call; the items are owed nevertheless.
TEST(node_quarantine, itemsUnderWhichUpstreamsCrashedAreFinished)
{
    node_simulation simulation(7);
    simulation.run(kStartupTime);
    simulation.crashOn(kCrashingPath);
    const batch submitted = node_simulation::withRewards(
            node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(40, 30)));
    simulation.submitBatch(0, submitted);
    sendAgain(simulation, 60, milliseconds{200});
    EXPECT_TRUE(
            simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{30'000}));
    EXPECT_EQ(simulation.violationText(), "");
}

// The number of suspicions that a daemon keeps is bounded, whatever callers send.
TEST(node_quarantine, manyContentsAreBounded)
{
    node_simulation simulation(8);
    simulation.run(kStartupTime);
    simulation.upstream(4).up = false;
    simulation.setBrokenCallShare(1);
    for (int i = 0; i < 1000; ++i) {
        simulation.sendCall(0, "c" + std::to_string(i), "/plain/" + std::to_string(i));
        simulation.run(milliseconds{2});
    }
    EXPECT_LE(simulation.state(0).ownAdvisory.crashes.size(), 256U);
    EXPECT_LE(simulation.state(1).suspectedContents.size(), 3U * 256U);
}

} // namespace jacinthvale
