// Forwarded calls: one answer each, sent again only where that is allowed, and the truth about what ran.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStart{1500};

} // namespace

TEST(node_calls, aCallIsAnsweredWithTheUpstreamsOwnAnswer)
{
    node_simulation world(1);
    world.run(kStart);
    const exchange_id call = world.sendCall(0, "c1");
    world.run(milliseconds{200});
    ASSERT_NE(world.answerAs<answer_call>(call), nullptr);
    EXPECT_EQ(world.answerAs<answer_call>(call)->body, "c1");
}

TEST(node_calls, aSlowAnswerIsOvertakenAtAnotherUpstream)
{
    node_simulation world(2);
    world.upstream(4).interChunkLatency = milliseconds{900};
    world.upstream(5).interChunkLatency = milliseconds{20};
    world.run(kStart);
    for (int i = 0; i < 10; ++i) {
        const exchange_id call = world.sendCall(0, "c" + std::to_string(i));
        world.run(milliseconds{150});
        EXPECT_NE(world.answerAs<answer_call>(call), nullptr) << i;
    }
}

TEST(node_calls, aCallThatMayRunOnceIsNotSentAgainAfterABreak)
{
    node_simulation world(3);
    world.run(kStart);
    world.setBrokenCallShare(1);
    const exchange_id call = world.sendCall(0, "c1", "/once/1");
    world.run(milliseconds{300});
    ASSERT_NE(world.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(world.answerAs<refuse_call>(call)->reason, refusal::may_have_run);
    EXPECT_EQ(world.runsPerUpstream().size(), 1U);
}

TEST(node_calls, withoutAnyUpstreamTheCallerIsToldAtOnceThatNothingRan)
{
    node_simulation world(4);
    world.upstream(4).up = false;
    world.upstream(5).up = false;
    world.run(kStart);
    const exchange_id call = world.sendCall(0, "c1");
    world.run(milliseconds{100});
    ASSERT_NE(world.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(world.answerAs<refuse_call>(call)->reason, refusal::not_run);
    EXPECT_GT(world.answerAs<refuse_call>(call)->retryAfter.count(), 0);
}

TEST(node_calls, noMoreUpstreamsAreTriedThanTheRouteAllows)
{
    node_simulation world(5);
    world.run(kStart);
    world.setBrokenCallShare(1);
    for (int i = 0; i < 5; ++i) {
        const exchange_id call = world.sendCall(0, "c" + std::to_string(i));
        world.run(milliseconds{300});
        EXPECT_NE(world.answerAs<refuse_call>(call), nullptr);
    }
    std::size_t sent = 0;
    for (const auto &[id, number] : world.runsPerUpstream()) {
        sent += number;
    }
    EXPECT_LE(sent, 10U);
}

TEST(node_calls, aRouteThatDoesNotExistIsUnknown)
{
    node_simulation world(6);
    world.run(kStart);
    const exchange_id call = world.sendCall(0, "c1", "/other/1");
    world.run(milliseconds{50});
    ASSERT_NE(world.answerAs<refuse_call>(call), nullptr);
    EXPECT_EQ(world.answerAs<refuse_call>(call)->reason, refusal::not_found);
}

TEST(node_calls, anOlderConfigurationNeverComesBack)
{
    node_simulation world(7);
    world.run(kStart);
    route_table table = world.state(0).config;
    table.version = 5;
    world.putConfig(table);
    world.run(milliseconds{1500});
    EXPECT_EQ(world.state(0).config.version, 5U);
    table.version = 3;
    table.routes.clear();
    world.putConfig(table);
    world.dropHistory();
    world.run(milliseconds{3000});
    EXPECT_EQ(world.state(0).config.version, 5U);
    EXPECT_FALSE(world.state(0).config.routes.empty());
}

} // namespace jacinthvale
