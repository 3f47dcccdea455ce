// Leases: who may acquire one, who may act, and that holders of the duties take turns as the platform
// demands.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

const host_id kSelf{"host0"};
const host_id kOther{"host1"};
constexpr incarnation_id kIncarnation{7};
constexpr instant kStart{milliseconds{10'000}};

lease_state makeLease(const lease_claim &claim)
{
    lease_state lease;
    applyLeaseRow(lease, claim, 1, kSelf, kIncarnation, kStart);
    return lease;
}

lease_state makeHeldLease()
{
    lease_state lease;
    beginLeaseWrite(lease, {1}, kSelf, kIncarnation, false, kStart);
    EXPECT_EQ(applyLeaseCommit(lease, 1, kStart + milliseconds{10}), lease_change::taken);
    return lease;
}

} // namespace

TEST(node_leases, isAvailableOnceTheHolderCanActNoMore)
{
    const lease_state lease = makeLease({kOther, {3}, {5}, false});
    const auto available = [&](std::optional<incarnation_id> replacement, milliseconds after) {
        return mayAcquire(lease, kSelf, kIncarnation, replacement, kStart + after);
    };
    EXPECT_FALSE(available(std::nullopt, kLeaseValidity + kLeaseSuccessorMargin - milliseconds{1}));
    EXPECT_TRUE(available(std::nullopt, kLeaseValidity + kLeaseSuccessorMargin));
    EXPECT_FALSE(available(incarnation_id{3}, milliseconds{0}));
    EXPECT_TRUE(available(incarnation_id{4}, milliseconds{0})) << "its host runs another process";
    EXPECT_TRUE(mayAcquire(makeLease({kOther, {3}, {5}, true}), kSelf, kIncarnation, std::nullopt, kStart));
    EXPECT_TRUE(mayAcquire({}, kSelf, kIncarnation, std::nullopt, kStart)) << "no row";
    EXPECT_TRUE(mayAcquire(makeLease({kSelf, {6}, {5}, false}), kSelf, kIncarnation, std::nullopt, kStart))
            << "held by the former process of this host";
    EXPECT_FALSE(mayAcquire(makeLease({kSelf, kIncarnation, {5}, false}), kSelf, kIncarnation, std::nullopt,
                            kStart));
}

TEST(node_leases, holderActsForALimitedTimeAfterTheStartOfItsLastWrite)
{
    lease_state lease = makeHeldLease();
    EXPECT_TRUE(isHeldFor(lease, milliseconds{100}, kStart + kLeaseValidity - milliseconds{101}));
    EXPECT_FALSE(isHeldFor(lease, milliseconds{100}, kStart + kLeaseValidity - milliseconds{100}));
    EXPECT_EQ(expireLease(lease, kStart + kLeaseValidity - milliseconds{1}), lease_change::none);
    EXPECT_EQ(expireLease(lease, kStart + kLeaseValidity), lease_change::lost);
    EXPECT_FALSE(isHeldFor(lease, milliseconds{0}, kStart));
}

TEST(node_leases, fencingNumberRisesWithEachAcquisitionOnly)
{
    lease_state lease = makeLease({kOther, {3}, {5}, true});
    EXPECT_EQ(beginLeaseWrite(lease, {1}, kSelf, kIncarnation, false, kStart).epoch.value, 6U);
    EXPECT_EQ(applyLeaseCommit(lease, 2, kStart), lease_change::taken);
    EXPECT_EQ(beginLeaseWrite(lease, {2}, kSelf, kIncarnation, false, kStart).epoch.value, 6U);
    EXPECT_EQ(applyLeaseCommit(lease, 3, kStart), lease_change::none);
    EXPECT_TRUE(beginLeaseWrite(lease, {3}, kSelf, kIncarnation, true, kStart).released);
    EXPECT_EQ(applyLeaseCommit(lease, 4, kStart), lease_change::released);
    EXPECT_EQ(beginLeaseWrite(lease, {4}, kSelf, kIncarnation, false, kStart).epoch.value, 7U);
}

// Pattern: the answer to a write arrives after another holder's row, because this process was suspended.
TEST(node_leases, lateAnswerDoesNotReviveALease)
{
    lease_state lease = makeHeldLease();
    beginLeaseWrite(lease, {2}, kSelf, kIncarnation, false, kStart);
    EXPECT_EQ(applyLeaseRow(lease, {kOther, {3}, {2}, false}, 5, kSelf, kIncarnation, kStart),
              lease_change::lost);
    EXPECT_EQ(applyLeaseCommit(lease, 2, kStart), lease_change::none);
    EXPECT_FALSE(lease.held);
    EXPECT_EQ(lease.claim.holder, kOther);
}

// Pattern: kills, cuts from the store, suspensions and stops one after the other, each of the holder, while
// answers of the store are lost and writes arrive late.
TEST(node_leases, holdersOfDutiesTakeTurnsUnderAnySeriesOfFaults)
{
    std::size_t turns = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        duty_settings settings;
        settings.callsPerSecond = 20;
        settings.reportsUsage = true;
        settings.usageWindow = milliseconds{500};
        settings.usageDue = milliseconds{9000};
        node_simulation simulation(seed, 4, 1, 2000, std::nullopt, settings);
        simulation.setLostAnswerShare(seed % 2 == 0 ? 0.1 : 0);
        simulation.setLateWriteShare(seed % 3 == 0 ? 0.02 : 0);
        simulation.run(milliseconds{4000});
        std::mt19937_64 random(seed);
        for (int fault = 0; fault < 12; ++fault) {
            const std::size_t victim = simulation.dutyHolder().value_or(random() % 4);
            const milliseconds length{300 + static_cast<int>(random() % 3700)};
            switch (random() % 4) {
            case 0:
                simulation.kill(victim);
                break;
            case 1:
                simulation.stop(victim);
                break;
            case 2:
                simulation.freeze(victim, length);
                break;
            default:
                simulation.setStoreUnreachable(victim, true);
            }
            simulation.run(length);
            simulation.setStoreUnreachable(victim, false);
            simulation.run(milliseconds{static_cast<int>(random() % 3000)});
            if (!simulation.isUp(victim)) {
                simulation.start(victim);
            }
        }
        simulation.run(milliseconds{6000});
        EXPECT_EQ(simulation.violationText(), "") << "seed " << seed;
        EXPECT_TRUE(simulation.dutyHolder().has_value()) << "seed " << seed;
        turns += simulation.dutyTurns();
    }
    EXPECT_GT(turns, 24U);
}

} // namespace jacinthvale
