// Fleet daemons as processes: weights reach all engines, also when the daemon that orders them dies or
// freezes.
#include "process_harness.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

constexpr int kEngines = 4;
const std::string kHeadKey = "rollout/heads/trainer-of-this-test";

fleet_shape rolloutShape(bool checksFencing)
{
    fleet_shape shape;
    shape.engines = kEngines;
    shape.fleets = 2;
    shape.gates = 1;
    shape.engineOptions = {"--swap-ms", "50"};
    if (checksFencing) {
        shape.engineOptions.emplace_back("--checks-fencing");
    }
    return shape;
}

/// Writes a trainer's head row, which tells the weights that it published.
bool publishWeights(fleet &all, int version)
{
    const json rows = all.client().post(all.platform().http(), "/table/get", {{"key", kHeadKey}}).json();
    const json expected = rows["rows"].empty() ? json(0) : rows["rows"][0]["version"];
    const json write = {{"key", kHeadKey},
                        {"expectedVersion", expected},
                        {"value", json{{"models", {{"assessment", version}}}}.dump()}};
    const json body = {{"writeId", "publish-" + std::to_string(version)},
                       {"checks", json::array()},
                       {"writes", json::array({write})}};
    return all.client().post(all.platform().http(), "/table/transact", body).status == 200;
}

bool serves(fleet &all, std::size_t engine, int version)
{
    const json models = all.client().get(all.engine(engine).http(), "/status").json()["models"];
    return models.is_array() && models.size() == 1 && models[0]["version"] == version
           && models[0]["clear"] == true;
}

bool allServe(fleet &all, int version)
{
    return waitUntil([&] {
        for (std::size_t i = 0; i < kEngines; ++i) {
            if (!serves(all, i, version)) {
                return false;
            }
        }
        return true;
    });
}

/// @returns how many shards a daemon holds.
std::size_t heldShards(fleet &all, const child_process &daemon)
{
    const json shards = all.status(daemon)["fleet"]["shards"];
    return static_cast<std::size_t>(
            std::ranges::count_if(shards, [](const json &shard) { return shard["held"] == true; }));
}

bool gateSees(fleet &all, std::size_t gate, const std::string &upstream, const std::string &condition)
{
    const json upstreams = all.status(all.gate(gate))["membership"]["upstreams"];
    return std::ranges::any_of(upstreams, [&](const json &one) {
        return one["upstream"] == upstream && one["condition"] == condition;
    });
}

} // namespace

TEST(fleet_process, loadsPublishedWeightsOnAllEngines)
{
    fleet all(rolloutShape(true));
    ASSERT_TRUE(all.started());
    ASSERT_TRUE(publishWeights(all, 2));
    EXPECT_TRUE(allServe(all, 2));
    ASSERT_TRUE(publishWeights(all, 3));
    EXPECT_TRUE(allServe(all, 3));
}

TEST(fleet_process, successorFinishesARollOutAfterTheHolderIsKilled)
{
    fleet all(rolloutShape(true));
    ASSERT_TRUE(all.started());
    ASSERT_TRUE(waitUntil(
            [&] { return heldShards(all, all.watcher(0)) > 0 && heldShards(all, all.watcher(1)) > 0; }));
    ASSERT_TRUE(publishWeights(all, 2));
    all.watcher(0).signal(SIGKILL);
    EXPECT_TRUE(allServe(all, 2));
}

TEST(fleet_process, frozenHolderWakesAndChangesNothing)
{
    for (const bool checksFencing : {true, false}) {
        fleet all(rolloutShape(checksFencing));
        ASSERT_TRUE(all.started());
        ASSERT_TRUE(waitUntil([&] { return heldShards(all, all.watcher(0)) > 0; }));
        ASSERT_TRUE(publishWeights(all, 2));
        all.watcher(0).signal(SIGSTOP);
        EXPECT_TRUE(allServe(all, 2));
        ASSERT_TRUE(publishWeights(all, 3));
        EXPECT_TRUE(allServe(all, 3));
        all.watcher(0).signal(SIGCONT);
        EXPECT_TRUE(waitUntil([&] { return heldShards(all, all.watcher(0)) > 0; }));
        EXPECT_TRUE(allServe(all, 3));
    }
}

TEST(fleet_process, operatorsDrainReachesGatesAndTheEngine)
{
    fleet all(rolloutShape(true));
    ASSERT_TRUE(all.started());
    const std::string engine = all.member(fleet_role::engine, 0).host;
    ASSERT_TRUE(waitUntil([&] { return gateSees(all, 0, engine, "serving"); }));
    const std::string path = "/v1/upstreams/" + engine + "/drain";
    EXPECT_EQ(all.client().post(all.gate(0).http(), path, {{"reason", "disk"}}).status, 401);
    EXPECT_EQ(all.client().post(all.gate(0).http(), path, json::object(), all.operatorHeaders()).status, 400);
    ASSERT_EQ(all.client().post(all.gate(0).http(), path, {{"reason", "disk"}}, all.operatorHeaders()).status,
              202);
    EXPECT_TRUE(waitUntil([&] { return gateSees(all, 0, engine, "leaving"); }));
    EXPECT_TRUE(waitUntil(
            [&] { return all.client().get(all.engine(0).http(), "/status").json()["leaving"] == true; }));
}

TEST(fleet_process, handsItsLeasesOverWhenItStops)
{
    fleet all(rolloutShape(true));
    ASSERT_TRUE(all.started());
    ASSERT_TRUE(waitUntil([&] { return heldShards(all, all.watcher(0)) > 0; }));
    all.watcher(0).signal(SIGTERM);
    EXPECT_EQ(all.watcher(0).wait(), 0);
    const json rows = all.client()
                              .post(all.platform().http(), "/table/scan",
                                    {{"prefix", "fleet/shards/"}, {"after", ""}, {"limit", 1000}})
                              .json()["rows"];
    for (const json &row : rows) {
        const json record = json::parse(row["value"].get<std::string>());
        EXPECT_TRUE(record["released"] == true || record["holder"] != all.member(fleet_role::fleet, 0).host);
    }
}
