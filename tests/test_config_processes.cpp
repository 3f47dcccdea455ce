// Changes through real daemons: any host, a restart during an outage, racing operators, a frozen daemon.
#include "process_harness.h"

#include <csignal>
#include <gtest/gtest.h>
#include <set>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

constexpr int kRaces = 100;

fleet_shape threeDaemons()
{
    fleet_shape shape;
    shape.gates = 2;
    shape.rollouts = 1;
    return shape;
}

std::uint64_t revisionOf(fleet &processes, const child_process &daemon)
{
    return processes.status(daemon).value("/config/revision"_json_pointer, std::uint64_t{0});
}

json changeOf(const std::string &id, std::uint64_t base, int value)
{
    return {{"changeId", id},
            {"baseRevision", base},
            {"set", {{"samples.maxStalenessVersions", value}}},
            {"reason", "trial"}};
}

call_http postOf(fleet &processes, const child_process &daemon, const json &change)
{
    call_http call;
    call.target = daemon.http();
    call.path = "/v1/config/changes";
    call.headers = processes.operatorHeaders();
    call.body = change.dump();
    return call;
}

http_answer post(fleet &processes, const child_process &daemon, const json &change)
{
    return processes.client().call(postOf(processes, daemon, change));
}

} // namespace

TEST(config_processes, takeAChangeThroughAnyHost)
{
    fleet processes(threeDaemons());
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    std::uint64_t revision = 0;
    for (fleet_member *one : processes.daemons()) {
        const json change = changeOf("change-" + one->host, revision, 5);
        const http_answer answer = post(processes, *one->process, change);
        ASSERT_EQ(answer.json().value("result", ""), "accepted") << answer.body;
        ++revision;
        for (fleet_member *other : processes.daemons()) {
            EXPECT_TRUE(waitUntil([&] { return revisionOf(processes, *other->process) == revision; }));
        }
    }
}

TEST(config_processes, restartDuringAStoreOutage)
{
    fleet processes(threeDaemons());
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    ASSERT_EQ(post(processes, processes.gate(0), changeOf("a", 0, 5)).status, 200);
    ASSERT_TRUE(processes.fault(processes.platform(), {{"kind", "outage"}, {"path", "/table"}}));
    ASSERT_TRUE(processes.replace(fleet_role::gate, 1));
    EXPECT_TRUE(waitUntil([&] { return revisionOf(processes, processes.gate(1)) == 1U; }));
    EXPECT_TRUE(waitUntil([&] { return processes.ready(processes.gate(1)); }));
    const http_answer refused = post(processes, processes.gate(1), changeOf("b", 1, 6));
    EXPECT_EQ(refused.json().value("/error/code"_json_pointer, ""), "store-unavailable") << refused.body;
}

TEST(config_processes, acceptAChangeWhileADaemonIsFrozen)
{
    fleet processes(threeDaemons());
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    processes.rollout(0).signal(SIGSTOP);
    const http_answer answer = post(processes, processes.gate(0), changeOf("a", 0, 5));
    EXPECT_EQ(answer.json().value("result", ""), "accepted") << answer.body;
    EXPECT_TRUE(waitUntil([&] { return revisionOf(processes, processes.gate(1)) == 1U; }));
    processes.rollout(0).signal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return revisionOf(processes, processes.rollout(0)) == 1U; }));
}

TEST(config_processes, letOneOfTwoOperatorsWinEachRace)
{
    fleet processes(threeDaemons());
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    test_client &client = processes.client();
    for (std::uint64_t race = 0; race < kRaces; ++race) {
        const std::string id = "race-" + std::to_string(race);
        const auto left = client.begin(postOf(processes, processes.gate(0), changeOf(id + "-l", race, 5)));
        const auto right = client.begin(postOf(processes, processes.gate(1), changeOf(id + "-r", race, 6)));
        ASSERT_TRUE(client.pumpUntil([&] { return client.finished(left) && client.finished(right); }));
        const std::multiset<std::string> results = {client.answerOf(left).json().value("result", ""),
                                                    client.answerOf(right).json().value("result", "")};
        ASSERT_EQ(results, (std::multiset<std::string>{"accepted", "conflict"}))
                << client.answerOf(left).body << client.answerOf(right).body;
        ASSERT_TRUE(waitUntil([&] {
            return revisionOf(processes, processes.gate(0)) == race + 1
                   && revisionOf(processes, processes.gate(1)) == race + 1;
        }));
    }
}
