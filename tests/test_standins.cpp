// The stand-ins keep the published protocols, and their faults do what they say.
#include "process_harness.h"
#include "token_text.h"
#include "versioned_table.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

fleet_shape upstreamShape()
{
    fleet_shape shape;
    shape.engines = 1;
    shape.services = 1;
    shape.scorers = 1;
    shape.engineOptions = {"--token-ms", "1", "--swap-ms", "1", "--checks-fencing"};
    return shape;
}

json write(const std::string &key, std::uint64_t expected, const std::string &value, const std::string &id)
{
    return {{"writeId", id},
            {"checks", json::array()},
            {"writes", json::array({{{"key", key}, {"expectedVersion", expected}, {"value", value}}})}};
}

json prompt(const std::string &text, int tokens, bool streamed)
{
    return {{"model", "assessment"},
            {"prompt", text},
            {"max_tokens", tokens},
            {"stream", streamed},
            {"request_id", "r1"}};
}

} // namespace

TEST(standin_table, neverUsesAVersionTwice)
{
    standin::versioned_table table;
    const auto first = std::get<store_committed>(table.transact({"w1", {}, {{"a", 0, "1", false}}}));
    table.transact({"w2", {}, {{"a", first.versions.at(0), "", true}}});
    const auto third = std::get<store_committed>(table.transact({"w3", {}, {{"a", 0, "2", false}}}));
    EXPECT_GT(third.versions.at(0), first.versions.at(0));
    EXPECT_TRUE(std::holds_alternative<store_conflict>(
            table.transact({"w4", {{"a", first.versions.at(0)}}, {{"b", 0, "x", false}}})));
    EXPECT_TRUE(table.get("b").empty());
}

TEST(standin_table, scansInKeyOrderAfterAKey)
{
    standin::versioned_table table;
    table.transact({"w1", {}, {{"p/1", 0, "", false}, {"p/2", 0, "", false}, {"q", 0, "", false}}});
    EXPECT_EQ(table.scan({"p/", "", 10}).size(), 2U);
    EXPECT_EQ(table.scan({"p/", "p/1", 10}).at(0).key, "p/2");
    EXPECT_EQ(table.scan({"p/", "", 1}).size(), 1U);
}

TEST(standin_platform, appliesAWriteWhoseAnswerItDrops)
{
    fleet processes({});
    ASSERT_TRUE(processes.started());
    child_process &platform = processes.platform();
    ASSERT_TRUE(processes.fault(platform, {{"kind", "drop_answer"}, {"path", "/table/transact"}}));
    test_client &client = processes.client();
    const http_answer lost = client.post(platform.http(), "/table/transact", write("k", 0, "v", "w1"));
    EXPECT_EQ(lost.outcome, transfer_outcome::failed_after_send);
    const http_answer again = client.post(platform.http(), "/table/transact", write("k", 0, "v", "w1"));
    EXPECT_EQ(again.status, 409);
    EXPECT_EQ(again.json()["rows"][0]["writeId"], "w1");
}

TEST(standin_platform, goesBackToAnOldCopy)
{
    fleet processes({});
    ASSERT_TRUE(processes.started());
    child_process &platform = processes.platform();
    test_client &client = processes.client();
    client.post(platform.http(), "/table/transact", write("k", 0, "old", "w1"));
    processes.fault(platform, {{"kind", "save_copy"}});
    const auto version
            = client.post(platform.http(), "/table/get", {{"key", "k"}}).json()["rows"][0]["version"];
    client.post(platform.http(), "/table/transact", write("k", version, "new", "w2"));
    processes.fault(platform, {{"kind", "restore_copy"}});
    EXPECT_EQ(client.post(platform.http(), "/table/get", {{"key", "k"}}).json()["rows"][0]["value"], "old");
}

TEST(standin_platform, servesHostsAndWeights)
{
    fleet_shape shape = upstreamShape();
    shape.platformOptions = {"--weight-bytes", "1000"};
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    const endpoint http = processes.platform().http();
    EXPECT_EQ(processes.client().get(http, "/hosts").json()["hosts"].size(), 3U);
    EXPECT_EQ(processes.client().get(http, "/weights/assessment/7").body.size(), 1000U);
    processes.fault(processes.platform(), {{"kind", "outage"}});
    EXPECT_EQ(processes.client().get(http, "/hosts").status, 503);
}

TEST(standin_engine, streamsTokensWithTheirWeightVersion)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    call_http call;
    call.target = processes.engine(0).http();
    call.path = "/v1/completions";
    call.body = prompt("hello", 10, true).dump();
    call.streamed = true;
    const http_answer answer = processes.client().call(call);
    EXPECT_EQ(answer.outcome, transfer_outcome::complete);
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
    EXPECT_NE(answer.body.find(R"("weight_version":1)"), std::string::npos);
}

TEST(standin_engine, refusesOrdersWithAnOldFencingNumber)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    test_client &client = processes.client();
    const endpoint engine = processes.engine(0).http();
    const auto order = [&](int version, int fencing) {
        return client.post(engine, "/orders/weights",
                           {{"model", "assessment"}, {"version", version}, {"fencing", fencing}});
    };
    EXPECT_EQ(order(5, 10).status, 200);
    const http_answer refused = order(6, 9);
    EXPECT_EQ(refused.status, 409);
    EXPECT_EQ(refused.json()["highestFencing"], 10);
    const json answer = client.post(engine, "/v1/completions", prompt("p", 8, false)).json();
    const std::string text = answer["choices"][0]["text"];
    EXPECT_TRUE(standin::isWholeAnswer("p", text));
    EXPECT_EQ(standin::versionRuns(*standin::parseTokens(text)), (std::vector<standin::version_run>{{5, 8}}));
}

TEST(standin_engine, isUnclearAfterAFailedSwapUntilItClears)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    const child_process &engine = processes.engine(0);
    test_client &client = processes.client();
    processes.fault(engine,
                    {{"kind", "fail_swap"}, {"unclear", true}, {"applied", true}, {"clearAfterMs", 500}});
    EXPECT_EQ(client.post(engine.http(), "/orders/weights",
                          {{"model", "assessment"}, {"version", 2}, {"fencing", 1}})
                      .status,
              503);
    const json unclear = client.get(engine.http(), "/status").json();
    EXPECT_FALSE(unclear["models"][0]["clear"]);
    EXPECT_TRUE(waitUntil([&] {
        const json status = client.get(engine.http(), "/status").json();
        return status["models"][0]["clear"] == true && status["models"][0]["version"] == 2
               && status["swapCounter"] > unclear["swapCounter"];
    }));
}

TEST(standin_engine, cancelsWhatItsCallerAbandons)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    call_http call;
    call.target = processes.engine(0).http();
    call.path = "/v1/completions";
    call.body = prompt("long", 1000000, true).dump();
    call.streamed = true;
    test_client &client = processes.client();
    const std::size_t started = client.begin(call);
    ASSERT_TRUE(client.pumpUntil([&] { return !client.answerOf(started).body.empty(); }));
    client.abandon(started);
    EXPECT_TRUE(waitUntil([&] { return processes.counters(processes.engine(0))["cancelled"] == 1; }));
}

TEST(standin_engine, resumesAtTheGivenToken)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    json body = prompt("p", 10, false);
    body["resume_tokens"] = 6;
    body["resume_text"] = "";
    const json answer = processes.client().post(processes.engine(0).http(), "/v1/completions", body).json();
    const auto tokens = standin::parseTokens(answer["choices"][0]["text"]);
    ASSERT_TRUE(tokens);
    EXPECT_EQ(tokens->front().position, 6);
    EXPECT_EQ(tokens->size(), 4U);
}

TEST(standin_service, countsRunsEvenWhenTheAnswerIsDropped)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    const child_process &service = processes.service(0);
    const http_headers key = {{"Idempotency-Key", "k1"}};
    processes.fault(service, {{"kind", "refuse"}});
    const http_answer refused
            = processes.client().post(service.http(), "/v1/services/quotation", {{"a", 1}}, key);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.header("Jacinthvale-Verdict"), "not-run");
    processes.fault(service, {{"kind", "drop_answer"}});
    processes.client().post(service.http(), "/v1/services/quotation", {{"a", 1}}, key);
    EXPECT_EQ(processes.counters(service)["runs"]["k1"], 1);
}

TEST(standin_scorer, scoresATextAlwaysTheSame)
{
    fleet processes(upstreamShape());
    ASSERT_TRUE(processes.started());
    const endpoint scorer = processes.scorer(0).http();
    const json body = {{"prompt", "p"}, {"text", "t"}};
    const json first = processes.client().post(scorer, "/score", body).json();
    EXPECT_TRUE(first["score"].is_number());
    EXPECT_EQ(processes.client().post(scorer, "/score", body).json(), first);
}

TEST(process_harness, startsDaemonsAndSeesThemStop)
{
    fleet_shape shape;
    shape.gates = 1;
    shape.rollouts = 1;
    shape.fleets = 1;
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    EXPECT_EQ(processes.status(processes.gate(0))["role"], "gate");
    for (fleet_member *member : processes.daemons()) {
        member->process->signal(SIGTERM);
    }
    for (fleet_member *member : processes.daemons()) {
        EXPECT_EQ(member->process->wait(), 0);
    }
}
