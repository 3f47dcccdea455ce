// Real gates, stand-ins and signals: the promises to callers when processes die, freeze, fall silent or stop.
#include "process_harness.h"
#include "token_text.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

const std::string kQuotation = "/v1/services/quotation";

fleet_shape gatesShape(int gates)
{
    fleet_shape shape;
    shape.engines = 2;
    shape.services = 2;
    shape.gates = gates;
    shape.engineOptions = {"--token-ms", "2"};
    return shape;
}

call_http quotation(const endpoint &gate, const std::string &body, const http_headers &headers)
{
    call_http call;
    call.target = gate;
    call.path = kQuotation;
    call.body = body;
    call.headers = headers;
    call.headers["Jacinthvale-Deadline-Ms"] = "30000";
    return call;
}

json completion(const std::string &prompt, int tokens, bool streamed)
{
    return {{"model", "assessment"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", streamed}};
}

/// A fleet whose gates know their upstreams.
class gate_fleet : public fleet
{
public:
    explicit gate_fleet(const fleet_shape &shape)
        : fleet(shape)
        , m_gates(shape.gates)
        , m_upstreams(static_cast<std::size_t>(shape.engines + shape.services))
    {}

    bool waitForUpstreams()
    {
        return started() && waitUntil([&] {
                   for (int i = 0; i < m_gates; ++i) {
                       const json requests = status(gate(static_cast<std::size_t>(i)))["requests"];
                       if (!requests.contains("upstreams") || requests["upstreams"].size() != m_upstreams) {
                           return false;
                       }
                   }
                   return true;
               });
    }

    int runsOf(const std::string &key)
    {
        int runs = 0;
        for (const std::size_t i : {0U, 1U}) {
            runs += counters(service(i))["runs"].value(key, 0);
        }
        return runs;
    }

    void slowServices(int ms)
    {
        for (const std::size_t i : {0U, 1U}) {
            fault(service(i), {{"kind", "slow"}, {"path", kQuotation}, {"ms", ms}});
        }
    }

private:
    int m_gates;
    std::size_t m_upstreams;
};

std::string streamedText(const std::string &body)
{
    std::string text;
    for (std::size_t at = body.find("data: {"); at != std::string::npos; at = body.find("data: {", at + 1)) {
        const std::string line = body.substr(at + 6, body.find("\n\n", at) - at - 6);
        const json item = json::parse(line, nullptr, false);
        if (item.is_object() && item.contains("choices")) {
            text += item["choices"][0].value("text", "");
        }
    }
    return text;
}

} // namespace

TEST(requests_process, answersServicesAndCompletions)
{
    gate_fleet processes(gatesShape(1));
    ASSERT_TRUE(processes.waitForUpstreams());
    test_client &client = processes.client();
    const endpoint gate = processes.gate(0).http();
    const http_answer quoted = client.call(quotation(gate, "car 1", {}));
    EXPECT_EQ(quoted.status, 200);
    EXPECT_EQ(quoted.header("Jacinthvale-Verdict"), "ran");
    EXPECT_EQ(quoted.json()["body"], "car 1");
    const http_answer whole = client.post(gate, "/v1/completions", completion("p", 12, false));
    EXPECT_EQ(whole.status, 200);
    EXPECT_TRUE(standin::isWholeAnswer("p", whole.json()["choices"][0]["text"]));
    EXPECT_EQ(whole.json()["usage"]["completion_tokens"], 12);
    const http_answer streamed = client.post(gate, "/v1/completions", completion("q", 12, true));
    EXPECT_TRUE(streamed.body.ends_with("data: [DONE]\n\n"));
    EXPECT_TRUE(standin::isWholeAnswer("q", streamedText(streamed.body)));
}

TEST(requests_process, replaysTheRecordedAnswerAtAnyGate)
{
    gate_fleet processes(gatesShape(2));
    ASSERT_TRUE(processes.waitForUpstreams());
    test_client &client = processes.client();
    const http_headers key = {{"Idempotency-Key", "k1"}};
    const http_answer first = client.call(quotation(processes.gate(0).http(), "car", key));
    const http_answer again = client.call(quotation(processes.gate(1).http(), "car", key));
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(again.body, first.body);
    EXPECT_EQ(client.call(quotation(processes.gate(1).http(), "other", key)).status, 409);
    EXPECT_EQ(processes.runsOf("k1"), 1);
}

TEST(requests_process, retryElsewhereWaitsForTheRunningOne)
{
    gate_fleet processes(gatesShape(2));
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.slowServices(1500);
    test_client &client = processes.client();
    const http_headers key = {{"Idempotency-Key", "k2"}};
    const std::size_t first = client.begin(quotation(processes.gate(0).http(), "car", key));
    ASSERT_TRUE(client.pumpUntil([&] { return processes.runsOf("k2") == 1; }));
    const std::size_t second = client.begin(quotation(processes.gate(1).http(), "car", key));
    ASSERT_TRUE(client.pumpUntil([&] { return client.finished(first) && client.finished(second); }));
    EXPECT_EQ(client.answerOf(second).status, 200);
    EXPECT_EQ(client.answerOf(second).body, client.answerOf(first).body);
    EXPECT_EQ(processes.runsOf("k2"), 1);
}

TEST(requests_process, killedOwnerLeavesATruthfulVerdictAndNoSecondRun)
{
    gate_fleet processes(gatesShape(2));
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.slowServices(60'000);
    test_client &client = processes.client();
    const http_headers key = {{"Idempotency-Key", "k3"}};
    client.begin(quotation(processes.gate(0).http(), "car", key));
    ASSERT_TRUE(client.pumpUntil([&] { return processes.runsOf("k3") == 1; }));
    processes.gate(0).signal(SIGKILL);
    processes.gate(0).wait();
    const http_answer retried = client.call(quotation(processes.gate(1).http(), "car", key));
    EXPECT_EQ(retried.status, 502);
    EXPECT_EQ(retried.header("Jacinthvale-Verdict"), "may-have-run");
    EXPECT_EQ(processes.runsOf("k3"), 1);
}

TEST(requests_process, frozenOwnerWakesWithoutASecondRun)
{
    gate_fleet processes(gatesShape(2));
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.slowServices(500);
    test_client &client = processes.client();
    const http_headers key = {{"Idempotency-Key", "k4"}};
    const std::size_t first = client.begin(quotation(processes.gate(0).http(), "car", key));
    ASSERT_TRUE(client.pumpUntil([&] { return processes.runsOf("k4") == 1; }));
    processes.gate(0).signal(SIGSTOP);
    const std::size_t second = client.begin(quotation(processes.gate(1).http(), "car", key));
    ASSERT_TRUE(client.pumpUntil([&] {
        return processes.status(processes.gate(1))["requests"]["calls"] == 1 || client.finished(second);
    }));
    processes.gate(0).signal(SIGCONT);
    ASSERT_TRUE(client.pumpUntil([&] { return client.finished(first) && client.finished(second); }));
    const http_answer third = client.call(quotation(processes.gate(1).http(), "car", key));
    EXPECT_EQ(client.answerOf(first).status, 200);
    EXPECT_EQ(third.body, client.answerOf(first).body);
    EXPECT_NE(client.answerOf(second).header("Jacinthvale-Verdict"), "not-run");
    EXPECT_EQ(processes.runsOf("k4"), 1);
}

TEST(requests_process, silentServicesGiveATruthfulVerdictAtTheDeadline)
{
    gate_fleet processes(gatesShape(1));
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.fault(processes.service(0), {{"kind", "silent"}, {"path", kQuotation}});
    processes.fault(processes.service(1), {{"kind", "silent"}, {"path", kQuotation}});
    test_client &client = processes.client();
    call_http call = quotation(processes.gate(0).http(), "car", {});
    call.headers["Jacinthvale-Deadline-Ms"] = "800";
    const http_answer late = client.call(call);
    EXPECT_EQ(late.header("Jacinthvale-Verdict"), "may-have-run");
}

TEST(requests_process, brokenEngineIsResumedElsewhere)
{
    fleet_shape shape = gatesShape(1);
    shape.engineOptions = {"--token-ms", "10"};
    gate_fleet processes(shape);
    ASSERT_TRUE(processes.waitForUpstreams());
    test_client &client = processes.client();
    call_http call;
    call.target = processes.gate(0).http();
    call.path = "/v1/completions";
    call.body = completion("resumed", 150, true).dump();
    call.streamed = true;
    const std::size_t started = client.begin(call);
    ASSERT_TRUE(client.pumpUntil([&] { return client.answerOf(started).body.size() > 500; }));
    const auto generating = [&](std::size_t i) {
        return processes.client().get(processes.engine(i).http(), "/status").json()["running"] == 1;
    };
    const std::size_t busy = generating(0) ? 0 : 1;
    processes.engine(busy).signal(SIGKILL);
    ASSERT_TRUE(client.pumpUntil([&] { return client.finished(started); }));
    const http_answer &answer = client.answerOf(started);
    EXPECT_EQ(answer.outcome, transfer_outcome::complete);
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
    EXPECT_TRUE(standin::isWholeAnswer("resumed", streamedText(answer.body)));
}

TEST(requests_process, ticketsWorkWhileTheStoreIsDown)
{
    gate_fleet processes(gatesShape(2));
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.fault(processes.platform(), {{"kind", "outage"}, {"path", "/table"}});
    test_client &client = processes.client();
    const endpoint first = processes.gate(0).http();
    const endpoint second = processes.gate(1).http();
    const http_answer keyed = client.call(
            quotation(first, "car", {{"Idempotency-Key", "k5"}, {"Jacinthvale-First-Try", "true"}}));
    EXPECT_EQ(keyed.header("Jacinthvale-Verdict"), "not-run");
    const std::string ticket = client.post(first, "/v1/tickets", json::object()).json()["ticket"];
    const http_headers bearer = {{"Jacinthvale-Ticket", ticket}};
    const http_answer there = client.call(quotation(second, "ticketed", bearer));
    const http_answer here = client.call(quotation(first, "ticketed", bearer));
    EXPECT_EQ(there.status, 200);
    EXPECT_EQ(here.body, there.body);
    EXPECT_EQ(processes.runsOf("ticketed"), 1);
}

TEST(requests_process, stopsWithoutCuttingARequest)
{
    fleet_shape shape = gatesShape(1);
    shape.engineOptions = {"--token-ms", "10"};
    gate_fleet processes(shape);
    ASSERT_TRUE(processes.waitForUpstreams());
    processes.slowServices(700);
    test_client &client = processes.client();
    const endpoint gate = processes.gate(0).http();
    std::vector<std::size_t> calls;
    for (int i = 0; i < 20; ++i) {
        calls.push_back(client.begin(quotation(gate, "car " + std::to_string(i), {})));
        call_http stream;
        stream.target = gate;
        stream.path = "/v1/completions";
        stream.body = completion("stop " + std::to_string(i), 60, true).dump();
        stream.streamed = true;
        calls.push_back(client.begin(stream));
    }
    ASSERT_TRUE(
            client.pumpUntil([&] { return processes.status(processes.gate(0))["requests"]["calls"] == 40; }));
    processes.gate(0).signal(SIGTERM);
    ASSERT_TRUE(client.pumpUntil(
            [&] { return std::ranges::all_of(calls, [&](std::size_t c) { return client.finished(c); }); }));
    for (const std::size_t call : calls) {
        EXPECT_EQ(client.answerOf(call).outcome, transfer_outcome::complete);
        EXPECT_EQ(client.answerOf(call).status, 200);
    }
    EXPECT_EQ(processes.gate(0).wait(), 0);
}
