// Calls whose content crashes each upstream that runs them. They come again under new ids, at any daemon.
#include "node_simulation.h"

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
void sendAgain(node_simulation &simulation, unsigned calls, milliseconds interval)
{
    for (unsigned i = 0; i < calls; ++i) {
        simulation.sendCall(i % simulation.daemonCount(),
                            "crash-" + std::to_string(simulation.now().time_since_epoch().count()),
                            kCrashingPath);
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

} // namespace jacinthvale
