// Claims and tickets during a long store outage, and the number of transactions for many claims.
#include "gate_simulation.h"

#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;

namespace {

std::string verdictOf(const submission &submitted)
{
    return submitted.answer ? submitted.answer->headers.at("Jacinthvale-Verdict") : "none";
}

/// Completes the first pending store operation, call and message, the given number of times.
void finishPendingOperations(gate_simulation &simulation, int steps)
{
    for (int i = 0; i < steps; ++i) {
        simulation.finishStoreCall(0, store_behavior::answer);
        simulation.finishUpstreamCall(0, call_behavior::served);
        simulation.finishMessage(0, true);
    }
}

/// Answers up to maxCount pending store operations.
void answerStoreCalls(gate_simulation &simulation, int maxCount)
{
    for (int i = 0; i < maxCount; ++i) {
        simulation.finishStoreCall(0, store_behavior::answer);
    }
}

} // namespace

TEST(requests_outage, keepsRecordedAnswersAndServesTicketsDuringTenMinuteOutage)
{
    gate_simulation simulation;
    simulation.submit(0, "k0", "k0|0", "");
    simulation.finishStoreCall(0, store_behavior::answer);
    simulation.finishUpstreamCall(0, call_behavior::served);
    EXPECT_EQ(verdictOf(simulation.submissions().back()), "ran");
    simulation.setStoreDown(true);
    constexpr int kSeconds = 600;
    int ticketsServed = 0;
    for (int second = 0; second < kSeconds; ++second) {
        const std::string name = std::to_string(second);
        const std::string ticket = simulation.requestTicket(1);
        simulation.submit(2, "t" + name, "t" + name + "|0", ticket);
        finishPendingOperations(simulation, 6);
        ticketsServed += verdictOf(simulation.submissions().back()) == "ran" ? 1 : 0;
        simulation.submit(1, "k" + name, "k" + name + "|0", "");
        finishPendingOperations(simulation, 6);
        // Key k0 was used before the outage, so it may have run. All other keys are declared new.
        EXPECT_EQ(verdictOf(simulation.submissions().back()), second == 0 ? "may-have-run" : "not-run");
        simulation.advance(milliseconds{1000});
        ASSERT_EQ(simulation.violation(), "");
    }
    EXPECT_EQ(ticketsServed, kSeconds);
    simulation.recoverAndFinish();
    simulation.submit(2, "k0", "k0|0", "");
    simulation.recoverAndFinish();
    EXPECT_EQ(verdictOf(simulation.submissions().back()), "ran");
    EXPECT_EQ(simulation.runCount("k0"), 1);
    EXPECT_EQ(simulation.violation(), "");
}

TEST(requests_outage, batchesClaimsOfConcurrentCalls)
{
    gate_simulation simulation;
    constexpr int kCalls = 100;
    for (int i = 0; i < kCalls; ++i) {
        const std::string key = "k" + std::to_string(i);
        simulation.submit(0, key, key + "|0", "");
    }
    answerStoreCalls(simulation, kCalls);
    for (int i = 0; i < kCalls; ++i) {
        simulation.finishUpstreamCall(0, call_behavior::served);
    }
    answerStoreCalls(simulation, kCalls);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_EQ(verdictOf(simulation.submissions().back()), "ran");
    EXPECT_LT(simulation.transactionCount(), kCalls / 5);
}
