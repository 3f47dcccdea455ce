// Upstreams that name the requests per second which they take from all daemons together. The simulation
// checks each request against the limit (node_simulation::checkLimit).
#include "node_rows.h"
#include "node_simulation.h"
#include "node_step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

/// Index of the first of two plain upstreams; the ones before are engines.
constexpr std::size_t kPlainUpstream = 4;

/// Sends calls at even times, to the daemons in turn. @returns the exchanges.
std::vector<exchange_id> sendCalls(node_simulation &simulation, unsigned perSecond, unsigned seconds)
{
    constexpr unsigned kSecondMs = 1000;
    std::vector<exchange_id> calls;
    for (unsigned i = 0; i < perSecond * seconds; ++i) {
        calls.push_back(simulation.sendCall(i % simulation.daemonCount(), "c" + std::to_string(i)));
        simulation.run(milliseconds{kSecondMs / perSecond});
    }
    return calls;
}

} // namespace

// Each daemon of a fleet stays below the limit on its own, but their sum was several times the limit.
TEST(node_limits, fleetTogetherStaysWithinTheLimitOfAnUpstream)
{
    node_simulation simulation(1, 12);
    simulation.run(kStartupTime);
    simulation.setLimit(kPlainUpstream, 1);
    simulation.setLimit(kPlainUpstream + 1, 1);
    sendCalls(simulation, 20, 20);
    EXPECT_EQ(simulation.violationText(), "");
}

// Callers reach few of the daemons, and other ones after a while; their shares follow the demand.
TEST(node_limits, sharesFollowTheDemand)
{
    for (std::uint64_t seed = 10; seed < 14; ++seed) {
        node_simulation simulation(seed, 12);
        simulation.run(kStartupTime);
        simulation.setLimit(kPlainUpstream, 3);
        simulation.setLimit(kPlainUpstream + 1, 3);
        std::vector<exchange_id> calls;
        for (unsigned i = 0; i < 800; ++i) {
            const std::size_t daemon = i < 400 ? i % 2 : 5 + i % 7;
            calls.push_back(simulation.sendCall(daemon, "c" + std::to_string(i)));
            simulation.run(milliseconds{50});
        }
        const auto answered = std::ranges::count_if(
                calls, [&](exchange_id call) { return simulation.answerAs<answer_call>(call) != nullptr; });
        // 40 s at three requests per second of each of two upstreams.
        EXPECT_GE(answered, 2 * 3 * 40 / 2) << seed;
        EXPECT_EQ(simulation.violationText(), "") << seed;
    }
}

// An idle fleet has saved up its shares; a sudden burst must not use all of them at once.
TEST(node_limits, burstAfterAnIdleTimeStaysWithinTheLimit)
{
    node_simulation simulation(20, 12);
    simulation.run(kStartupTime);
    simulation.setLimit(kPlainUpstream, 1);
    simulation.setLimit(kPlainUpstream + 1, 1);
    sendCalls(simulation, 10, 10);
    simulation.run(milliseconds{30'000});
    sendCalls(simulation, 100, 3);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_limits, callsOverTheLimitAreRefusedAtOnceAsNotRun)
{
    node_simulation simulation(21);
    simulation.run(kStartupTime);
    simulation.setLimit(kPlainUpstream, 1);
    simulation.setLimit(kPlainUpstream + 1, 1);
    const std::vector<exchange_id> calls = sendCalls(simulation, 20, 10);
    std::size_t refused = 0;
    for (const exchange_id call : calls) {
        if (const auto *refusal = simulation.answerAs<refuse_call>(call)) {
            EXPECT_EQ(refusal->reason, refusal::not_run);
            EXPECT_GT(refusal->retryAfter.count(), 0);
            ++refused;
        }
    }
    EXPECT_GT(refused, calls.size() / 2);
    EXPECT_EQ(simulation.violationText(), "");
}

// Runs, reward calls, hedges and moves count like calls.
TEST(node_limits, batchesStayWithinTheLimitAndAreFinished)
{
    node_simulation simulation(22);
    simulation.run(kStartupTime);
    for (std::size_t i = 0; i < kPlainUpstream + 2; ++i) {
        simulation.setLimit(i, 2);
    }
    simulation.upstream(1).interChunkLatency = milliseconds{200};
    simulation.upstream(kPlainUpstream).interChunkLatency = milliseconds{400};
    const batch submitted = node_simulation::withRewards(
            node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(60, 30)));
    simulation.submitBatch(0, submitted);
    EXPECT_TRUE(
            simulation.runUntil([&] { return simulation.allCommitted(submitted); }, milliseconds{60'000}));
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_limits, liftedLimitIsForgottenByAllDaemons)
{
    node_simulation simulation(23);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.setLimit(kPlainUpstream, 1);
    sendCalls(simulation, 10, 5);
    EXPECT_EQ(simulation.state(1).upstreams.at(id).limit.perSecond, 1);
    simulation.setLimit(kPlainUpstream, std::nullopt);
    sendCalls(simulation, 10, 5);
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        EXPECT_EQ(simulation.state(i).upstreams.at(id).limit.perSecond, 0) << i;
    }
}

// The daemons that hear of a limit from others hold it before the upstream answers them.
TEST(node_limits, limitReachesDaemonsWithoutAResponse)
{
    node_simulation simulation(24);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.setLimit(kPlainUpstream, 1);
    for (int i = 0; i < 10; ++i) {
        simulation.sendCall(0, "c" + std::to_string(i));
        simulation.run(milliseconds{200});
    }
    EXPECT_EQ(simulation.state(2).upstreams.at(id).limit.perSecond, 1);
}

// A daemon that starts again learns of the limits that its former process knew.
TEST(node_limits, restartedDaemonsKeepTheLimit)
{
    node_simulation simulation(25);
    simulation.run(kStartupTime);
    simulation.setLimit(kPlainUpstream, 1);
    simulation.setLimit(kPlainUpstream + 1, 1);
    sendCalls(simulation, 20, 6);
    for (std::size_t i = 0; i < simulation.daemonCount(); ++i) {
        simulation.kill(i);
        simulation.start(i);
    }
    simulation.run(kStartupTime);
    sendCalls(simulation, 20, 10);
    EXPECT_EQ(simulation.violationText(), "");
}

TEST(node_limits, limitEndsWithTheProcessThatNamedIt)
{
    node_simulation simulation(26);
    simulation.run(kStartupTime);
    const upstream_id id = simulation.upstream(kPlainUpstream).entry.id;
    simulation.setLimit(kPlainUpstream, 1);
    sendCalls(simulation, 10, 5);
    simulation.crashUpstream(kPlainUpstream);
    simulation.run(milliseconds{500});
    simulation.restoreUpstream(kPlainUpstream);
    simulation.run(milliseconds{4000});
    EXPECT_EQ(simulation.state(0).upstreams.at(id).limit.perSecond, 0);
}

RC_GTEST_PROP(node_limits, damagedAdvisoryIsIgnored, (const std::string &bytes))
{
    node_state state = makeNodeState({});
    static_cast<void>(reduce(state, started{{1}}, {}));
    step s{state, {}, {}};
    const row received{{table_id::daemons, "", advisoryKey({"h2"})}, 1, bytes, false};
    onAdvisoryRow(s, received);
    RC_ASSERT(state.peerAdvisories.empty() || decodeAdvisory(received).has_value());
}

TEST(node_limits, valuesThatNewerBuildsAppendAreIgnored)
{
    daemon_advisory advisory;
    advisory.limits["u1"] = {7, 2.5, 9};
    advisory.demand["plain"] = 3;
    const std::string bytes = encodeAdvisory(advisory) + "more";
    EXPECT_EQ(decodeAdvisory({{}, 1, bytes, false}), advisory);
}

} // namespace jacinthvale
