// The whole path over processes: callers, trainers and operators through daemons to stand-ins and back.
#include "process_harness.h"
#include "token_text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

constexpr int kGroupSize = 4;
constexpr int kMaxTokens = 24;

fleet_shape smallFleet()
{
    fleet_shape shape;
    shape.engines = 2;
    shape.services = 2;
    shape.scorers = 1;
    shape.gates = 2;
    shape.rollouts = 2;
    shape.fleets = 2;
    shape.engineOptions = {"--token-ms", "2", "--swap-ms", "20", "--checks-fencing"};
    return shape;
}

/// Events of a stream, put together.
struct streamed_answer
{
    std::string text;
    bool done = false;
};

streamed_answer readStream(const std::string &events)
{
    streamed_answer answer;
    std::istringstream lines(events);
    for (std::string line; std::getline(lines, line);) {
        const std::string data = line.starts_with("data: ") ? line.substr(6) : "";
        const json event = json::parse(data, nullptr, false);
        answer.done = answer.done || data == "[DONE]";
        if (event.is_object()) {
            answer.text += event["choices"][0]["text"].get<std::string>();
        }
    }
    return answer;
}

/// A trainer of the tests: one cursor, one rising pull number.
class trainer
{
public:
    trainer(fleet &processes, std::string name)
        : m_processes(processes)
        , m_name(std::move(name))
    {}

    int post(const json &group)
    {
        return m_processes.client()
                .post(m_processes.rollout(0).http(), path("/groups"), group,
                      m_processes.trainerHeaders(m_name))
                .status;
    }

    int publish(int published)
    {
        return m_processes.client()
                .post(m_processes.rollout(1).http(), path("/weights"),
                      {{"model", "assessment"}, {"version", published}}, m_processes.trainerHeaders(m_name))
                .status;
    }

    /// Pulls until so many samples came.
    bool pullUntil(std::size_t count)
    {
        return waitUntil([&] {
            pullOnce();
            return samples.size() >= count;
        });
    }

    std::vector<json> samples;
    int version = 1;

private:
    std::string path(const std::string &rest) const { return "/v1/trainers/" + m_name + rest; }

    void pullOnce()
    {
        const std::string query = absl::StrCat("/samples?after=", m_cursor,
                                               "&max=100&wait_ms=500&version=", version, "&pull=", ++m_pull);
        const http_answer answer = m_processes.client().get(m_processes.rollout(m_pull % 2).http(),
                                                            path(query), m_processes.trainerHeaders(m_name));
        if (answer.status != 200) {
            return;
        }
        const json body = answer.json();
        for (const json &sample : body["samples"]) {
            m_cursor = sample["cursor"].get<std::uint64_t>();
            if (!sample.value("expired", false)) {
                samples.push_back(sample);
            }
        }
    }

    fleet &m_processes;
    std::string m_name;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_pull = 0;
};

json groupOf(const std::string &id, int step)
{
    return {{"groupId", id},       {"model", "assessment"},   {"prompt", "prompt of " + id},
            {"count", kGroupSize}, {"maxTokens", kMaxTokens}, {"step", step}};
}

std::vector<standin::version_run> statedVersions(const json &sample)
{
    std::vector<standin::version_run> runs;
    for (const json &segment : sample["segments"]) {
        runs.push_back({segment["weightVersion"].get<std::uint64_t>(), segment["tokens"].get<int>()});
    }
    return runs;
}

/// The stand-in's text names the version that made each token; the segments must say the same.
void expectTrueSample(const json &sample)
{
    const std::string text = sample["text"];
    EXPECT_TRUE(standin::isWholeAnswer("prompt of " + sample["groupId"].get<std::string>(), text)) << sample;
    const auto tokens = standin::parseTokens(text);
    ASSERT_TRUE(tokens);
    EXPECT_EQ(tokens->size(), static_cast<std::size_t>(kMaxTokens));
    EXPECT_EQ(standin::versionRuns(*tokens), statedVersions(sample)) << sample;
    EXPECT_TRUE(sample["score"].is_number());
}

http_answer quote(fleet &processes, std::size_t gate, const json &body, const http_headers &headers)
{
    return processes.client().post(processes.gate(gate).http(), "/v1/services/quotation", body, headers);
}

} // namespace

TEST(demo_path, carriesAQuotationToOneServiceOnce)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    const http_headers key = {{"Idempotency-Key", "vehicle-1"}};
    http_answer answer;
    ASSERT_TRUE(waitUntil([&] {
        answer = quote(processes, 0, {{"vehicle", 1}}, key);
        return answer.status == 200;
    })) << answer.status
        << answer.body;
    EXPECT_EQ(answer.header("Jacinthvale-Verdict"), "ran");
    EXPECT_EQ(answer.json()["body"], json({{"vehicle", 1}}).dump());
    const http_answer again = quote(processes, 1, {{"vehicle", 1}}, key);
    EXPECT_EQ(again.status, 200) << again.body;
    EXPECT_EQ(again.body, answer.body);
    EXPECT_EQ(processes.counters(processes.service(0)).value("totalRuns", 0)
                      + processes.counters(processes.service(1)).value("totalRuns", 0),
              1);
}

TEST(demo_path, streamsACompletionWhole)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    call_http call;
    call.target = processes.gate(1).http();
    call.path = "/v1/completions";
    call.body = json{{"model", "assessment"}, {"prompt", "p"}, {"max_tokens", kMaxTokens}, {"stream", true}}
                        .dump();
    call.streamed = true;
    http_answer answer;
    ASSERT_TRUE(waitUntil([&] {
        answer = processes.client().call(call);
        return answer.status == 200;
    })) << answer.status
        << answer.body;
    EXPECT_EQ(answer.outcome, transfer_outcome::complete);
    const streamed_answer stream = readStream(answer.body);
    EXPECT_TRUE(stream.done);
    EXPECT_TRUE(standin::isWholeAnswer("p", stream.text)) << stream.text;
    EXPECT_EQ(standin::parseTokens(stream.text)->size(), static_cast<std::size_t>(kMaxTokens));
}

TEST(demo_path, deliversScoredSamplesOnceWithTheirTrueVersions)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    trainer client(processes, "trainer-0");
    ASSERT_TRUE(waitUntil([&] { return client.post(groupOf("g1", 0)) / 100 == 2; }));
    ASSERT_TRUE(waitUntil([&] { return client.post(groupOf("g2", 0)) / 100 == 2; }));
    ASSERT_TRUE(client.pullUntil(2 * kGroupSize));
    EXPECT_EQ(client.samples.size(), 2U * kGroupSize);
    std::set<std::pair<std::string, int>> slots;
    for (const json &sample : client.samples) {
        expectTrueSample(sample);
        EXPECT_TRUE(slots.emplace(sample["groupId"], sample["index"]).second) << sample;
    }
}

TEST(demo_path, putsPublishedWeightsInForceOnEveryEngine)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    trainer client(processes, "trainer-0");
    ASSERT_TRUE(waitUntil([&] { return client.publish(2) / 100 == 2; }));
    client.version = 2;
    ASSERT_TRUE(waitUntil([&] {
        const json held = processes.counters(processes.engine(0))["held"];
        return held["assessment"] == 2 && processes.counters(processes.engine(1))["held"] == held;
    }));
    ASSERT_TRUE(waitUntil([&] { return client.post(groupOf("g1", 0)) / 100 == 2; }));
    ASSERT_TRUE(client.pullUntil(kGroupSize));
    for (const json &sample : client.samples) {
        expectTrueSample(sample);
        EXPECT_EQ(statedVersions(sample), (std::vector<standin::version_run>{{2, kMaxTokens}}));
    }
}

TEST(demo_path, putsAnOperatorsChangeInForceOnEveryDaemon)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    json change = {{"changeId", "change-1"},
                   {"set", {{"requests.maxQueued", 1234}}},
                   {"reason", "end of the payroll month"}};
    http_answer answer;
    ASSERT_TRUE(waitUntil([&] {
        const json present = processes.client().get(processes.gate(0).http(), "/v1/config").json();
        change["baseRevision"] = present.value("revision", 0);
        answer = processes.client().post(processes.gate(0).http(), "/v1/config/changes", change,
                                         processes.operatorHeaders());
        return answer.status / 100 == 2;
    })) << answer.status
        << answer.body;
    for (const fleet_member *member : processes.daemons()) {
        json inForce;
        EXPECT_TRUE(waitUntil([&] {
            inForce = processes.client().get(member->process->http(), "/v1/config").json();
            return inForce["defaults"].value("requests.maxQueued", 0) == 1234;
        })) << member->host
            << inForce;
    }
}

TEST(demo_path, stopsEveryDaemonGracefully)
{
    fleet processes(smallFleet());
    ASSERT_TRUE(processes.started() && processes.waitReady());
    for (fleet_member *member : processes.daemons()) {
        member->process->signal(SIGTERM);
    }
    for (fleet_member *member : processes.daemons()) {
        EXPECT_EQ(member->process->wait(), 0) << member->host << member->process->output();
    }
}
