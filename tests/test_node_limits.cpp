// Upstreams that name the requests per second which they take from all daemons together. The simulation
// checks each request against the limit (node_simulation::checkLimit).
#include "node_simulation.h"

#include <gtest/gtest.h>

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

} // namespace jacinthvale
