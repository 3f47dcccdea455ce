// What the HTTP server and client do at the edges: reused, half-closed, silent, slow and malformed
// connections.
#include "http_edges.h"

#include <csignal>
#include <cstring>

using namespace jacinthvale;
using namespace jacinthvale::test;

namespace {

constexpr const char *kKeepAliveAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST(http_client, neverSendsARequestTwiceWhenAReusedConnectionCloses)
{
    const test_loop loop;
    int requests = 0;
    raw_server *self = nullptr;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &bytes) {
        requests += bytes.find("POST /x") != std::string::npos ? 1 : 0;
        if (requests == 1) {
            bufferevent_write(connection, kKeepAliveAnswer, strlen(kKeepAliveAnswer));
        } else {
            self->close(connection);
        }
    });
    self = &server;
    http_client client(loop.base());
    watched_call first;
    client.start(makeCall(server.where()), first.listener());
    ASSERT_TRUE(loop.runUntil([&] { return first.finished.has_value(); }));
    EXPECT_EQ(first.finished->outcome, transfer_outcome::complete);
    watched_call second;
    client.start(makeCall(server.where()), second.listener());
    ASSERT_TRUE(loop.runUntil([&] { return second.finished.has_value(); }));
    EXPECT_EQ(second.finished->outcome, transfer_outcome::failed_after_send);
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(server.connections(), 1);
}

TEST(http_client, opensAnotherConnectionForAFreshCall)
{
    const test_loop loop;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &) {
        bufferevent_write(connection, kKeepAliveAnswer, strlen(kKeepAliveAnswer));
    });
    http_client client(loop.base());
    for (int i = 0; i < 2; ++i) {
        watched_call call;
        call_http fresh = makeCall(server.where());
        fresh.freshConnection = true;
        client.start(fresh, call.listener());
        ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
        EXPECT_EQ(call.finished->body, "ok");
    }
    EXPECT_EQ(server.connections(), 2);
}

TEST(http_client, reportsNothingSentWhenNobodyListens)
{
    const test_loop loop;
    endpoint closed;
    {
        const raw_server server(loop.base(), [](bufferevent *, const std::string &) {});
        closed = server.where();
    }
    http_client client(loop.base());
    watched_call call;
    client.start(makeCall(closed), call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::nothing_sent);
}

TEST(http_client, reportsATimeoutAfterSendingToASilentServer)
{
    const test_loop loop;
    const raw_server server(loop.base(), [](bufferevent *, const std::string &) {});
    http_client client(loop.base());
    watched_call call;
    call_http patient = makeCall(server.where());
    patient.progressTimeout = milliseconds{50};
    client.start(patient, call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::timed_out);
    EXPECT_EQ(client.runningCalls(), 0U);
}

TEST(http_client, seesAnAbortedStreamAsBroken)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    http_client client(loop.base());
    watched_call call;
    call_http streamed = makeCall(upstream.where());
    streamed.streamed = true;
    client.start(streamed, call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return !upstream.requests.empty(); }));
    const exchange_id exchange = upstream.requests[0].exchange;
    upstream.server.begin({exchange, 200, {}});
    upstream.server.chunk({exchange, "part"});
    ASSERT_TRUE(loop.runUntil([&] { return call.streamed == "part"; }));
    upstream.server.end({exchange, true});
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::failed_after_send);
    EXPECT_TRUE(upstream.abandoned.empty());
    EXPECT_EQ(upstream.server.openExchanges(), 0U);
}

TEST(http_client, cancelClosesTheConnectionSoThatTheServerLearnsOfIt)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    http_client client(loop.base());
    watched_call call;
    const http_call_handle handle = client.start(makeCall(upstream.where()), call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return !upstream.requests.empty(); }));
    client.cancel(handle);
    ASSERT_TRUE(loop.runUntil([&] { return !upstream.abandoned.empty(); }));
    EXPECT_FALSE(call.finished.has_value());
    upstream.server.reply({upstream.requests[0].exchange, 200, {}, "late"});
    EXPECT_EQ(upstream.server.openExchanges(), 0U);
}

// The body of a GET or DELETE was sent without its length, so that servers ran it as a request.
TEST(http_client, saysTheLengthOfEachBody)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    http_client client(loop.base());
    for (const std::string method : {"GET", "DELETE", "PUT", "POST"}) {
        for (const std::string body : {"", "GET /smuggled HTTP/1.1\r\n\r\n"}) {
            watched_call call;
            call_http sent = makeCall(upstream.where());
            sent.method = method;
            sent.body = body;
            client.start(sent, call.listener());
            ASSERT_TRUE(loop.runUntil([&] { return !upstream.requests.empty(); }));
            EXPECT_EQ(upstream.requests[0].method, method);
            EXPECT_EQ(upstream.requests[0].body, body) << method;
            upstream.server.reply({upstream.requests[0].exchange, 200, {}, "ok"});
            ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
            EXPECT_EQ(upstream.requests.size(), 1U) << method;
            upstream.requests.clear();
        }
    }
}

TEST(http_client, carriesLargeBodiesBothWays)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    http_client client(loop.base());
    watched_call call;
    call_http large = makeCall(upstream.where());
    large.body = std::string(6 * 1024 * 1024, 'q');
    client.start(large, call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return !upstream.requests.empty(); }));
    EXPECT_EQ(upstream.requests[0].body, large.body);
    upstream.server.reply({upstream.requests[0].exchange, 200, {}, std::string(6 * 1024 * 1024, 'a')});
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->body, std::string(6 * 1024 * 1024, 'a'));
}

namespace {

/// A response that begins with some bytes and goes on with others until the caller closes.
struct endless_response
{
    std::string name;
    std::string begin;
    std::string repeated;
};

std::vector<endless_response> endlessResponses()
{
    constexpr std::size_t kFillerBytes = 16 * 1024;
    const std::string filler(kFillerBytes, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    return {{"bytes instead of a status line", "", filler},
            {"lines instead of a status line", "", filler + "\r\n"},
            {"status line without end", "HTTP/1.1 200 ", filler},
            {"header without end", head + "X-Filler: ", filler},
            {"headers without end", head, "X-Filler: " + filler + "\r\n"},
            {"body without length", head + "\r\n", filler},
            {"chunks without end", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
            {"length of a chunk without end", head + "Transfer-Encoding: chunked\r\n\r\n",
             std::string(kFillerBytes, '0')},
            {"trailers without end", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-Filler: " + filler + "\r\n"}};
}

} // namespace

// The client read a head of any size and kept all of it, until the process had no memory left.
TEST(http_client, endsResponsesWithoutEnd)
{
    for (const bool streamed : {false, true}) {
        for (const endless_response &response : endlessResponses()) {
            const test_loop loop;
            const raw_server server(loop.base(), [&](bufferevent *connection, const std::string &) {
                bufferevent_write(connection, response.begin.data(), response.begin.size());
            });
            http_client_limits limits;
            limits.maxBodyBytes = 1024 * 1024;
            http_client client(loop.base(), limits);
            watched_call call;
            call_http endless = makeCall(server.where());
            endless.streamed = streamed;
            endless.progressTimeout = kLongestWait * 2;
            client.start(endless, call.listener());
            event_timer feeder(loop.base(), [&] {
                server.writeToReaders(response.repeated);
                feeder.start(milliseconds{1});
            });
            feeder.start(milliseconds{20});
            EXPECT_TRUE(loop.runUntil([&] { return call.finished && server.openConnections() == 0; }))
                    << response.name << (streamed ? ", streamed" : "");
            ASSERT_TRUE(call.finished.has_value()) << response.name;
            EXPECT_EQ(call.finished->outcome, transfer_outcome::malformed) << response.name;
            EXPECT_LE(call.streamed.size(), limits.maxBodyBytes) << response.name;
        }
    }
}

// Each interim response counted as progress, so the call never ended.
TEST(http_client, interimResponsesWithoutEndAreNoProgress)
{
    const test_loop loop;
    const raw_server server(loop.base(), [](bufferevent *, const std::string &) {});
    http_client client(loop.base());
    watched_call call;
    call_http endless = makeCall(server.where());
    endless.progressTimeout = milliseconds{300};
    client.start(endless, call.listener());
    event_timer feeder(loop.base(), [&] {
        server.writeToReaders("HTTP/1.1 100 Continue\r\n\r\n");
        feeder.start(milliseconds{5});
    });
    feeder.start(milliseconds{20});
    ASSERT_TRUE(loop.runUntil([&] { return call.finished && server.openConnections() == 0; }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::timed_out);
}

TEST(http_client, reportsTheHeadOfEveryResponse)
{
    const test_loop loop;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &) {
        bufferevent_write(connection, kKeepAliveAnswer, strlen(kKeepAliveAnswer));
    });
    http_client client(loop.base());
    watched_call call;
    http_call_listener listener = call.listener();
    int status = 0;
    listener.onHead = [&](int received, const http_headers &) { status = received; };
    client.start(makeCall(server.where()), std::move(listener));
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(status, 200);
}

namespace {

/// Answer to the request with an id, which the body repeats.
std::string answerWithId(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\nX-Id: " + id + "\r\n\r\n"
           + id;
}

/// Server whose connections get a second copy of the answer to the first request at some time.
enum class copy_time { with_the_first, while_idle, after_the_next_request, split_around_the_next_request };

class copying_server
{
public:
    copying_server(event_base *base, copy_time when)
        : m_when(when)
        , m_server(base, [this](bufferevent *connection, const std::string &) { onRequest(connection); })
    {}
    raw_server &server() { return m_server; }
    /// Sends the copy on the idle connection.
    void sendCopy() { write(m_first, answerWithId("one")); }

private:
    static void write(bufferevent *connection, const std::string &bytes)
    {
        bufferevent_write(connection, bytes.data(), bytes.size());
    }
    void onRequest(bufferevent *connection)
    {
        const std::string first = answerWithId("one");
        if (++m_requests == 1) {
            m_first = connection;
            write(connection, first);
            if (m_when == copy_time::with_the_first) {
                write(connection, first);
            } else if (m_when == copy_time::split_around_the_next_request) {
                write(connection, first.substr(0, 9));
            }
            return;
        }
        const bool isReused = connection == m_first;
        if (isReused && m_when == copy_time::after_the_next_request) {
            write(connection, first);
        } else if (isReused && m_when == copy_time::split_around_the_next_request) {
            write(connection, first.substr(9));
        }
        write(connection, answerWithId("two"));
    }

    copy_time m_when;
    int m_requests = 0;
    bufferevent *m_first = nullptr;
    raw_server m_server;
};

} // namespace

// A server sends a second copy of an answer, late, on a connection that is in use again. The next call fails
// or gets its own answer, never the other one.
TEST(http_client, secondCopyOfAnAnswerNeverAnswersAnotherCall)
{
    for (const copy_time when :
         {copy_time::with_the_first, copy_time::while_idle, copy_time::after_the_next_request,
          copy_time::split_around_the_next_request}) {
        const test_loop loop;
        copying_server copying(loop.base(), when);
        http_client client(loop.base());
        const auto start = [&](watched_call &call, const std::string &id) {
            call_http request = makeCall(copying.server().where());
            request.echo = {"X-Id", id};
            client.start(request, call.listener());
        };
        watched_call first;
        start(first, "one");
        ASSERT_TRUE(loop.runUntil([&] { return first.finished.has_value(); }));
        EXPECT_EQ(first.finished->body, "one");
        if (when == copy_time::while_idle) {
            copying.sendCopy();
        }
        watched_call second;
        start(second, "two");
        ASSERT_TRUE(loop.runUntil([&] { return second.finished.has_value(); }));
        EXPECT_TRUE(second.finished->outcome != transfer_outcome::complete || second.finished->body == "two")
                << static_cast<int>(when) << ": " << second.finished->body;
    }
}

// Guards against a request that runs twice: a late refusal without an id, which belongs to no request, is
// believed.
TEST(http_client, answerWithoutTheIdAnswersNoCallThatHasOne)
{
    const test_loop loop;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &) {
        const std::string bytes
                = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + answerWithId("one");
        bufferevent_write(connection, bytes.data(), bytes.size());
    });
    http_client client(loop.base());
    for (const bool bearsId : {true, false}) {
        call_http request = makeCall(server.where());
        request.echo = {"X-Id", bearsId ? "one" : ""};
        watched_call call;
        client.start(request, call.listener());
        ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
        EXPECT_EQ(call.finished->outcome,
                  bearsId ? transfer_outcome::failed_after_send : transfer_outcome::complete);
    }
}

// Bytes that are already in the socket when an idle connection is taken belong to no call, with an id or
// without.
TEST(http_client, idleConnectionWithUnreadBytesIsNotUsedAgain)
{
    const test_loop loop;
    int requests = 0;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &) {
        const std::string answer = answerWithId(++requests == 1 ? "one" : "two");
        bufferevent_write(connection, answer.data(), answer.size());
    });
    http_client client(loop.base());
    watched_call first;
    client.start(makeCall(server.where()), first.listener());
    ASSERT_TRUE(loop.runUntil([&] { return first.finished.has_value(); }));
    server.writeToAll(answerWithId("one"));
    watched_call second;
    client.start(makeCall(server.where()), second.listener());
    ASSERT_TRUE(loop.runUntil([&] { return second.finished.has_value(); }));
    EXPECT_EQ(second.finished->body, "two");
    EXPECT_EQ(server.connections(), 2);
}

TEST(http_server, refusesWhatIsMalformedAndGoesOn)
{
    const test_loop loop;
    http_server_limits limits;
    limits.maxBodyBytes = 100;
    limits.maxHeaderBytes = 1000;
    manual_server upstream(loop.base(), limits);
    const std::vector<std::pair<std::string, std::string>> cases = {
            {"nonsense\r\n\r\n", "400"},
            {"POST /x HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'b'), "413"},
            {"POST /x HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400"},
            {"GET /x HTTP/1.1\r\nA: " + std::string(2000, 'h') + "\r\n\r\n", "400"},
            {"BREW /x HTTP/1.1\r\n\r\n", "501"},
    };
    for (const auto &item : cases) {
        const std::string &bytes = item.first;
        const std::string answer = "HTTP/1.1 " + item.second;
        raw_client client(upstream.server.port());
        client.send(bytes);
        EXPECT_TRUE(loop.runUntil([&] { return client.received().starts_with(answer); }))
                << bytes.substr(0, 40) << " gave " << client.received();
    }
    EXPECT_TRUE(upstream.requests.empty());
    raw_client good(upstream.server.port());
    good.send("GET /x?a=1%202 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 1; }));
    EXPECT_EQ(upstream.requests[0].query.at("a"), "1 2");
}

TEST(http_server, takesAHalfClosedCallerForGone)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    const raw_client client(upstream.server.port());
    client.send("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 1; }));
    client.shutdownWriting();
    EXPECT_TRUE(loop.runUntil([&] { return upstream.abandoned.size() == 1; }));
}

TEST(http_server, givesUpAReaderThatIsTooSlow)
{
    const test_loop loop;
    http_server_limits limits;
    limits.maxUnreadBytes = 64 * 1024;
    manual_server upstream(loop.base(), limits);
    const raw_client client(upstream.server.port(), 4096);
    client.send("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 1; }));
    const exchange_id exchange = upstream.requests[0].exchange;
    upstream.server.begin({exchange, 200, {}});
    int chunks = 0;
    while (upstream.abandoned.empty() && chunks < 10000) {
        upstream.server.chunk({exchange, std::string(16 * 1024, 's')});
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        ++chunks;
    }
    EXPECT_EQ(upstream.abandoned.size(), 1U);
    EXPECT_TRUE(loop.runUntil([&] { return upstream.server.openExchanges() == 0; }));
}

TEST(http_server, keepsTrackOfAnswersThatAreNotWrittenYet)
{
    const test_loop loop;
    manual_server upstream(loop.base());
    raw_client client(upstream.server.port());
    client.send("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 1; }));
    upstream.server.reply({upstream.requests[0].exchange, 200, {}, std::string(4 * 1024 * 1024, 'a')});
    EXPECT_TRUE(upstream.server.hasUnsentBytes());
    EXPECT_TRUE(loop.runUntil([&] { return client.received().size() > 4 * 1024 * 1024; }));
    EXPECT_TRUE(loop.runUntil([&] { return !upstream.server.hasUnsentBytes(); }));
}

TEST(http_server, dropsTheAnswerOfASlowReaderAndServesTheOthers)
{
    constexpr std::size_t kBytes = 8 * 1024 * 1024;
    const test_loop loop;
    manual_server upstream(loop.base());
    const raw_client slow(upstream.server.port(), 4096);
    slow.send("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 1; }));
    raw_client quick(upstream.server.port());
    quick.send("POST /y HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return upstream.requests.size() == 2; }));
    upstream.server.reply({upstream.requests[0].exchange, 200, {}, std::string(kBytes, 'a')});
    upstream.server.reply({upstream.requests[1].exchange, 200, {}, std::string(kBytes, 'b')});
    const auto unsent = upstream.server.unsentAnswers();
    ASSERT_EQ(unsent.size(), 2U);
    EXPECT_TRUE(std::ranges::any_of(unsent, [&](const auto &answer) {
        return answer.exchange == upstream.requests[0].exchange && answer.repeatable && answer.bytes > 0;
    }));
    upstream.server.drop(upstream.requests[0].exchange);
    EXPECT_TRUE(loop.runUntil([&] { return quick.received().size() > kBytes; }));
    EXPECT_TRUE(loop.runUntil([&] { return !upstream.server.hasUnsentBytes(); }));
    EXPECT_TRUE(upstream.server.unsentAnswers().empty());
}
