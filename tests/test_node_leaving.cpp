// Upstreams that announce in their responses that they are leaving: no new work reaches them, from the daemon
// that received the announcement at once and from the others with the next heartbeats. The simulation checks
// every request against the announcements (node_simulation::checkNotLeaving).
#include "node_rows.h"
#include "node_simulation.h"
#include "node_step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jacinthvale {

using namespace node;
using test::call_behaviour;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

/// Index of the first of two plain upstreams; the ones before are engines.
constexpr std::size_t kPlainUpstream = 4;

/// Bound within which no new request may reach a leaving upstream.
constexpr milliseconds kDrainBound{2000};

bool knowsLeaving(const node_simulation &simulation, std::size_t daemon, const upstream_id &id)
{
    const node_state &state = simulation.state(daemon);
    const auto view = state.upstreams.find(id);
    return view != state.upstreams.end() && isLeaving(state, view->second);
}

/// Sends calls until the upstream has answered one of them.
void callUntilAnnounced(node_simulation &simulation, std::size_t daemon, std::size_t upstream)
{
    for (int i = 0; i < 20 && simulation.upstream(upstream).announcedTo.empty(); ++i) {
        simulation.sendCall(daemon, "announced-" + std::to_string(i));
        simulation.run(milliseconds{200});
    }
    ASSERT_FALSE(simulation.upstream(upstream).announcedTo.empty());
}

/// Sends calls and leaves time for their answers. @returns the exchanges.
std::vector<exchange_id> sendCalls(node_simulation &simulation, milliseconds gap = milliseconds{200})
{
    constexpr int kCalls = 20;
    std::vector<exchange_id> calls;
    for (int i = 0; i < kCalls; ++i) {
        calls.push_back(simulation.sendCall(0, "after-" + std::to_string(i)));
        simulation.run(gap);
    }
    return calls;
}

std::size_t requestsTo(const node_simulation &simulation, const upstream_id &id)
{
    const auto found = simulation.runsPerUpstream().find(id);
    return found == simulation.runsPerUpstream().end() ? 0 : found->second;
}

} // namespace

TEST(node_leaving, sendsNoCallAfterAnAnnouncementInAnAnswer)
{
    node_simulation simulation(1);
    simulation.run(kStartupTime);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    for (const exchange_id call : sendCalls(simulation)) {
        EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr) << call.value;
    }
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_leaving, announcementInARefusalCounts)
{
    node_simulation simulation(2);
    simulation.run(kStartupTime);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    simulation.upstream(kPlainUpstream).callBehaviour = call_behaviour::refuses;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    const std::size_t before = requestsTo(simulation, simulation.upstream(kPlainUpstream).entry.id);
    sendCalls(simulation);
    EXPECT_EQ(requestsTo(simulation, simulation.upstream(kPlainUpstream).entry.id), before);
    EXPECT_EQ(simulation.violationText(), "");
}

// The head of a stream announces it while the run goes on; the run may end there.
TEST(node_leaving, announcementAtTheHeadOfAStreamStopsNewRunsAndKeepsTheRunning)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.upstream(0).announcesLeave = true;
    const batch first = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(40, 30));
    simulation.submitBatch(0, first);
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(first); }, milliseconds{20'000}));
    const batch second = node_simulation::makeBatch("b2", "m0", 1, std::vector<unsigned>(40, 10));
    simulation.submitBatch(1, second);
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.allCommitted(second); }, milliseconds{20'000}));
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_leaving, ordersNoWeightsAfterAnAnnouncementInAStatusReport)
{
    node_simulation simulation(4);
    simulation.run(kStartupTime);
    simulation.upstream(0).announcesLeave = true;
    simulation.setNamedVersion("m0", 2);
    simulation.setNamedVersion("m1", 2);
    simulation.run(milliseconds{8000});
    EXPECT_FALSE(simulation.upstream(0).announcedTo.empty());
    EXPECT_EQ(simulation.upstream(0).orders, 0U);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_leaving, holdsWhileTheStoreIsAway)
{
    node_simulation simulation(5);
    simulation.run(kStartupTime);
    simulation.setStoreDown(true);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    sendCalls(simulation, milliseconds{100});
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_leaving, otherDaemonsLearnItWithinTheBound)
{
    node_simulation simulation(6);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    EXPECT_TRUE(simulation.runUntil(
            [&] { return knowsLeaving(simulation, 1, id) && knowsLeaving(simulation, 2, id); }, kDrainBound));
}

// A daemon that the store does not answer tells the others after its link is back; until then it alone knows.
TEST(node_leaving, daemonCutFromTheStoreTellsTheOthersAfterwards)
{
    node_simulation simulation(7);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.setStoreUnreachable(0, true);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    simulation.run(milliseconds{1000});
    EXPECT_TRUE(knowsLeaving(simulation, 0, id));
    simulation.setStoreUnreachable(0, false);
    EXPECT_TRUE(simulation.runUntil(
            [&] { return knowsLeaving(simulation, 1, id) && knowsLeaving(simulation, 2, id); },
            milliseconds{6000}));
    EXPECT_EQ(simulation.violationText(), "");
}

// A heartbeat without an answer may not have been written, so the next one carries the announcement again.
TEST(node_leaving, lostHeartbeatsCarryTheAnnouncementAgain)
{
    node_simulation simulation(8);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.setWritesRejected(table_id::daemons, true);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    simulation.run(milliseconds{1500});
    EXPECT_FALSE(knowsLeaving(simulation, 1, id));
    simulation.setWritesRejected(table_id::daemons, false);
    EXPECT_TRUE(simulation.runUntil([&] { return knowsLeaving(simulation, 1, id); }, milliseconds{4000}));
}

TEST(node_leaving, endsWithTheProcessThatAnnouncedIt)
{
    node_simulation simulation(9);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    simulation.crashUpstream(kPlainUpstream);
    simulation.run(milliseconds{500});
    simulation.restoreUpstream(kPlainUpstream);
    EXPECT_TRUE(simulation.runUntil(
            [&] {
                return !knowsLeaving(simulation, 0, id) && !knowsLeaving(simulation, 1, id)
                       && !knowsLeaving(simulation, 2, id);
            },
            milliseconds{6000}));
    const std::size_t before = requestsTo(simulation, id);
    sendCalls(simulation);
    EXPECT_GT(requestsTo(simulation, id), before);
}

// Another server at the address of a leaving one is a different upstream.
TEST(node_leaving, addressTakenOverByAnotherUpstreamIsFree)
{
    node_simulation simulation(10);
    simulation.run(kStartupTime);
    simulation.upstream(kPlainUpstream).announcesLeave = true;
    callUntilAnnounced(simulation, 0, kPlainUpstream);
    simulation.upstream(kPlainUpstream + 1).entry.address = simulation.upstream(kPlainUpstream).entry.address;
    simulation.run(milliseconds{3000});
    EXPECT_FALSE(knowsLeaving(simulation, 0, simulation.upstream(kPlainUpstream + 1).entry.id));
    const exchange_id call = simulation.sendCall(0, "c1");
    simulation.run(milliseconds{200});
    EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr);
}

// The losing attempt of a hedged call was cancelled, but the head of its response is already queued.
TEST(node_leaving, announcementOfALosingAttemptCounts)
{
    node_simulation simulation(11);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    node_state state = simulation.state(0);
    const op_id op{++state.lastOp};
    static_cast<void>(reduce(state, upstream_leave_announced{op, id}, {simulation.now(), {}, 1}));
    EXPECT_TRUE(isLeaving(state, state.upstreams.at(id)));
}

TEST(node_leaving, announcementOfAnEarlierProcessIsIgnored)
{
    node_simulation simulation(12);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    const op_id earlier{simulation.state(0).lastOp};
    simulation.crashUpstream(kPlainUpstream);
    simulation.restoreUpstream(kPlainUpstream);
    simulation.run(milliseconds{3000});
    node_state state = simulation.state(0);
    static_cast<void>(reduce(state, upstream_leave_announced{earlier, id}, {simulation.now(), {}, 1}));
    EXPECT_FALSE(isLeaving(state, state.upstreams.at(id)));
    static_cast<void>(
            reduce(state, upstream_leave_announced{op_id{state.lastOp + 1}, id}, {simulation.now(), {}, 1}));
    EXPECT_TRUE(isLeaving(state, state.upstreams.at(id)));
}

TEST(node_leaving, unknownUpstreamIsIgnored)
{
    node_state state = makeNodeState({});
    static_cast<void>(reduce(state, started{{1}}, {}));
    static_cast<void>(reduce(state, upstream_leave_announced{op_id{5}, {"gone"}}, {}));
    EXPECT_TRUE(state.leavingUpstreams.empty());
}

// Guards against requests to a leaving upstream after the daemon that was told is started again: its row
// would name only what the new process is told.
TEST(node_leaving, announcementsOutliveTheProcessThatWasTold)
{
    node_simulation simulation(11);
    simulation.run(kStartupTime);
    const auto announce = [&](std::size_t upstream) {
        simulation.upstream(upstream).announcesLeave = true;
        callUntilAnnounced(simulation, 0, upstream);
        simulation.run(kDrainBound);
        return simulation.upstream(upstream).entry.id;
    };
    const auto startAgain = [&](std::size_t daemon) {
        simulation.kill(daemon);
        simulation.run(milliseconds{300});
        simulation.start(daemon);
        simulation.run(kDrainBound);
    };
    const upstream_id first = announce(kPlainUpstream);
    startAgain(0);
    EXPECT_TRUE(knowsLeaving(simulation, 0, first));
    // The new process writes its row, too, and a daemon that starts later reads only that.
    const upstream_id second = announce(kPlainUpstream + 1);
    startAgain(1);
    EXPECT_TRUE(knowsLeaving(simulation, 1, first));
    EXPECT_TRUE(knowsLeaving(simulation, 1, second));
}

RC_GTEST_PROP(node_leaving, damagedRowOfAnotherDaemonIsIgnored, (const std::string &bytes))
{
    node_state state = makeNodeState({});
    static_cast<void>(reduce(state, started{{1}}, {}));
    step s{state, {}, {}};
    onLeavingRow(s, {{table_id::daemons, "", leavingKey({"h2"})}, 1, bytes, false});
    RC_ASSERT(state.leavingUpstreams.empty() || decodeLeaving({{}, 1, bytes, false}).has_value());
}

// All upstreams of a service are replaced one after the other while batches and calls go on.
TEST(node_leaving, replacementOfAllEnginesInTurnLosesNothing)
{
    for (std::uint64_t seed = 20; seed < 26; ++seed) {
        node_simulation simulation(seed, 3, 6);
        simulation.run(kStartupTime);
        const batch submitted = node_simulation::withRewards(
                node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(60, 40)));
        simulation.submitBatch(0, submitted);
        for (std::size_t i = 0; i < 5; ++i) {
            simulation.upstream(i).announcesLeave = true;
            simulation.run(milliseconds{700});
            simulation.crashUpstream(i);
            simulation.run(milliseconds{300});
            simulation.restoreUpstream(i);
        }
        EXPECT_TRUE(
                simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{40'000}))
                << seed;
        EXPECT_EQ(simulation.violationText(), "") << seed;
    }
}

} // namespace jacinthvale
