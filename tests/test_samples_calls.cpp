// Answers of a holder to requests of trainers.
#include "samples_world.h"

#include <gtest/gtest.h>

using namespace jacinthvale;

namespace {

/// One daemon that holds a trainer's lease over a store that answers at once.
class holder_bench
{
public:
    holder_bench()
    {
        m_state.self.role = process_role::rollout;
        m_state.self.host = {"host"};
        m_state.self.incarnation = {7};
    }

    /// @returns the answer; status 0 where there is none yet.
    reply_http ask(const std::string &method, const std::string &resource,
                   const std::map<std::string, std::string> &query, const std::string &body)
    {
        m_reply = {};
        m_reply.status = 0;
        http_request_received request;
        request.exchange = {++m_exchanges};
        request.method = method;
        request.path = "/v1/trainers/t/" + resource;
        request.query = query;
        request.body = body;
        process(request);
        return m_reply;
    }

    reply_http postGroup(const std::string &id, const std::string &prompt, std::int64_t count = 1)
    {
        return ask("POST", "groups", {},
                   nlohmann::json{{"groupId", id},
                                  {"model", "m"},
                                  {"prompt", prompt},
                                  {"count", count},
                                  {"maxTokens", 4},
                                  {"step", 1}}
                           .dump());
    }

    void process(const event &what)
    {
        m_now += milliseconds{200};
        const context at{m_now, wall_time{}, 1};
        for (const effect &one : reduceSamples(m_state, what, at)) {
            if (const auto *call = std::get_if<call_store>(&one)) {
                const store_outcome outcome = m_storeDown ? store_outcome(store_unavailable{"down"})
                                                          : m_store.perform(call->request);
                process(store_call_finished{call->operation, outcome});
            } else if (const auto *reply = std::get_if<reply_http>(&one)) {
                m_reply = *reply;
            }
        }
    }

    samples_state &state() { return m_state; }
    const reply_http &lastReply() const { return m_reply; }
    void setStoreDown(bool down) { m_storeDown = down; }

private:
    samples_state m_state;
    fake_store m_store;
    bool m_storeDown = false;
    instant m_now{milliseconds{1000}};
    std::uint64_t m_exchanges = 0;
    reply_http m_reply;
};

std::string errorCode(const reply_http &reply)
{
    return nlohmann::json::parse(reply.body).at("error").at("code");
}

std::string verdictOf(const reply_http &reply)
{
    return reply.headers.at("Jacinthvale-Verdict");
}

} // namespace

TEST(samplesCalls, acceptTheSameGroupAgainAndRefuseAnotherContent)
{
    holder_bench bench;
    EXPECT_EQ(bench.postGroup("g", "prompt").status, 200);
    EXPECT_EQ(bench.postGroup("g", "prompt").status, 200);
    EXPECT_EQ(bench.postGroup("g", "other").status, 409);
    EXPECT_EQ(bench.state().sessions.at({"t"}).ledger.groups.size(), 1U);
}

TEST(samplesCalls, refuseWhatIsTooMuchAsNotRun)
{
    holder_bench bench;
    const reply_http first = bench.postGroup("g1", "prompt", 4096);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(bench.postGroup("g2", "prompt", 4096).status, 200);
    const reply_http third = bench.postGroup("g3", "prompt", 1);
    EXPECT_EQ(third.status, 429);
    EXPECT_EQ(verdictOf(third), "not-run");
    EXPECT_TRUE(third.headers.contains("Retry-After"));
}

TEST(samplesCalls, refuseAGroupAsNotRunWhileTheStoreIsDown)
{
    holder_bench bench;
    EXPECT_EQ(bench.postGroup("g1", "prompt").status, 200);
    bench.setStoreDown(true);
    EXPECT_EQ(bench.postGroup("g2", "prompt").status, 0);
    for (int i = 0; i < 60; ++i) {
        bench.process(tick{});
    }
    EXPECT_EQ(bench.lastReply().status, 503);
    EXPECT_EQ(verdictOf(bench.lastReply()), "not-run");
}

TEST(samplesCalls, refusePullsOutOfOrderAndUnknownCursors)
{
    holder_bench bench;
    EXPECT_EQ(bench.ask("GET", "samples", {{"pull", "5"}, {"after", "0"}, {"wait_ms", "100"}}, "").status, 0);
    EXPECT_EQ(errorCode(bench.ask("GET", "samples", {{"pull", "5"}, {"after", "0"}}, "")),
              "pull-out-of-order");
    EXPECT_EQ(errorCode(bench.ask("GET", "samples", {{"pull", "6"}, {"after", "9"}}, "")),
              "cursor-not-handed-over");
    bench.state().sessions.at({"t"}).ledger.head.acknowledged = 3;
    bench.state().sessions.at({"t"}).ledger.head.handedThrough = 3;
    EXPECT_EQ(errorCode(bench.ask("GET", "samples", {{"pull", "7"}, {"after", "2"}}, "")),
              "cursor-acknowledged");
}

TEST(samplesCalls, keepTheVersionRising)
{
    holder_bench bench;
    EXPECT_EQ(bench.ask("POST", "weights", {}, R"({"model":"m","version":4})").status, 200);
    EXPECT_EQ(bench.ask("POST", "weights", {}, R"({"model":"m","version":4})").status, 200);
    EXPECT_EQ(bench.ask("POST", "weights", {}, R"({"model":"m","version":3})").status, 409);
    EXPECT_EQ(bench.state().sessions.at({"t"}).ledger.head.version.value, 4U);
}

TEST(samplesCalls, refuseWrongRequestsAsNotRun)
{
    holder_bench bench;
    EXPECT_EQ(bench.ask("POST", "groups", {}, "{").status, 400);
    EXPECT_EQ(bench.ask("POST", "groups", {}, R"({"groupId":"a/b"})").status, 400);
    EXPECT_EQ(bench.ask("DELETE", "groups", {}, "").status, 404);
    EXPECT_EQ(bench.ask("GET", "samples", {{"pull", "x"}}, "").status, 400);
}
