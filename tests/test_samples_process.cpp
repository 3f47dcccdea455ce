// Rollout daemons as processes: a step becomes whole although processes and the store fail in its midst.
#include "process_harness.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <gtest/gtest.h>
#include <set>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

const std::string kTrainer = "trainer-0";
const std::string kBase = "/v1/trainers/" + kTrainer;
constexpr int kGroups = 4;
constexpr int kSamplesPerGroup = 4;
constexpr int kTokens = 60;

fleet_shape rolloutShape()
{
    fleet_shape shape;
    shape.engines = 2;
    shape.scorers = 1;
    shape.rollouts = 2;
    shape.engineOptions = {"--token-ms", "20"};
    return shape;
}

/// Trainer that keeps the rules: rising pull numbers, one pull at a time, asks any daemon that answers.
class process_trainer
{
public:
    explicit process_trainer(fleet &processes)
        : m_processes(processes)
    {}

    bool postStep()
    {
        bool accepted = true;
        for (int i = 0; i < kGroups; ++i) {
            const json group = {{"groupId", absl::StrCat("g", i)},
                                {"model", "assessment"},
                                {"prompt", absl::StrCat("ruling ", i)},
                                {"count", kSamplesPerGroup},
                                {"maxTokens", kTokens},
                                {"step", 1}};
            accepted = accepted && waitUntil([&] { return postOnce("/groups", group); });
        }
        return accepted;
    }

    bool publish(std::uint64_t version)
    {
        m_version = version;
        return waitUntil([&] {
            return postOnce("/weights", {{"model", "assessment"}, {"version", version}});
        });
    }

    /// One pull; its samples are kept.
    void pullOnce()
    {
        call_http call;
        call.target = next();
        call.method = "GET";
        call.path = absl::StrCat(kBase, "/samples?after=", m_cursor, "&pull=", ++m_pull,
                                 "&version=", m_version, "&wait_ms=300&max=100");
        call.headers = m_processes.trainerHeaders(kTrainer);
        call.connectTimeout = std::chrono::milliseconds{500};
        call.progressTimeout = std::chrono::milliseconds{2000};
        const http_answer answer = m_processes.client().call(call);
        if (answer.status == 200) {
            const json body = answer.json();
            for (const json &sample : body.at("samples")) {
                keep(sample);
            }
            m_cursor = body.at("cursor");
        }
    }

    bool pullUntil(std::size_t count)
    {
        return waitUntil([&] {
            pullOnce();
            return m_slots.size() >= count;
        });
    }

    bool wholeStep() { return pullUntil(kGroups * kSamplesPerGroup); }
    int doubled() const { return m_doubled; }
    int overBound() const { return m_overBound; }

    /// Index of the daemon that holds the trainer's lease.
    std::size_t holder()
    {
        std::size_t found = 0;
        waitUntil([&] {
            for (std::size_t i = 0; i < 2; ++i) {
                const json status = m_processes.status(m_processes.rollout(i));
                const std::string phase
                        = status.value("/samples/trainers/trainer-0/phase"_json_pointer, std::string());
                if (phase == "holding") {
                    found = i;
                    return true;
                }
            }
            return false;
        });
        return found;
    }

private:
    bool postOnce(const std::string &resource, const json &body)
    {
        call_http call;
        call.target = next();
        call.path = kBase + resource;
        call.headers = m_processes.trainerHeaders(kTrainer);
        call.body = body.dump();
        call.progressTimeout = std::chrono::milliseconds{4000};
        return m_processes.client().call(call).status == 200;
    }

    endpoint next() { return m_processes.rollout(m_turn++ % 2).http(); }

    void keep(const json &sample)
    {
        if (sample.contains("expired")) {
            return;
        }
        const bool fresh = m_slots.emplace(sample.at("groupId"), sample.at("index")).second;
        m_doubled += fresh ? 0 : 1;
        for (const json &segment : sample.at("segments")) {
            m_overBound += segment.at("weightVersion").get<std::uint64_t>() + 2 < m_version ? 1 : 0;
        }
    }

    fleet &m_processes;
    std::size_t m_turn = 0;
    std::uint64_t m_pull = 0;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_version = 1;
    std::set<std::pair<std::string, int>> m_slots;
    int m_doubled = 0;
    int m_overBound = 0;
};

void expectWhole(process_trainer &trainer)
{
    EXPECT_TRUE(trainer.wholeStep());
    EXPECT_EQ(trainer.doubled(), 0);
    EXPECT_EQ(trainer.overBound(), 0);
}

} // namespace

TEST(samples_process, deliversAWholeStep)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    expectWhole(trainer);
}

TEST(samples_process, survivesTheDeathOfTheHolder)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    ASSERT_TRUE(trainer.pullUntil(1));
    ASSERT_TRUE(processes.replace(fleet_role::rollout, trainer.holder()));
    expectWhole(trainer);
}

TEST(samples_process, survivesAHolderThatFreezesAndWakes)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    ASSERT_TRUE(trainer.pullUntil(1));
    const std::size_t frozen = trainer.holder();
    processes.rollout(frozen).signal(SIGSTOP);
    ASSERT_TRUE(trainer.pullUntil(kGroups * kSamplesPerGroup / 2));
    processes.rollout(frozen).signal(SIGCONT);
    expectWhole(trainer);
}

TEST(samples_process, survivesTheDeathOfAnEngine)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    ASSERT_TRUE(waitUntil([&] {
        return processes.status(processes.rollout(trainer.holder()))["samples"]["generations"] > 4;
    }));
    ASSERT_TRUE(processes.replace(fleet_role::engine, 0));
    expectWhole(trainer);
}

TEST(samples_process, finishesAStepAfterAStoreOutage)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    const std::size_t holder = trainer.holder();
    ASSERT_TRUE(waitUntil(
            [&] { return processes.status(processes.rollout(holder))["samples"]["generations"] > 4; }));
    ASSERT_TRUE(processes.fault(processes.platform(), {{"kind", "outage"}, {"on", true}}));
    // Samples are generated while nothing can be committed.
    EXPECT_TRUE(waitUntil([&] {
        const json status = processes.status(processes.rollout(holder));
        return status.value("/samples/trainers/trainer-0/uncommitted"_json_pointer, 0) > 4;
    })) << processes.status(processes.rollout(holder)).dump();
    ASSERT_TRUE(processes.fault(processes.platform(), {{"kind", "outage"}, {"on", false}}));
    expectWhole(trainer);
}

TEST(samples_process, handsTheLeaseOverInAGracefulStop)
{
    fleet processes(rolloutShape());
    ASSERT_TRUE(processes.started());
    process_trainer trainer(processes);
    ASSERT_TRUE(trainer.postStep());
    ASSERT_TRUE(trainer.pullUntil(1));
    const std::size_t stopped = trainer.holder();
    processes.rollout(stopped).signal(SIGTERM);
    EXPECT_EQ(processes.rollout(stopped).wait(), 0);
    expectWhole(trainer);
}
