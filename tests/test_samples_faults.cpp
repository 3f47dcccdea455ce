// Samples under faults, against an oracle: what the trainer may see.
#include "samples_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

using namespace jacinthvale;

namespace {

/// The oracle is the trainer inside the world; no further model is needed.
struct no_model
{};

using treatment = samples_world::store_treatment;

/// One step of the world; the kind is weighted so that work makes progress between faults.
struct world_step : rc::state::Command<no_model, samples_world>
{
    int kind = 0;
    std::size_t target = 0;

    explicit world_step(const no_model &)
    {
        kind = *rc::gen::weightedElement<int>({{30, 0}, {2, 1},  {3, 2},  {2, 3},  {2, 4},  {1, 5},  {3, 6},
                                               {2, 7},  {2, 8},  {2, 9},  {2, 10}, {1, 11}, {1, 12}, {3, 13},
                                               {2, 14}, {2, 15}, {1, 16}, {2, 17}, {1, 18}, {1, 19}, {2, 20},
                                               {2, 21}, {3, 22}, {1, 23}, {2, 24}, {2, 25}, {4, 26}});
        target = *rc::gen::inRange<std::size_t>(0, 3);
    }

    void run(const no_model &, samples_world &world) const override
    {
        perform(world);
        for (const std::string &what : world.broken()) {
            RC_FAIL(what);
        }
    }

    void perform(samples_world &world) const
    {
        switch (kind) {
        case 0:
            return world.work(target);
        case 1:
            return world.serveStore(0, treatment::answer);
        case 2:
            return world.serveStore(target, treatment::lose_answer);
        case 3:
            return world.serveStore(target, treatment::refuse);
        case 4:
            return world.generateTokens();
        case 5:
            return world.crashEngine(target);
        case 6:
            return world.swapEngine(target);
        case 7:
            return world.confuseEngine(target, true);
        case 8:
            return world.clearEngine(target);
        case 9:
            return world.pauseDaemon(target);
        case 10:
            return world.wakeDaemon(target);
        case 11:
            return world.killDaemon(target);
        case 12:
            return world.pull(target);
        case 13:
            return world.abandonPull(target);
        case 14:
            return world.publishWeights(target);
        case 15:
            return world.postGroup(target, 2);
        case 16:
            return world.stopDaemon(target);
        case 17:
            return world.passTime(milliseconds{7000});
        case 18:
            return world.repeatOldPull(target);
        case 20:
            world.publishWeights(2);
            return world.restartTrainer(target);
        case 21:
            return world.restartTrainer(target);
        case 22:
            return world.serveStore(target, treatment::delay);
        case 23:
            return world.applyDelayed();
        case 24:
            world.publishWeights(2);
            return world.repeatOldPull(0);
        case 25:
            world.pull(target);
            return world.publishWeights(2);
        case 26:
            world.publishWeights(0);
            return world.confuseBriefly(target, target == 0);
        default:
            return world.confuseEngine(target, false);
        }
    }

    void show(std::ostream &os) const override { os << "step " << kind << " on " << target; }
};

} // namespace

RC_GTEST_PROP(samplesUnderFaults, everyAcceptedGroupBecomesWholeAndNothingElseIsSeen, ())
{
    samples_world world;
    world.postGroup(0, 4);
    world.postGroup(0, 3);
    const int warmUp = *rc::gen::inRange(0, 16);
    for (int i = 0; i < warmUp; ++i) {
        world.work(1);
    }
    rc::state::check(no_model{}, world, rc::state::gen::execOneOfWithArgs<world_step>());
    RC_ASSERT(world.heal());
    RC_ASSERT(world.broken().empty());
    RC_CLASSIFY(world.expiredSeen() > 0, "saw tombstones");
    RC_CLASSIFY(!world.trainer().accepted.empty(), "accepted groups");
}

TEST(samplesWorld, makesOneGroupWhole)
{
    samples_world world;
    world.postGroup(0, 4);
    EXPECT_TRUE(world.heal());
    EXPECT_EQ(world.trainer().accepted.size(), 1U);
    EXPECT_EQ(world.trainer().taken.size(), 4U);
    EXPECT_TRUE(world.broken().empty());
}
