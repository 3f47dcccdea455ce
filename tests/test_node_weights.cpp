// Weights: one holder at a time, loads that pass on with the lease, and steps that find upstreams that serve
// them.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStart{1500};

/// Number of upstreams that hold this version of the model or a newer one.
std::size_t holders(node_simulation &world, std::size_t upstreams, const std::string &model,
                    std::uint64_t version)
{
    std::size_t number = 0;
    for (std::size_t i = 0; i < upstreams; ++i) {
        number += world.upstream(i).entry.weights[{model}].value >= version ? 1 : 0;
    }
    return number;
}

std::size_t holderOf(const node_simulation &world)
{
    for (std::size_t i = 0; i < world.daemonCount(); ++i) {
        if (world.isUp(i) && world.state(i).conductor.held) {
            return i;
        }
    }
    return world.daemonCount();
}

} // namespace

TEST(node_weights, namedVersionIsLoadedOnTheModelsShareOnly)
{
    node_simulation world(1, 3, 6);
    world.run(kStart);
    world.setNamedVersion("m0", 2);
    world.setNamedVersion("m1", 2);
    world.run(milliseconds{8000});
    EXPECT_EQ(holders(world, 6, "m0", 2), 3U);
    EXPECT_EQ(holders(world, 6, "m1", 2), 3U);
    EXPECT_EQ(world.ordersSent(), 6U);
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_weights, killedHolderIsFollowedWithinTheTimeOfAStep)
{
    node_simulation world(2, 3, 6);
    world.run(kStart);
    world.setNamedVersion("m0", 2);
    ASSERT_TRUE(
            world.runUntil([&] { return holderOf(world) < world.daemonCount() && world.ordersSent() > 0; },
                           milliseconds{3000}));
    world.kill(holderOf(world));
    const instant killed = world.now();
    ASSERT_TRUE(world.runUntil([&] { return holderOf(world) < world.daemonCount(); }, milliseconds{4000}));
    EXPECT_LT(world.now() - killed, milliseconds{2500});
    world.run(milliseconds{9000});
    EXPECT_EQ(holders(world, 6, "m0", 2), 3U);
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_weights, stoppingHolderGivesTheLeaseUpAtOnce)
{
    node_simulation world(3, 3, 6);
    world.run(kStart);
    world.setNamedVersion("m0", 2);
    ASSERT_TRUE(world.runUntil([&] { return holderOf(world) < world.daemonCount(); }, milliseconds{3000}));
    const std::size_t before = holderOf(world);
    world.stop(before);
    EXPECT_TRUE(
            world.runUntil([&] { return holderOf(world) < world.daemonCount() && holderOf(world) != before; },
                           milliseconds{1000}));
    world.run(milliseconds{8000});
    EXPECT_EQ(holders(world, 6, "m0", 2), 3U);
    EXPECT_EQ(world.violationText(), "");
}

TEST(node_weights, frozenHolderSendsNothingAfterItsLease)
{
    for (std::uint64_t seed = 10; seed < 40; ++seed) {
        node_simulation world(seed, 3, 6);
        world.run(kStart);
        for (std::uint64_t version = 2; version < 6; ++version) {
            world.setNamedVersion("m0", version);
            world.setNamedVersion("m1", version);
            world.run(milliseconds{static_cast<int>(400 + seed * 37 % 900)});
            if (holderOf(world) < world.daemonCount()) {
                world.freeze(holderOf(world), milliseconds{4000});
            }
            world.run(milliseconds{5000});
        }
        EXPECT_EQ(world.violationText(), "") << "seed " << seed;
    }
}

TEST(node_weights, oneUpstreamIsNeverOrderedByTwoHoldersWithinTheLeaseTime)
{
    for (std::uint64_t seed = 50; seed < 90; ++seed) {
        node_simulation world(seed, 4, 6);
        world.run(kStart);
        for (std::uint64_t version = 2; version < 8; ++version) {
            world.setNamedVersion("m0", version);
            world.setNamedVersion("m1", version);
            world.run(milliseconds{static_cast<int>(150 + seed * 53 % 1200)});
            const std::size_t holder = holderOf(world);
            if (holder < world.daemonCount()) {
                if (seed % 2 == 0) {
                    world.kill(holder);
                    world.run(milliseconds{300});
                    world.start(holder);
                } else {
                    world.stop(holder);
                    world.run(milliseconds{2000});
                    if (!world.isUp(holder)) {
                        world.start(holder);
                    }
                }
            }
            world.run(milliseconds{1500});
        }
        EXPECT_EQ(world.violationText(), "") << "seed " << seed;
    }
}

TEST(node_weights, upstreamsThatCannotServeTheStepAreLoadedFirst)
{
    // Pattern: the store was away while versions were named; many upstreams are two behind and serve nothing.
    node_simulation world(4, 3, 10);
    world.run(kStart);
    for (std::size_t i = 0; i < 3; ++i) {
        world.upstream(i).entry.weights[{"m0"}] = {3};
    }
    world.setNamedVersion("m0", 4);
    world.run(milliseconds{4500});
    const std::size_t serving = holders(world, 10, "m0", 3);
    // Four loads in the time; one of an upstream that serves already would leave fewer serving.
    EXPECT_GE(serving, 5U);
}

TEST(node_weights, aLoadIsKnownEverywhereBeforeTheListShowsIt)
{
    // Pattern: the list of upstreams shows a load one to two seconds late; a step's items wait for it that
    // long.
    node_simulation world(6, 3, 6);
    world.run(kStart);
    world.setNamedVersion("m0", 2);
    const auto known = [&](std::size_t daemon) {
        return std::ranges::any_of(world.state(daemon).upstreams, [](const auto &each) {
            const auto found = each.second.entry.weights.find({"m0"});
            return found != each.second.entry.weights.end() && found->second.value >= 2;
        });
    };
    ASSERT_TRUE(world.runUntil([&] { return holders(world, 6, "m0", 2) > 0; }, milliseconds{6000}));
    world.run(milliseconds{400});
    for (std::size_t i = 0; i < world.daemonCount(); ++i) {
        EXPECT_TRUE(known(i)) << i;
    }
}

TEST(node_weights, aLargeFleetLoadsManyAtOnce)
{
    // Pattern: 45 upstreams and two loads at a time leave most of them without the version that a step
    // allows.
    node_simulation world(5, 3, 40);
    world.run(kStart);
    world.setNamedVersion("m0", 2);
    world.setNamedVersion("m1", 2);
    world.run(milliseconds{9000});
    EXPECT_EQ(holders(world, 40, "m0", 2) + holders(world, 40, "m1", 2), 40U);
}

} // namespace jacinthvale
