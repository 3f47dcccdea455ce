// Gates, rollout daemons and fleet daemons as processes, among hosts to which no connection can be made and
// hosts that answer with what is no answer.
#include "http_edges.h"
#include "process_harness.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <thread>

using namespace jacinthvale;
using namespace jacinthvale::testing;
using nlohmann::json;

namespace {

/// The broadcast address of the loopback net: there is no route to it.
const std::string kNoRoute = "127.255.255.255:8144";
const std::string kMalformedStatus = R"(answers_malformed_total{rule="status_code"})";

/// Server on a thread of its own: answers status requests like a sound upstream, and all others with the
/// status 000.
class zero_status_server
{
public:
    zero_status_server()
        : m_thread([this] { serve(); })
    {
        while (m_port == 0) {
            std::this_thread::yield();
        }
    }
    ~zero_status_server()
    {
        m_stopping = true;
        m_thread.join();
    }
    zero_status_server(const zero_status_server &) = delete;
    zero_status_server &operator=(const zero_status_server &) = delete;

    std::string address() const { return absl::StrCat("127.0.0.1:", m_port.load()); }
    int answers() const { return m_answers; }

private:
    void serve()
    {
        constexpr milliseconds kPeriod{5};
        const test::test_loop loop;
        const test::raw_server server(loop.base(), [this](bufferevent *connection, const std::string &bytes) {
            answer(connection, bytes);
        });
        m_port = server.where().port;
        event_timer poll(loop.base(), [&] { poll.start(kPeriod); });
        poll.start(kPeriod);
        while (!m_stopping) {
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
    }

    void answer(bufferevent *connection, const std::string &bytes)
    {
        static const std::string kStatus
                = R"({"incarnation":7,"swapCounter":0,"running":0,"queued":0,"leaving":false,)"
                  R"("models":[{"model":"assessment","version":1,"clear":true}]})";
        const bool isStatus = bytes.starts_with("GET /status ");
        m_answers += isStatus ? 0 : 1;
        const std::string body = isStatus ? kStatus : R"({"text":"evil","score":1})";
        const std::string whole = absl::StrCat("HTTP/1.1 ", isStatus ? "200" : "000",
                                               " OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        bufferevent_write(connection, whole.data(), whole.size());
    }

    std::atomic<std::uint16_t> m_port = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

json hostAt(const std::string &role, const std::string &address, const std::string &service = {})
{
    return {{"host", absl::StrCat("other-", role)},
            {"role", role},
            {"service", service},
            {"http", address},
            {"peer", role == "engine" || role == "service" || role == "scorer" ? "" : address},
            {"availabilityZone", "delta-a"},
            {"incarnation", 7},
            {"state", "live"},
            {"checksFencing", false}};
}

/// One daemon of each program.
fleet_shape oneOfEach()
{
    fleet_shape shape;
    shape.gates = 1;
    shape.rollouts = 1;
    shape.fleets = 1;
    shape.engineOptions = {"--token-ms", "2"};
    return shape;
}

bool allRun(fleet &processes)
{
    return std::ranges::all_of(processes.daemons(),
                               [](const fleet_member *one) { return one->process->running(); });
}

/// @returns the value of a counter of a daemon, 0 if it has none yet.
double counterOf(fleet &processes, const child_process &daemon, const std::string &name)
{
    const std::string page = processes.client().get(daemon.http(), "/metrics").body;
    const std::string line = absl::StrCat("jacinthvale_", name, " ");
    const auto at = page.find(line);
    return at == std::string::npos ? 0 : std::strtod(page.c_str() + at + line.size(), nullptr);
}

bool reaches(fleet &processes, const child_process &daemon, const std::string &name, double value)
{
    return waitUntil([&] { return counterOf(processes, daemon, name) >= value || !allRun(processes); })
           && allRun(processes);
}

http_answer quotationAt(fleet &processes)
{
    call_http call;
    call.target = processes.gate(0).http();
    call.path = "/v1/services/quotation";
    call.body = "car";
    call.headers = {{"Jacinthvale-Deadline-Ms", "5000"}};
    return processes.client().call(call);
}

/// @returns false if the rollout daemon did not take what the trainer posts.
bool postAsTrainer(fleet &processes, const std::string &path, const json &body)
{
    const http_headers headers = processes.trainerHeaders("trainer-0");
    return waitUntil([&] {
        return processes.client()
                               .post(processes.rollout(0).http(), "/v1/trainers/trainer-0" + path, body,
                                     headers)
                               .status
                       == 200
               || !allRun(processes);
    });
}

bool submitGroup(fleet &processes)
{
    const json group = {{"groupId", "g"}, {"model", "assessment"}, {"prompt", "ruling"},
                        {"count", 2},     {"maxTokens", 4},        {"step", 1}};
    return postAsTrainer(processes, "/groups", group);
}

bool publishWeights(fleet &processes, int version)
{
    return postAsTrainer(processes, "/weights", {{"model", "assessment"}, {"version", version}});
}

} // namespace

// Guards against daemons that end, or stop serving, because a connection to a listed host fails at once.
TEST(odd_hosts_process, hostsWithoutARouteEndNoDaemon)
{
    fleet_shape shape = oneOfEach();
    shape.engines = 1;
    shape.services = 1;
    shape.scorers = 1;
    for (const char *role : {"engine", "scorer", "gate", "rollout", "fleet"}) {
        shape.otherHosts.push_back(hostAt(role, kNoRoute));
    }
    shape.otherHosts.push_back(hostAt("service", kNoRoute, "quotation"));
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    ASSERT_TRUE(waitUntil([&] { return quotationAt(processes).status == 200; }));
    ASSERT_TRUE(submitGroup(processes) && publishWeights(processes, 1));
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(quotationAt(processes).status, 200) << i;
    }
    EXPECT_TRUE(allRun(processes));
}

// Guards against daemons that end because a connection to the store fails at once.
TEST(odd_hosts_process, storeWithoutARouteEndsNoDaemon)
{
    fleet_shape shape = oneOfEach();
    shape.daemonSettings = {{"platformAddress", kNoRoute}};
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    for (const fleet_member *one : processes.daemons()) {
        EXPECT_TRUE(reaches(processes, *one->process, "store_attempts_total", 3)) << one->host;
    }
}

// Guards against an answer with the status 000 that callers, trainers or daemons take for an answer.
TEST(odd_hosts_process, noDaemonTakesTheStatus000OfAnUpstream)
{
    const zero_status_server server;
    fleet_shape shape = oneOfEach();
    shape.otherHosts = json::array({hostAt("engine", server.address()), hostAt("scorer", server.address()),
                                    hostAt("service", server.address(), "quotation")});
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    ASSERT_TRUE(processes.waitReady());
    http_answer quoted;
    ASSERT_TRUE(waitUntil([&] {
        quoted = quotationAt(processes);
        return server.answers() > 0;
    }));
    EXPECT_TRUE(quoted.status == 502 || quoted.status == 504) << quoted.status;
    EXPECT_EQ(quoted.body.find("evil"), std::string::npos);
    EXPECT_TRUE(reaches(processes, processes.gate(0), kMalformedStatus, 1));
    ASSERT_TRUE(submitGroup(processes) && publishWeights(processes, 1));
    EXPECT_TRUE(reaches(processes, processes.rollout(0), kMalformedStatus, 1));
    ASSERT_TRUE(publishWeights(processes, 2));
    EXPECT_TRUE(reaches(processes, processes.watcher(0), kMalformedStatus, 1));
}

// The same from the store, to each program.
TEST(odd_hosts_process, noDaemonTakesTheStatus000OfTheStore)
{
    const zero_status_server server;
    fleet_shape shape = oneOfEach();
    shape.daemonSettings = {{"platformAddress", server.address()}};
    fleet processes(shape);
    ASSERT_TRUE(processes.started());
    for (const fleet_member *one : processes.daemons()) {
        EXPECT_TRUE(reaches(processes, *one->process, kMalformedStatus, 1)) << one->host;
        EXPECT_FALSE(processes.ready(*one->process)) << one->host;
    }
}
