// Planned stops: a request that a stopping daemon takes is answered before the process ends.
#include "node_simulation.h"

#include <gtest/gtest.h>

namespace jacinthvale {

using namespace node;
using test::node_simulation;

namespace {

constexpr milliseconds kStartupTime{1500};
constexpr milliseconds kGrace{8000};

/// Requests that arrive this long after the signal must not be cut at all.
constexpr milliseconds kEarlyTime{3000};

/// Interval of requests on the connections that callers keep open.
constexpr milliseconds kRequestInterval{100};

/// Interval of the events of a stream; a whole one takes 6 s.
constexpr milliseconds kSlowEvents{120};

void slowDown(node_simulation &simulation)
{
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        simulation.upstream(upstream).interChunkLatency = kSlowEvents;
    }
}

struct sent_request
{
    exchange_id exchange;
    milliseconds afterSignal{0};
};

bool isAnswered(node_simulation &simulation, exchange_id exchange)
{
    return !std::holds_alternative<std::monostate>(simulation.answer(exchange))
           || simulation.stream(exchange).complete;
}

/// Stops a daemon and sends it a request at each interval, until its process has ended.
template <typename Send>
std::vector<sent_request> sendWhileStopping(node_simulation &simulation, std::size_t daemon, Send send)
{
    std::vector<sent_request> requests;
    const instant signalAt = simulation.now();
    simulation.stop(daemon);
    while (simulation.isUp(daemon) && simulation.now() < signalAt + kGrace) {
        requests.push_back({send(requests.size()), simulation.now() - signalAt});
        simulation.run(kRequestInterval);
    }
    EXPECT_FALSE(simulation.isUp(daemon));
    return requests;
}

} // namespace

// Callers keep their connections and ask for streams of 6 s until the process has ended (review/3): the
// daemon passed them on up to the end of its grace and cut them.
TEST(node_stop, streamsOnKeptConnectionsAreRefusedRatherThanCut)
{
    for (const char *path : {"/stream/1", "/fragile/1"}) {
        node_simulation simulation(1);
        slowDown(simulation);
        simulation.run(kStartupTime);
        const exchange_id before = simulation.requestStream(0, "before", path);
        const auto requests = sendWhileStopping(simulation, 0, [&](std::size_t n) {
            return simulation.requestStream(0, "s" + std::to_string(n), path);
        });
        EXPECT_TRUE(isAnswered(simulation, before));
        EXPECT_GE(requests.size(), 50U);
        for (const sent_request &request : requests) {
            EXPECT_TRUE(isAnswered(simulation, request.exchange)) << path << request.afterSignal.count();
            const auto *refused = simulation.answerAs<refuse_call>(request.exchange);
            if (refused != nullptr) {
                EXPECT_EQ(refused->reason, refusal::not_run);
                EXPECT_EQ(refused->retryAfter, milliseconds{0});
            } else {
                EXPECT_LT(request.afterSignal, kEarlyTime);
            }
        }
        EXPECT_EQ(simulation.violationText(), "");
    }
}

// Short calls are still served while a long stream keeps the process.
TEST(node_stop, callsThatEndInTimeAreServed)
{
    node_simulation simulation(2);
    slowDown(simulation);
    simulation.run(kStartupTime);
    simulation.requestStream(0, "before", "/stream/1");
    const auto requests = sendWhileStopping(
            simulation, 0, [&](std::size_t n) { return simulation.sendCall(0, "c" + std::to_string(n)); });
    for (const sent_request &request : requests) {
        EXPECT_TRUE(isAnswered(simulation, request.exchange)) << request.afterSignal.count();
        if (request.afterSignal < kEarlyTime) {
            EXPECT_NE(simulation.answerAs<answer_call>(request.exchange), nullptr);
        }
    }
}

// Of the calls and streams that other daemons had relayed to it, a stopping daemon cut those that lasted
// longer than the time in which it hands its batches over.
TEST(node_stop, relayedStreamsEndBeforeTheProcess)
{
    node_simulation simulation(3);
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        simulation.upstream(upstream).interChunkLatency = milliseconds{140};
    }
    simulation.run(kStartupTime);
    simulation.setUpstreamCut(1, test::upstream_cut::refuses);
    simulation.setUpstreamCut(2, test::upstream_cut::refuses);
    // Daemons notice it when they send something.
    for (int i = 0; i < 5; ++i) {
        simulation.sendCall(1, "first-" + std::to_string(i));
        simulation.sendCall(2, "second-" + std::to_string(i));
        simulation.run(kRequestInterval);
    }
    ASSERT_TRUE(simulation.runUntil(
            [&] { return simulation.state(1).path.lost && simulation.state(2).path.lost; }, kGrace));
    simulation.run(kEarlyTime);
    const exchange_id relayed = simulation.requestStream(1, "relayed", "/fragile/1");
    ASSERT_TRUE(simulation.runUntil([&] { return simulation.stream(relayed).begun; }, kEarlyTime));
    simulation.stop(0);
    ASSERT_TRUE(simulation.runUntil([&] { return !simulation.isUp(0); }, kGrace));
    simulation.run(kRequestInterval);
    EXPECT_TRUE(simulation.stream(relayed).complete);
    EXPECT_EQ(simulation.violationText(), "");
}

// Upstreams that never answer: each caller is told before the process ends, and no event is held back.
TEST(node_stop, unfinishedRequestsAreAnsweredBeforeTheProcessEnds)
{
    node_simulation simulation(4);
    simulation.run(kStartupTime);
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        simulation.upstream(upstream).interChunkLatency = milliseconds{1000};
    }
    const exchange_id begun = simulation.requestStream(0, "begun", "/fragile/1");
    simulation.run(milliseconds{2000});
    ASSERT_TRUE(simulation.stream(begun).begun);
    for (std::size_t upstream = 0; upstream < 4; ++upstream) {
        simulation.upstream(upstream).interChunkLatency = kGrace * 3;
    }
    const exchange_id waiting = simulation.requestStream(0, "waiting", "/fragile/1");
    simulation.stop(0);
    ASSERT_TRUE(simulation.runUntil([&] { return !simulation.isUp(0); }, kGrace));
    EXPECT_TRUE(simulation.stream(begun).ended);
    EXPECT_FALSE(simulation.stream(begun).complete);
    const auto *answer = simulation.answerAs<refuse_call>(waiting);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->reason, refusal::deadline_exceeded);
}

// The grace runs from the first signal: the runtime counted it from the last one, and was killed before its
// end.
TEST(node_stop, laterSignalsDoNotExtendTheGrace)
{
    node_simulation simulation(7);
    slowDown(simulation);
    simulation.run(kStartupTime);
    simulation.requestStream(0, "keeps the process", "/stream/1");
    simulation.stop(0);
    const instant signalAt = simulation.now();
    simulation.run(kEarlyTime);
    simulation.stop(0);
    ASSERT_TRUE(simulation.isUp(0));
    EXPECT_EQ(simulation.state(0).stopRequestedAt, signalAt);
    EXPECT_LE(simulation.state(0).answersBy, signalAt + kGrace);
}

// Long polls kept a stopping daemon busy, and the reads of the store that arrived last were cut.
TEST(node_stop, readersAreAnsweredAtOnce)
{
    node_simulation simulation(5);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(4, 400));
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{500});
    const std::size_t daemon = (simulation.ownerIndex(submitted.id) + 1) % simulation.daemonCount();
    const exchange_id waiting = simulation.requestPage(daemon, submitted.id, 0, milliseconds{5000});
    simulation.requestStream(daemon, "keeps the process", "/stream/1");
    simulation.stop(daemon);
    simulation.run(milliseconds{300});
    EXPECT_NE(simulation.answerAs<answer_page>(waiting), nullptr);
    const exchange_id later = simulation.requestPage(daemon, submitted.id, 0, milliseconds{5000});
    simulation.run(milliseconds{300});
    EXPECT_NE(simulation.answerAs<answer_page>(later), nullptr);
}

// The store does not answer: reads, and the end of a batch, are answered before the process ends.
TEST(node_stop, requestsThatWaitForTheStoreAreAnswered)
{
    node_simulation simulation(6);
    slowDown(simulation);
    simulation.run(kStartupTime);
    const batch submitted = node_simulation::makeBatch("b1", "m0", 1, std::vector<unsigned>(4, 400));
    simulation.submitBatch(0, submitted);
    simulation.run(milliseconds{500});
    const std::size_t daemon = (simulation.ownerIndex(submitted.id) + 1) % simulation.daemonCount();
    simulation.requestStream(daemon, "keeps the process", "/stream/1");
    simulation.setStoreUnreachable(daemon, true);
    const auto requests = sendWhileStopping(simulation, daemon, [&](std::size_t n) {
        switch (n % 3) {
        case 0:
            return simulation.requestPage(daemon, submitted.id, 0, milliseconds{1000});
        case 1:
            return simulation.requestItem(daemon, submitted.id, submitted.items.front().id);
        default:
            return simulation.endBatch(daemon, submitted.id);
        }
    });
    for (const sent_request &request : requests) {
        EXPECT_TRUE(isAnswered(simulation, request.exchange)) << request.afterSignal.count();
    }
}

} // namespace jacinthvale
