// Forwarded calls: each gets one response, is retried only where its route allows it, and a refusal states
// whether the request may have run.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};

} // namespace

TEST(node_calls, answersCallWithUpstreamResponse)
{
    node_simulation simulation(1);
    simulation.run(kStartupTime);
    const exchange_id call = simulation.sendCall(0, "c1");
    simulation.run(milliseconds{200});
    ASSERT_NE(simulation.answerAs<answer_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<answer_call>(call)->body, "c1");
}

TEST(node_calls, hedgesSlowCallToAnotherUpstream)
{
    node_simulation simulation(2);
    simulation.upstream(4).interChunkLatency = milliseconds{900};
    simulation.upstream(5).interChunkLatency = milliseconds{20};
    simulation.run(kStartupTime);
    for (int i = 0; i < 10; ++i) {
        const exchange_id call = simulation.sendCall(0, "c" + std::to_string(i));
        simulation.run(milliseconds{150});
        EXPECT_NE(simulation.answerAs<answer_call>(call), nullptr) << i;
    }
}

TEST(node_calls, doesNotRetryOnceOnlyCallAfterBrokenConnection)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1);
    const exchange_id call = simulation.sendCall(0, "c1", "/once/1");
    simulation.run(milliseconds{300});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::may_have_run);
    EXPECT_EQ(simulation.runsPerUpstream().size(), 1U);
}

// Clients got broken answers as answers. Whether the request ran is not known.
TEST(node_calls, doesNotRetryOnceOnlyCallAfterMalformedAnswer)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1, call_end::malformed);
    const exchange_id call = simulation.sendCall(0, "c1", "/once/1");
    simulation.run(milliseconds{300});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::may_have_run);
    EXPECT_EQ(simulation.runsPerUpstream().size(), 1U);
}

// This process had no memory for the answer: the request may have run, and the upstream did nothing wrong.
TEST(node_calls, displacedAnswerIsNeitherSentAgainNorHeldAgainstItsUpstream)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1, call_end::displaced);
    const exchange_id call = simulation.sendCall(0, "c1", "/once/1");
    simulation.run(milliseconds{300});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::may_have_run);
    ASSERT_EQ(simulation.runsPerUpstream().size(), 1U);
    const node_state &state = simulation.state(0);
    const node::upstream_view &view = state.upstreams.at(simulation.runsPerUpstream().begin()->first);
    EXPECT_LE(view.ejectedUntil, simulation.now());
    EXPECT_EQ(view.brokeAt, instant{});
    EXPECT_TRUE(state.suspectedContents.empty());
}

TEST(node_calls, sendsSafeCallToAnotherUpstreamAfterMalformedAnswer)
{
    node_simulation simulation(3);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1, call_end::malformed);
    const exchange_id call = simulation.sendCall(0, "c1");
    simulation.run(milliseconds{300});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::may_have_run);
    EXPECT_EQ(simulation.runsPerUpstream().size(), 2U);
}

TEST(node_calls, immediatelyRefusesCallAsNotRunWithoutUpstream)
{
    node_simulation simulation(4);
    simulation.upstream(4).up = false;
    simulation.upstream(5).up = false;
    simulation.run(kStartupTime);
    const exchange_id call = simulation.sendCall(0, "c1");
    simulation.run(milliseconds{100});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::not_run);
    EXPECT_GT(simulation.answerAs<refuse_call>(call)->retryAfter.count(), 0);
}

TEST(node_calls, limitsAttemptsToRouteMaximum)
{
    node_simulation simulation(5);
    simulation.run(kStartupTime);
    simulation.setBrokenCallShare(1);
    for (int i = 0; i < 5; ++i) {
        const exchange_id call = simulation.sendCall(0, "c" + std::to_string(i));
        simulation.run(milliseconds{300});
        EXPECT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    }
    std::size_t attempts = 0;
    for (const auto &[id, runCount] : simulation.runsPerUpstream()) {
        attempts += runCount;
    }
    EXPECT_LE(attempts, 10U);
}

TEST(node_calls, refusesCallWithUnknownRoute)
{
    node_simulation simulation(6);
    simulation.run(kStartupTime);
    const exchange_id call = simulation.sendCall(0, "c1", "/other/1");
    simulation.run(milliseconds{50});
    ASSERT_NE(simulation.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(simulation.answerAs<refuse_call>(call)->reason, refusal::not_found);
}

TEST(node_calls, ignoresOlderConfigurationAfterFullRead)
{
    node_simulation simulation(7);
    simulation.run(kStartupTime);
    route_table table = simulation.state(0).config;
    table.version = 5;
    simulation.putConfig(table);
    simulation.run(milliseconds{1500});
    EXPECT_EQ(simulation.state(0).config.version, 5U);
    table.version = 3;
    table.routes.clear();
    simulation.putConfig(table);
    simulation.dropHistory();
    simulation.run(milliseconds{3000});
    EXPECT_EQ(simulation.state(0).config.version, 5U);
    EXPECT_FALSE(simulation.state(0).config.routes.empty());
}

} // namespace jacinthvale
