// What a process holds of the answers to its own calls: one account, and who gives way when it is full.
#include "connection_guard.h"
#include "http_edges.h"

#include <algorithm>
#include <deque>

using namespace jacinthvale;
using namespace jacinthvale::test;

namespace {

constexpr std::size_t kMb = 1024 * 1024;
constexpr std::size_t kBudgetBytes = 4 * kMb;

connection_view responseOf(std::uint64_t id, std::size_t bytes, answer_rank rank)
{
    connection_view view;
    view.id = {id};
    view.stage = connection_stage::response;
    view.bytes = bytes;
    view.repeatable = rank == answer_rank::repeatable;
    view.essential = rank == answer_rank::essential;
    return view;
}

connection_view waitingOf(std::uint64_t id, std::int64_t sinceMs, std::size_t wanted, answer_rank rank)
{
    connection_view view = responseOf(id, 1, rank);
    view.stage = connection_stage::response_waiting;
    view.remaining = wanted;
    view.since = instant{milliseconds{sinceMs}};
    return view;
}

std::vector<std::uint64_t> idsOf(const std::vector<connection_verdict> &verdicts)
{
    std::vector<std::uint64_t> ids;
    std::ranges::transform(verdicts, std::back_inserter(ids),
                           [](const connection_verdict &verdict) { return verdict.id.value; });
    return ids;
}

/// Client within a small budget, and its calls.
struct guarded_client
{
    explicit guarded_client(event_base *base)
        : guard(base, {kBudgetBytes, 64},
                [this](const std::string &group, std::string_view reason) {
                    EXPECT_EQ(group, "responses");
                    ended.emplace_back(reason);
                })
        , client(base, guard)
    {}

    watched_call &call(const endpoint &target, answer_rank rank, bool streamed = false)
    {
        watched_call &watched = calls.emplace_back();
        call_http call = makeCall(target);
        call.rank = rank;
        call.streamed = streamed;
        call.progressTimeout = kLongestWait * 2;
        http_call_listener listener = watched.listener();
        if (streamed) {
            listener.heldBytes = [&watched] { return watched.streamed.size(); };
        }
        client.start(call, std::move(listener));
        return watched;
    }

    std::size_t finishedCalls() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                calls, [](const watched_call &one) { return one.finished.has_value(); }));
    }

    std::vector<std::string> ended;
    std::deque<watched_call> calls;
    connection_guard guard;
    http_client client;
};

/// Server that answers each request with the same bytes.
raw_server::bytes_handler answering(const std::string &answer)
{
    return [answer](bufferevent *connection, const std::string &) {
        bufferevent_write(connection, answer.data(), answer.size());
    };
}

std::string sizedAnswer(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
           + std::string(bytes, 'x');
}

std::string chunkedAnswer(std::size_t chunks)
{
    std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < chunks; ++i) {
        answer += "10000\r\n" + std::string(64 * 1024, 'x') + "\r\n";
    }
    return answer + "0\r\n\r\n";
}

/// Keeps an answer growing for as long as it is read.
class endless_server
{
public:
    endless_server(const test_loop &loop, const std::string &begin)
        : m_server(loop.base(), answering(begin))
        , m_feeder(loop.base(), [this] {
            m_server.writeToReaders(std::string(64 * 1024, 'x'));
            m_feeder.start(milliseconds{1});
        })
    {
        m_feeder.start(milliseconds{20});
    }
    endpoint where() const { return m_server.where(); }

private:
    raw_server m_server;
    event_timer m_feeder;
};

const std::string kUnsizedHead = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

TEST(response_account, repeatableOnesGiveWayFirstAndTheLargestOfThem)
{
    const std::vector<connection_view> views
            = {responseOf(1, 100, answer_rank::essential), responseOf(2, 90, answer_rank::single),
               responseOf(3, 10, answer_rank::repeatable), responseOf(4, 30, answer_rank::repeatable),
               responseOf(5, 20, answer_rank::single)};
    EXPECT_EQ(idsOf(responsesToDisplace(views, 1)), (std::vector<std::uint64_t>{4}));
    EXPECT_EQ(idsOf(responsesToDisplace(views, 31)), (std::vector<std::uint64_t>{4, 3}));
    EXPECT_EQ(idsOf(responsesToDisplace(views, 41)), (std::vector<std::uint64_t>{4, 3, 2}));
    EXPECT_EQ(idsOf(responsesToDisplace(views, 1000)), (std::vector<std::uint64_t>{4, 3, 2, 5}));
    EXPECT_EQ(idsOf(responsesToDisplace(views, 1, {4})), (std::vector<std::uint64_t>{3}));
    EXPECT_TRUE(responsesToDisplace(views, 0).empty());
}

TEST(response_account, requestsAndAnswersToCallersAreNotDisplaced)
{
    std::vector<connection_view> views(7, responseOf(1, 100, answer_rank::repeatable));
    int stage = 0;
    for (connection_view &view : views) {
        view.stage = static_cast<connection_stage>(stage++);
    }
    EXPECT_TRUE(responsesToDisplace(views, 1000).empty());
}

TEST(response_account, roomIsMadeForOneThatHasWaitedAndAtOnceForEssentialOnes)
{
    connection_times times;
    times.room = milliseconds{1000};
    std::vector<connection_view> views
            = {waitingOf(1, 500, 70, answer_rank::single), waitingOf(2, 400, 60, answer_rank::repeatable),
               responseOf(3, 10, answer_rank::repeatable)};
    EXPECT_FALSE(responseToServe(views, times, instant{milliseconds{1400}}).has_value());
    EXPECT_EQ(responseToServe(views, times, instant{milliseconds{1501}}), views[1]);
    views.push_back(waitingOf(4, 1500, 50, answer_rank::essential));
    EXPECT_EQ(responseToServe(views, times, instant{milliseconds{1501}}), views[3]);
}

// Each answer had a bound of its own, and all together had none: 40 took a process over its memory.
TEST(response_account, soundAnswersAreServedWithinTheBudgetOneAfterTheOther)
{
    for (const std::string &answer : {sizedAnswer(kMb), chunkedAnswer(16)}) {
        const test_loop loop;
        const raw_server server(loop.base(), answering(answer));
        guarded_client client(loop.base());
        constexpr std::size_t kCalls = 20;
        for (std::size_t i = 0; i < kCalls; ++i) {
            client.call(server.where(), answer_rank::single);
        }
        std::size_t most = 0;
        ASSERT_TRUE(loop.runUntil([&] {
            most = std::max(most, client.guard.usedBytes());
            return client.finishedCalls() == kCalls;
        }));
        for (const watched_call &call : client.calls) {
            EXPECT_EQ(call.finished->outcome, transfer_outcome::complete);
            EXPECT_TRUE(call.finished->body == std::string(kMb, 'x'));
        }
        EXPECT_LE(most, kBudgetBytes);
        EXPECT_TRUE(loop.runUntil([&] { return client.guard.usedBytes() == 0; }));
        EXPECT_TRUE(client.ended.empty());
    }
}

TEST(response_account, answersWithoutEndGiveWayByRank)
{
    const test_loop loop;
    const endless_server endless(loop, kUnsizedHead);
    guarded_client client(loop.base());
    watched_call &essential = client.call(endless.where(), answer_rank::essential);
    std::size_t most = 0;
    const auto watch = [&](const auto &condition) {
        return loop.runUntil([&] {
            most = std::max(most, client.guard.usedBytes());
            return condition();
        });
    };
    std::vector<watched_call *> repeatable;
    for (int i = 0; i < 8; ++i) {
        repeatable.push_back(&client.call(endless.where(), answer_rank::repeatable));
    }
    const auto isOver = [](const watched_call *call) { return call->finished.has_value(); };
    ASSERT_TRUE(watch([&] { return std::ranges::all_of(repeatable, isOver); }));
    for (const watched_call *call : repeatable) {
        EXPECT_EQ(call->finished->outcome, transfer_outcome::displaced);
    }
    EXPECT_FALSE(essential.finished.has_value());
    EXPECT_LE(most, kBudgetBytes + 8 * 80 * 1024);
    EXPECT_GE(client.ended.size(), 8U);
    EXPECT_TRUE(std::ranges::all_of(
            client.ended, [](const std::string &reason) { return reason == "displaced_response"; }));
}

TEST(response_account, smallAnswersAreReadBesideLargeOnesThatHalt)
{
    const test_loop loop;
    const raw_server halting(loop.base(),
                             answering("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nbeginning"));
    const raw_server sound(loop.base(), answering(sizedAnswer(10)));
    guarded_client client(loop.base());
    for (int i = 0; i < 10; ++i) {
        client.call(halting.where(), answer_rank::single);
    }
    ASSERT_TRUE(loop.runUntil([&] { return client.guard.usedBytes() >= 3 * 1'000'000; }));
    const watched_call &small = client.call(sound.where(), answer_rank::repeatable);
    ASSERT_TRUE(loop.runUntil([&] { return small.finished.has_value(); }));
    EXPECT_EQ(small.finished->outcome, transfer_outcome::complete);
    EXPECT_LE(client.guard.usedBytes(), kBudgetBytes);
}

// The bytes of an event without end were kept for each stream, outside of the account.
TEST(response_account, whatReceiversKeepOfStreamsCounts)
{
    const test_loop loop;
    const endless_server endless(loop, kUnsizedHead);
    guarded_client client(loop.base());
    for (int i = 0; i < 8; ++i) {
        client.call(endless.where(), answer_rank::repeatable, true);
    }
    std::size_t most = 0;
    ASSERT_TRUE(loop.runUntil([&] {
        most = std::max(most, client.guard.usedBytes());
        return client.finishedCalls() > 0;
    }));
    const auto displaced = std::ranges::find_if(
            client.calls, [](const watched_call &call) { return call.finished.has_value(); });
    EXPECT_EQ(displaced->finished->outcome, transfer_outcome::displaced);
    EXPECT_GT(most, kBudgetBytes);
    EXPECT_LE(most, 2 * kBudgetBytes);
}

TEST(response_account, answerThatNeverFitsEndsAtOnce)
{
    const test_loop loop;
    const raw_server server(loop.base(), answering("HTTP/1.1 200 OK\r\nContent-Length: 6000000\r\n\r\nx"));
    guarded_client client(loop.base());
    const watched_call &call = client.call(server.where(), answer_rank::single);
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::displaced);
    EXPECT_EQ(client.ended, (std::vector<std::string>{"response_too_large"}));
    EXPECT_EQ(client.guard.usedBytes(), 0U);
}

TEST(response_account, cancelledCallsHoldNothing)
{
    const test_loop loop;
    const endless_server endless(loop, kUnsizedHead);
    guarded_client client(loop.base());
    const http_call_handle handle = client.client.start(makeCall(endless.where()), watched_call().listener());
    ASSERT_TRUE(loop.runUntil([&] { return client.guard.usedBytes() > 0; }));
    client.client.cancel(handle);
    EXPECT_EQ(client.guard.usedBytes(), 0U);
}
