// Single faults of the configuration domain, step by step.
#include "config_simulation.h"

#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;

namespace {

constexpr milliseconds kSecond{1000};

std::string resultOf(const config_simulation &system)
{
    return system.answers.empty() ? "no answer" : system.answers.back().body.value("result", "");
}

std::string codeOf(const config_simulation &system)
{
    return system.answers.empty() ? "no answer"
                                  : system.answers.back().body.value("/error/code"_json_pointer, "");
}

/// Three daemons in one revision made by a change.
struct config_faults : ::testing::Test
{
    config_simulation system{3};

    config_faults()
    {
        system.advance(2 * kSecond);
        system.post(0, "/v1/config/changes", system.changeOf(0, "first", 7));
        system.advance(2 * kSecond);
    }
};

} // namespace

TEST_F(config_faults, startsWithNoneAndAcceptsAChange)
{
    EXPECT_EQ(resultOf(system), "accepted");
    EXPECT_EQ(system.answers.back().body["confirmed"].size(), 2U);
    EXPECT_TRUE(system.allEqual());
}

TEST_F(config_faults, isNotReadyBeforeItHasADocument)
{
    system.daemons[1].storeCut = true;
    system.daemons[1].peersCut = true;
    system.start(1);
    system.advance(5 * kSecond);
    EXPECT_FALSE(system.daemons[1].ready);
    system.daemons[1].peersCut = false;
    system.advance(2 * kSecond);
    EXPECT_TRUE(system.daemons[1].ready);
    EXPECT_EQ(system.revisionOf(1), 1U);
}

TEST_F(config_faults, startsWithThePeersDocumentWhereTheStoreIsOlder)
{
    system.table.restore({}, false);
    system.start(1);
    system.advance(3 * kSecond);
    EXPECT_EQ(system.revisionOf(1), 1U);
    EXPECT_EQ(system.violation, "");
}

TEST_F(config_faults, tellsThatTheAnswerWasLostAndFindsTheCommit)
{
    system.losesAnswers = true;
    const auto change = system.changeOf(1, "second", 8);
    system.post(1, "/v1/config/changes", change);
    system.advance(kSecond);
    EXPECT_EQ(resultOf(system), "unknown");
    system.losesAnswers = false;
    system.post(2, "/v1/config/changes", change);
    system.advance(2 * kSecond);
    EXPECT_EQ(resultOf(system), "accepted");
    EXPECT_EQ(system.answers.back().body["revision"], 2U);
    system.post(2, "/v1/config/changes", system.changeOf(2, "second", 9));
    system.advance(2 * kSecond);
    EXPECT_EQ(codeOf(system), "change-id-used");
}

TEST_F(config_faults, refusesChangesOverAnOldStoreUntilARepair)
{
    const auto copy = system.table;
    system.post(0, "/v1/config/changes", system.changeOf(0, "second", 8));
    system.advance(2 * kSecond);
    system.table.restore(copy, true);
    system.advance(4 * kSecond);
    EXPECT_EQ(system.daemons[1].state.problem, config_problem::store_behind);
    EXPECT_EQ(system.revisionOf(1), 2U);
    system.post(1, "/v1/config/changes", system.changeOf(1, "third", 9));
    system.advance(2 * kSecond);
    EXPECT_EQ(codeOf(system), "store-behind");
    system.post(1, "/v1/config/repair", {{"changeId", "fix"}, {"baseRevision", 2}, {"reason", "restored"}});
    system.advance(4 * kSecond);
    EXPECT_EQ(resultOf(system), "accepted");
    EXPECT_EQ(system.revisionOf(0), 3U);
    EXPECT_EQ(system.daemons[2].state.problem, config_problem::none);
}

TEST_F(config_faults, refusesChangesWhereNoPeerCanVouchForTheStore)
{
    system.daemons[1].peersCut = true;
    system.start(1);
    system.advance(3 * kSecond);
    system.post(1, "/v1/config/changes", system.changeOf(1, "second", 8));
    system.advance(2 * kSecond);
    EXPECT_EQ(codeOf(system), "no-peer-heard");
}

TEST_F(config_faults, reportsIsolationOnlyWithoutStoreAndPeers)
{
    system.storeDown = true;
    system.advance(20 * kSecond);
    EXPECT_FALSE(system.daemons[1].isolated.value_or(false));
    system.daemons[1].peersCut = true;
    system.advance(20 * kSecond);
    EXPECT_TRUE(system.daemons[1].isolated.value_or(false));
    EXPECT_FALSE(system.daemons[0].isolated.value_or(false));
    system.daemons[1].peersCut = false;
    system.advance(3 * kSecond);
    EXPECT_FALSE(system.daemons[1].isolated.value_or(false));
}

TEST_F(config_faults, refusesChangesWithoutAStoreAndStaysInForce)
{
    system.storeDown = true;
    system.post(0, "/v1/config/changes", system.changeOf(0, "second", 8));
    system.advance(4 * kSecond);
    EXPECT_EQ(codeOf(system), "store-unavailable");
    EXPECT_EQ(system.revisionOf(0), 1U);
}
