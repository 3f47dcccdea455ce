// Reports of usage against the requests that upstreams began.
#include "node_rows.h"
#include "node_simulation.h"

#include <cmath>
#include <gtest/gtest.h>
#include <iostream>

namespace jacinthvale {

using namespace node;
using test::duty_behaviour;
using test::node_simulation;

namespace {

constexpr std::size_t kDaemons = 6;

duty_settings makeSettings()
{
    duty_settings settings;
    settings.callsPerSecond = 4;
    settings.reportsUsage = true;
    return settings;
}

std::unique_ptr<node_simulation> makeFleet(std::uint64_t seed)
{
    auto simulation
            = std::make_unique<node_simulation>(seed, kDaemons, 2, 2000, std::nullopt, makeSettings());
    simulation->run(milliseconds{1500});
    route_table table = simulation->state(0).config;
    ++table.version;
    account_table::builder accounts;
    for (int i = 0; i < 4; ++i) {
        accounts.add({{"account" + std::to_string(i)}}, {"key" + std::to_string(i)});
    }
    table.accounts = std::move(accounts).build();
    simulation->putConfig(table);
    simulation->run(milliseconds{500});
    return simulation;
}

/// Sends calls of three accounts to all daemons that run, 50 a second.
void sendCalls(node_simulation &simulation, milliseconds time, unsigned accounts = 3)
{
    static std::uint64_t calls = 0;
    for (const instant end = simulation.now() + time; simulation.now() < end;) {
        const std::size_t daemon = ++calls % kDaemons;
        if (simulation.isUp(daemon)) {
            simulation.sendCall(daemon, "call" + std::to_string(calls), "/plain/1",
                                digestOf("key" + std::to_string(calls % accounts)));
        }
        simulation.run(milliseconds{20});
    }
}

/// @returns the sum over accounts of the differences between a report and the truth, relative to the truth.
double errorOf(const node_simulation &simulation, std::uint64_t window)
{
    const usage_counts &truth = simulation.trueUsage().at(window);
    usage_counts reported = simulation.usageReports().at(window);
    double difference = 0;
    double total = 0;
    for (const auto &[account, requests] : truth) {
        difference += std::abs(static_cast<double>(requests) - static_cast<double>(reported[account]));
        total += static_cast<double>(requests);
    }
    return difference / total;
}

/// @returns the windows whose report the platform must have by now.
std::vector<std::uint64_t> overdueWindows(const node_simulation &simulation)
{
    std::vector<std::uint64_t> windows;
    for (const auto &[window, counts] : simulation.trueUsage()) {
        if (window + 3 <= simulation.trueWindow()) {
            windows.push_back(window);
        }
    }
    return windows;
}

double worstError(const node_simulation &simulation)
{
    double worst = 0;
    for (const std::uint64_t window : overdueWindows(simulation)) {
        EXPECT_TRUE(simulation.usageReports().contains(window)) << window << " is missing";
        if (simulation.usageReports().contains(window)) {
            worst = std::max(worst, errorOf(simulation, window));
        }
    }
    return worst;
}

} // namespace

TEST(node_usage, takesTheMedianOfTheClocks)
{
    EXPECT_EQ(medianOffset({}), std::nullopt);
    EXPECT_EQ(medianOffset({5}), 5);
    EXPECT_EQ(medianOffset({8000, 3, -9000, 4, 5}), 4);
}

TEST(node_usage, waitsForTheCountsOfDaemonsThatMayHaveSome)
{
    const duty_settings settings = makeSettings();
    EXPECT_TRUE(isAccountedFor({55'000, true}, 10, settings));
    EXPECT_FALSE(isAccountedFor({54'999, true}, 10, settings));
    EXPECT_FALSE(isAccountedFor({50'001, false}, 10, settings)) << "it may be cut off from the store only";
    EXPECT_TRUE(isAccountedFor({49'000, false}, 10, settings)) << "it ended before the window";
    EXPECT_FALSE(isPressing(10, 61'999, settings));
    EXPECT_TRUE(isPressing(10, 62'000, settings));
    EXPECT_EQ(firstWindowDue(64'999, settings), 10U);
    EXPECT_EQ(firstWindowDue(65'000, settings), 11U);
}

TEST(node_usage, reportsWhatUpstreamsBegan)
{
    auto simulation = makeFleet(1);
    simulation->setClockOffset(0, milliseconds{7000});
    simulation->setClockOffset(1, milliseconds{-4000});
    sendCalls(*simulation, milliseconds{40'000});
    const double worst = worstError(*simulation);
    std::cout << "worst error of a window " << worst << "\n";
    EXPECT_LE(worst, 0.02);
    EXPECT_GE(overdueWindows(*simulation).size(), 5U);
    EXPECT_EQ(simulation->violationText(), "");
}

// Pattern: a host is killed, another one is cut off from the store, and the clocks of a third of the hosts
// jump, again and again.
TEST(node_usage, staysNearTheTruthUnderFaults)
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto simulation = makeFleet(seed);
        std::mt19937_64 random(seed);
        for (int fault = 0; fault < 10; ++fault) {
            const std::size_t victim = random() % kDaemons;
            const std::size_t cut = (victim + 1) % kDaemons;
            simulation->setClockOffset(fault % 2, milliseconds{static_cast<int>(random() % 20'000) - 10'000});
            simulation->setStoreUnreachable(cut, true);
            sendCalls(*simulation, milliseconds{static_cast<int>(random() % 2000)});
            simulation->kill(victim);
            sendCalls(*simulation, milliseconds{2000});
            simulation->setStoreUnreachable(cut, false);
            simulation->start(victim);
            sendCalls(*simulation, milliseconds{6000});
        }
        sendCalls(*simulation, milliseconds{15'000});
        worst = std::max(worst, worstError(*simulation));
        EXPECT_EQ(simulation->violationText(), "") << "seed " << seed;
    }
    std::cout << "worst error of a window " << worst << "\n";
    EXPECT_LE(worst, 0.05);
}

// Pattern: the platform takes a report and its answer is lost; then the holder is killed.
TEST(node_usage, successorRepeatsTheSameReport)
{
    auto simulation = makeFleet(3);
    sendCalls(*simulation, milliseconds{8000});
    simulation->setDutyBehaviour(duty_behaviour::loses_answers);
    const std::size_t reports = simulation->usageReports().size();
    while (simulation->usageReports().size() == reports) {
        sendCalls(*simulation, milliseconds{100});
    }
    simulation->kill(*simulation->dutyHolder());
    sendCalls(*simulation, milliseconds{4000});
    simulation->setDutyBehaviour(duty_behaviour::answers);
    sendCalls(*simulation, milliseconds{20'000});
    EXPECT_GE(simulation->dutyTurns(), 2U);
    EXPECT_LE(worstError(*simulation), 0.05);
    EXPECT_EQ(simulation->violationText(), "");
}

// Pattern: the platform does not answer, or refuses every call for its rate. Callers notice nothing, the
// calls keep their pace, and reports that are not overdue follow.
TEST(node_usage, delaysWhileThePlatformTakesNoCalls)
{
    for (const duty_behaviour behaviour : {duty_behaviour::silent, duty_behaviour::limits}) {
        auto simulation = makeFleet(4);
        sendCalls(*simulation, milliseconds{12'000});
        simulation->setDutyBehaviour(behaviour);
        const std::size_t calls = simulation->dutyCalls();
        sendCalls(*simulation, milliseconds{30'000});
        EXPECT_LE(simulation->dutyCalls() - calls, 30U);
        const exchange_id exchange = simulation->sendCall(0, "during", "/plain/1", digestOf("key0"));
        simulation->run(milliseconds{500});
        EXPECT_NE(simulation->answerAs<answer_call>(exchange), nullptr);
        simulation->setDutyBehaviour(duty_behaviour::answers);
        const std::uint64_t resumed = simulation->trueWindow();
        sendCalls(*simulation, milliseconds{20'000});
        EXPECT_TRUE(simulation->usageReports().contains(resumed - 1));
        EXPECT_TRUE(simulation->usageReports().contains(resumed));
        EXPECT_EQ(simulation->violationText(), "");
    }
}

TEST(node_usage, reportsWindowsWithoutRequestsAndAccountsThatAppearWithinOne)
{
    auto simulation = makeFleet(5);
    simulation->run(milliseconds{20'000});
    const std::uint64_t empty = simulation->trueWindow() - 2;
    ASSERT_TRUE(simulation->usageReports().contains(empty));
    EXPECT_TRUE(simulation->usageReports().at(empty).empty());
    sendCalls(*simulation, milliseconds{7000}, 1);
    sendCalls(*simulation, milliseconds{20'000}, 4);
    EXPECT_LE(worstError(*simulation), 0.02);
    EXPECT_EQ(simulation->violationText(), "");
}

// Pattern: an upstream refuses calls as not run; the caller's next attempt elsewhere runs.
TEST(node_usage, countsNoRequestThatDidNotRun)
{
    auto simulation = makeFleet(6);
    simulation->upstream(2).callBehaviour = test::call_behaviour::refuses;
    sendCalls(*simulation, milliseconds{15'000});
    simulation->upstream(3).callBehaviour = test::call_behaviour::refuses;
    sendCalls(*simulation, milliseconds{20'000});
    EXPECT_LE(worstError(*simulation), 0.02);
    const std::uint64_t refused = simulation->trueWindow() - 3;
    EXPECT_TRUE(simulation->usageReports().at(refused).empty());
}

} // namespace jacinthvale
