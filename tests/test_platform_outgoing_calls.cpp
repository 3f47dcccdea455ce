// Calls whose connection fails at once, at each place that starts one. A call that ended while it was being
// started left its caller with a reference to an entry that was gone: daemons that chose such an address
// ended, with all requests that they had in progress.
#include "http_edges.h"
#include "node_outgoing_calls.h"
#include "node_pack.h"
#include "node_store_link.h"
#include "platform_port.h"

#include <sys/resource.h>

namespace jacinthvale {

using namespace node;
using namespace test;

namespace {

/// The broadcast address of the loopback net: there is no route to it.
const endpoint kNoRoute{"127.255.255.255", 8144};
const endpoint kNoAddress{};

/// Addresses to which no connection can be made.
const std::vector<endpoint> kUnusable
        = {kNoRoute, kNoAddress, {"no address", 1}, {"127.0.0.1", 0}, {"ff02::1", 80}, {"::1", 1}};

/// Leaves no descriptor to this process.
class exhausted_descriptors
{
public:
    exhausted_descriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit none = m_before;
        none.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~exhausted_descriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    exhausted_descriptors(const exhausted_descriptors &) = delete;
    exhausted_descriptors &operator=(const exhausted_descriptors &) = delete;

private:
    rlimit m_before{};
};

/// One place of a daemon that starts calls.
struct call_place
{
    const char *name;
    std::function<void(outgoing_calls &, const endpoint &)> start;
    /// True for the event that says that the call ended this way, without an answer.
    std::function<bool(const node::event &, call_end)> endsAs;
};

/// @param hasNoAnswer true if the event tells of no answer; where it has no end, that is all it tells.
template <typename Event>
std::function<bool(const node::event &, call_end)> endOf(bool (*hasNoAnswer)(const Event &))
{
    return [hasNoAnswer](const node::event &reported, [[maybe_unused]] call_end expected) {
        const auto *ended = std::get_if<Event>(&reported);
        if (ended == nullptr || ended->op != op_id{1} || !hasNoAnswer(*ended)) {
            return false;
        }
        if constexpr (requires { ended->end; }) {
            return ended->end == expected;
        }
        return true;
    };
}

std::vector<call_place> callPlaces()
{
    const auto call = endOf<call_ended>([](const call_ended &e) { return e.status == 0 && e.body.empty(); });
    const auto relayed = endOf<relayed_call_ended>([](const relayed_call_ended &e) { return !e.answer; });
    const auto origin
            = endOf<stream_origin_received>([](const stream_origin_received &e) { return !e.origin; });
    const client_call asked{{7}, {"r"}, "POST", "h", "/p", {}, shared_bytes("body"), milliseconds{2000}};
    constexpr milliseconds kTime{2000};
    return {
            {"item",
             [](outgoing_calls &calls, const endpoint &target) {
                 run_item run{{1}, target, {"i-1"}, "h", {}};
                 run.item.id = {"item"};
                 run.item.path = "/p";
                 calls.start(run);
             },
             endOf<run_ended>([](const run_ended &) { return true; })},
            {"call",
             [=](outgoing_calls &calls, const endpoint &target) {
                 calls.start(forward_call{{1}, target, {"i-1"}, asked, kTime});
             },
             call},
            // Reward calls are forwarded calls that may be repeated.
            {"reward call",
             [=](outgoing_calls &calls, const endpoint &target) {
                 calls.start(forward_call{{1}, target, {"i-1"}, asked, kTime, true});
             },
             call},
            {"stream",
             [=](outgoing_calls &calls, const endpoint &target) {
                 calls.start(forward_stream{{1}, target, {"i-1"}, asked, 0, kTime, kTime});
             },
             call},
            {"relayed call",
             [=](outgoing_calls &calls, const endpoint &target) {
                 calls.start(relay_call{{1}, target, asked, 1, kTime, false, {}, kTime});
             },
             relayed},
            {"relayed stream",
             [=](outgoing_calls &calls, const endpoint &target) {
                 calls.start(relay_call{{1}, target, asked, 1, kTime, true, {}, kTime});
             },
             relayed},
            {"status report",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(request_upstream_status{{1}, target, {"i-1"}, true});
             },
             endOf<upstream_status_received>(
                     [](const upstream_status_received &e) { return !e.answered && !e.loads; })},
            {"order",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(order_weights{{1}, target, {"i-1"}, {"m"}, {2}, {"h"}, {1}});
             },
             call},
            {"duty",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(call_duty{{1}, usage_report{}, {"h"}, {1}}, target);
             },
             call},
            {"changes of the upstreams",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(request_upstream_delta{{1}, target, 0});
             },
             endOf<upstream_delta_received>(
                     [](const upstream_delta_received &e) { return !e.delta.available; })},
            {"share of a stream's origin",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(share_stream_origin{{1}, target, {"r"}, {}});
             },
             origin},
            {"question for a stream's origin",
             [](outgoing_calls &calls, const endpoint &target) {
                 calls.start(find_stream_origin{{1}, target, {"r"}, {"s"}});
             },
             origin},
    };
}

instant steadyNow()
{
    return instant{
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// Client of a loop, and what a place reported.
class started_calls
{
public:
    explicit started_calls(const test_loop &loop)
        : m_loop(loop)
        , m_client(loop.base())
        , m_port(platform::makePlatformPort())
        , m_calls(m_client, *m_port,
                  {[this](node::event incoming) { m_events.push_back(std::move(incoming)); },
                   [](const auto &...) {}})
    {}

    void expectEndFromTheLoop(const call_place &place, const endpoint &target,
                              call_end expected = call_end::unreachable)
    {
        m_events.clear();
        place.start(m_calls, target);
        EXPECT_TRUE(m_events.empty()) << place.name << " " << toString(target);
        EXPECT_EQ(m_calls.runningCalls(), 1U) << place.name;
        ASSERT_TRUE(m_loop.runUntil([&] { return !m_events.empty(); })) << place.name;
        EXPECT_EQ(m_events.size(), 1U) << place.name;
        EXPECT_TRUE(place.endsAs(m_events.front(), expected)) << place.name << " " << toString(target);
        EXPECT_EQ(m_calls.runningCalls(), 0U) << place.name;
        EXPECT_EQ(m_client.runningCalls(), 0U) << place.name;
    }

    void expectNothingAfterCancel(const call_place &place, const endpoint &target)
    {
        m_events.clear();
        place.start(m_calls, target);
        m_calls.cancel({1});
        event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
        EXPECT_TRUE(m_events.empty()) << place.name;
        EXPECT_EQ(m_calls.runningCalls() + m_client.runningCalls(), 0U) << place.name;
    }

private:
    const test_loop &m_loop;
    http_client m_client;
    std::unique_ptr<wire_port> m_port;
    std::vector<node::event> m_events;
    outgoing_calls m_calls;
};

} // namespace

TEST(calls_without_connection, endFromTheLoopForEachAddress)
{
    const test_loop loop;
    http_client client(loop.base());
    for (const endpoint &target : kUnusable) {
        for (const bool isFresh : {false, true}) {
            watched_call watched;
            call_http call = makeCall(target);
            call.freshConnection = isFresh;
            client.start(call, watched.listener());
            EXPECT_FALSE(watched.finished.has_value()) << toString(target);
            ASSERT_TRUE(loop.runUntil([&] { return watched.finished.has_value(); })) << toString(target);
            EXPECT_EQ(watched.finished->outcome, transfer_outcome::nothing_sent) << toString(target);
        }
    }
}

TEST(calls_without_connection, endFromTheLoopAtEachPlaceThatStartsThem)
{
    const test_loop loop;
    started_calls calls(loop);
    for (const call_place &place : callPlaces()) {
        for (const endpoint &target : kUnusable) {
            calls.expectEndFromTheLoop(place, target);
        }
        calls.expectNothingAfterCancel(place, kNoRoute);
    }
}

TEST(calls_without_connection, endFromTheLoopWithoutADescriptor)
{
    const test_loop loop;
    const raw_server server(loop.base(), [](bufferevent *, const std::string &) {});
    started_calls calls(loop);
    // UBSan opens a pipe when it meets a dynamic type for the first time, and reports a fault if it cannot.
    for (const call_place &place : callPlaces()) {
        calls.expectEndFromTheLoop(place, kNoRoute);
    }
    const exhausted_descriptors exhausted;
    for (const call_place &place : callPlaces()) {
        calls.expectEndFromTheLoop(place, server.where());
    }
}

TEST(calls_without_connection, leaveOperationsOfTheStoreWaitingForTheirDeadline)
{
    const test_loop loop;
    http_client client(loop.base());
    for (const endpoint &store : kUnusable) {
        store_link link(loop.base(), client, store, steadyNow);
        std::optional<store_answer> answer;
        link.start({"POST", "/v1/rows-tx", "{}", true, {}}, milliseconds{20},
                   [&](store_answer given) { answer = std::move(given); });
        EXPECT_FALSE(answer.has_value()) << toString(store);
        ASSERT_TRUE(loop.runUntil([&] { return answer.has_value(); })) << toString(store);
        EXPECT_EQ(answer->status, 0);
        EXPECT_FALSE(answer->outcomeUnknown);
    }
}

TEST(calls_without_connection, tellAPeerThatItsStoreCallWasNotExecuted)
{
    const test_loop loop;
    http_client client(loop.base());
    for (const endpoint &store : kUnusable) {
        store_link link(loop.base(), client, store, steadyNow);
        std::optional<std::string> packed;
        link.relay(pack(relay_request{"GET", "/", "", 1000}),
                   [&](std::string bytes) { packed = std::move(bytes); });
        EXPECT_FALSE(packed.has_value()) << toString(store);
        ASSERT_TRUE(loop.runUntil([&] { return packed.has_value(); })) << toString(store);
        relay_response answer;
        ASSERT_TRUE(unpack(*packed, answer));
        EXPECT_EQ(answer.outcome, attempt_outcome::not_executed);
    }
}

TEST(calls_without_connection, toARelayingPeerLeaveTheOperationWaiting)
{
    const test_loop loop;
    http_client client(loop.base());
    for (const endpoint &peer : kUnusable) {
        store_link link(loop.base(), client, kNoRoute, steadyNow);
        link.setPeers({peer});
        std::optional<store_answer> answer;
        link.start({"GET", "/", {}, false, {}}, milliseconds{400},
                   [&](store_answer given) { answer = std::move(given); });
        EXPECT_FALSE(answer.has_value()) << toString(peer);
        ASSERT_TRUE(loop.runUntil([&] { return answer.has_value(); })) << toString(peer);
        EXPECT_EQ(answer->status, 0);
    }
}

// Guards against an answer with the status 000 that a daemon takes for an answer, whoever sends it.
TEST(calls_without_answer, statusZeroIsNoAnswerAtAnyPlace)
{
    const test_loop loop;
    const raw_server server(loop.base(), [](bufferevent *connection, const std::string &) {
        const std::string answer = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}";
        bufferevent_write(connection, answer.data(), answer.size());
    });
    started_calls calls(loop);
    for (const call_place &place : callPlaces()) {
        calls.expectEndFromTheLoop(place, server.where(), call_end::malformed);
    }
    http_client client(loop.base());
    store_link link(loop.base(), client, server.where(), steadyNow);
    std::optional<store_answer> answer;
    link.start({"POST", "/v1/rows-tx", "{}", true, {}}, milliseconds{50},
               [&](store_answer given) { answer = std::move(given); });
    ASSERT_TRUE(loop.runUntil([&] { return answer.has_value(); }));
    EXPECT_EQ(answer->status, 0);
    EXPECT_TRUE(answer->outcomeUnknown);
}

} // namespace jacinthvale
