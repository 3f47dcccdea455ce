// Claims and tickets through a long store outage, and how many transactions many claims cost.
#include "gate_simulation.h"

#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;

namespace {

std::string verdictOf(const submission &done)
{
    return done.answer ? done.answer->headers.at("Jacinthvale-Verdict") : "none";
}

/// Lets everything that is on its way arrive once.
void settle(gate_simulation &world, int steps)
{
    for (int i = 0; i < steps; ++i) {
        world.decideStore(0, store_fate::answer);
        world.decideCall(0, call_fate::served);
        world.decideMessage(0, true);
    }
}

/// Answers the store's operations, up to this many.
void answerStore(gate_simulation &world, int most)
{
    for (int i = 0; i < most; ++i) {
        world.decideStore(0, store_fate::answer);
    }
}

} // namespace

TEST(requests_outage, keepsAnswersAndServesTicketsForTenMinutes)
{
    gate_simulation world;
    world.submit(0, "k0", "k0|0", "");
    world.decideStore(0, store_fate::answer);
    world.decideCall(0, call_fate::served);
    EXPECT_EQ(verdictOf(world.submissions().back()), "ran");
    world.storeDown(true);
    constexpr int kSeconds = 600;
    int ticketsServed = 0;
    for (int second = 0; second < kSeconds; ++second) {
        const std::string name = std::to_string(second);
        const std::string ticket = world.takeTicket(1);
        world.submit(2, "t" + name, "t" + name + "|0", ticket);
        settle(world, 6);
        ticketsServed += verdictOf(world.submissions().back()) == "ran" ? 1 : 0;
        world.submit(1, "k" + name, "k" + name + "|0", "");
        settle(world, 6);
        EXPECT_EQ(verdictOf(world.submissions().back()), second == 0 ? "may-have-run" : "not-run");
        world.advance(milliseconds{1000});
        ASSERT_EQ(world.fault(), "");
    }
    EXPECT_EQ(ticketsServed, kSeconds);
    world.heal();
    world.submit(2, "k0", "k0|0", "");
    world.heal();
    EXPECT_EQ(verdictOf(world.submissions().back()), "ran");
    EXPECT_EQ(world.runs("k0"), 1);
    EXPECT_EQ(world.fault(), "");
}

TEST(requests_outage, aHundredCallsShareTheirTransactions)
{
    gate_simulation world;
    constexpr int kCalls = 100;
    for (int i = 0; i < kCalls; ++i) {
        const std::string key = "k" + std::to_string(i);
        world.submit(0, key, key + "|0", "");
    }
    answerStore(world, kCalls);
    for (int i = 0; i < kCalls; ++i) {
        world.decideCall(0, call_fate::served);
    }
    answerStore(world, kCalls);
    EXPECT_EQ(world.fault(), "");
    EXPECT_EQ(verdictOf(world.submissions().back()), "ran");
    EXPECT_LT(world.storeTransactions(), kCalls / 5);
}
