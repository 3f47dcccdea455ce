// What the HTTP server reads, holds and refuses for callers that send too much, too slowly or too far ahead.
#include "connection_guard.h"
#include "http_edges.h"

using namespace jacinthvale;
using namespace jacinthvale::test;

namespace {

constexpr std::size_t kBudgetBytes = 1024 * 1024;

/// Server within a small budget.
struct guarded_server
{
    explicit guarded_server(event_base *base, http_server_limits limits = {}, std::size_t connections = 64)
        : guard(base, {kBudgetBytes, connections},
                [this](const std::string &, std::string_view reason) { ended.emplace_back(reason); })
        , server(base, guard, "test", std::move(limits),
                 {[this](http_request_received request) { requests.push_back(std::move(request)); },
                  [this](http_exchange_abandoned e) { abandoned.push_back(e.exchange); }})
    {
        EXPECT_TRUE(server.listen({"127.0.0.1", 0}).ok());
    }

    void answer(std::size_t request) { server.reply({requests[request].exchange, 200, {}, "ok"}); }

    std::vector<std::string> ended;
    std::vector<http_request_received> requests;
    std::vector<exchange_id> abandoned;
    connection_guard guard;
    http_server server;
};

std::string headOf(std::size_t bodyBytes)
{
    return "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// Sends as the server reads.
void sendAll(const test_loop &loop, const raw_client &client, std::string_view bytes)
{
    EXPECT_TRUE(loop.runUntil([&] {
        bytes.remove_prefix(client.send(bytes));
        return bytes.empty();
    }));
}

void wait(const test_loop &loop, milliseconds time)
{
    bool over = false;
    event_timer timer(loop.base(), [&] { over = true; });
    timer.start(time);
    EXPECT_TRUE(loop.runUntil([&] { return over; }));
}

} // namespace

// All that a caller sent ahead was read and kept while its first answer was not taken.
TEST(http_connections, requestsSentAheadStayInTheSocket)
{
    const test_loop loop;
    guarded_server server(loop.base());
    raw_client client(server.server.port());
    std::string ahead;
    for (int i = 0; i < 20'000; ++i) {
        ahead += "GET /x HTTP/1.1\r\n\r\n";
    }
    client.send(ahead.substr(0, 100'000));
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    wait(loop, milliseconds{50});
    EXPECT_EQ(server.requests.size(), 1U);
    EXPECT_LE(server.guard.usedBytes(), 32U * 1024);
    server.answer(0);
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 2; }));
    wait(loop, milliseconds{50});
    EXPECT_EQ(server.requests.size(), 2U);
}

TEST(http_connections, bodyWaitsUntilAnotherOneHasLeft)
{
    const test_loop loop;
    guarded_server server(loop.base());
    const std::string body(600 * 1024, 'b');
    raw_client first(server.server.port());
    first.send(headOf(body.size()));
    sendAll(loop, first, body);
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    raw_client second(server.server.port());
    second.send(headOf(body.size()));
    wait(loop, milliseconds{100});
    EXPECT_EQ(server.requests.size(), 1U);
    server.answer(0);
    sendAll(loop, second, body);
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 2; }));
    EXPECT_EQ(server.requests[1].body, body);
    server.answer(1);
    EXPECT_TRUE(loop.runUntil([&] { return second.received().ends_with("ok"); }));
    EXPECT_EQ(server.guard.usedBytes(), 0U);
}

TEST(http_connections, bodyWithoutRoomIsRefusedBeforeItIsPassedOn)
{
    const test_loop loop;
    guarded_server server(loop.base());
    const std::string body(600 * 1024, 'b');
    raw_client first(server.server.port());
    first.send(headOf(body.size()));
    sendAll(loop, first, body);
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    raw_client second(server.server.port());
    second.send(headOf(body.size()));
    // A small one is served all the while.
    raw_client small(server.server.port());
    small.send(headOf(4) + "tiny");
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 2; }));
    server.answer(1);
    ASSERT_TRUE(loop.runUntil([&] { return second.received().starts_with("HTTP/1.1 503"); }));
    EXPECT_NE(second.received().find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_EQ(server.requests.size(), 2U);
    EXPECT_TRUE(small.received().ends_with("ok"));
}

TEST(http_connections, bodyThatStopsShortGivesWay)
{
    const test_loop loop;
    guarded_server server(loop.base());
    const std::string body(600 * 1024, 'b');
    raw_client stalled(server.server.port());
    stalled.send(headOf(body.size()));
    sendAll(loop, stalled, std::string_view(body).substr(1000));
    wait(loop, milliseconds{1200});
    raw_client second(server.server.port());
    second.send(headOf(body.size()));
    ASSERT_TRUE(loop.runUntil([&] { return stalled.received().starts_with("HTTP/1.1 503"); }));
    sendAll(loop, second, body);
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    EXPECT_EQ(server.requests[0].body, body);
    EXPECT_EQ(server.ended, std::vector<std::string>{"displaced"});
}

TEST(http_connections, refusesWhatNeverEnds)
{
    http_server_limits limits;
    limits.maxHeaderBytes = 4096;
    limits.maxBodyBytes = 100 * 1024;
    const std::string chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string tiny = chunked;
    for (int i = 0; i < 30'000; ++i) {
        tiny += "1;extension=xxxxxxxxxxxxxx\r\nx\r\n";
    }
    const std::vector<std::pair<std::string, std::string>> cases = {
            {"GET /" + std::string(8000, 'x'), "400"},
            {"GET /x HTTP/1.1\r\nA: b\r\nC: " + std::string(8000, 'x'), "400"},
            {"\r\n\r\n\r\n\r\n\r\n\r\n", "400"},
            {chunked + std::string(8000, '0'), "400"},
            {chunked + "1;" + std::string(8000, 'x'), "400"},
            {chunked + "1\r\nx\r\n0\r\nA: " + std::string(8000, 'x'), "400"},
            {tiny.substr(0, 150'000), "400"},
            {chunked + "20000\r\n" + std::string(0x20000, 'x'), "413"},
            {"POST /x HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
            {"POST /x HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
            {"POST /x HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
    };
    for (const auto &item : cases) {
        const test_loop loop;
        guarded_server server(loop.base(), limits);
        raw_client client(server.server.port());
        client.send(item.first);
        const std::string answer = "HTTP/1.1 " + item.second;
        EXPECT_TRUE(loop.runUntil([&] { return client.received().starts_with(answer); }))
                << item.first.substr(0, 60) << " gave " << client.received();
        EXPECT_TRUE(server.requests.empty());
        EXPECT_LE(server.guard.usedBytes(), kBudgetBytes);
    }
}

TEST(http_connections, servesChunksOfAllSizesUpToTheLimit)
{
    http_server_limits limits;
    limits.maxBodyBytes = 100 * 1024;
    const test_loop loop;
    guarded_server server(loop.base(), limits);
    raw_client client(server.server.port());
    client.send("\r\nPOST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string body;
    for (const std::size_t size : {1UL, 10UL, 4096UL, 65'536UL, 32'757UL}) {
        const std::string part(size, static_cast<char>('a' + body.size() % 26));
        std::array<char, 16> line{};
        snprintf(line.data(), line.size(), "%zx\r\n", size);
        sendAll(loop, client, line.data() + part + "\r\n");
        body += part;
    }
    EXPECT_EQ(body.size(), limits.maxBodyBytes);
    client.send("0\r\nTrailer: x\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    EXPECT_EQ(server.requests[0].body, body);
    EXPECT_FALSE(server.requests[0].headers.contains("Trailer"));
}

TEST(http_connections, aSlowHeadIsRefusedAndAnIdleConnectionClosed)
{
    http_server_limits limits;
    limits.times.head = milliseconds{300};
    limits.times.idle = milliseconds{300};
    const test_loop loop;
    guarded_server server(loop.base(), limits);
    raw_client slow(server.server.port());
    slow.send("GET /x HT");
    const raw_client idle(server.server.port());
    EXPECT_TRUE(loop.runUntil([&] { return slow.received().starts_with("HTTP/1.1 408"); }));
    EXPECT_TRUE(loop.runUntil([&] { return std::ranges::count(server.ended, "idle") == 1; }));
}

TEST(http_connections, newConnectionsReplaceIdleOnes)
{
    const test_loop loop;
    guarded_server server(loop.base(), {}, 8);
    raw_client busy(server.server.port());
    busy.send("GET /x HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    std::vector<std::unique_ptr<raw_client>> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(std::make_unique<raw_client>(server.server.port()));
    }
    raw_client late(server.server.port());
    late.send("GET /y HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 2; }));
    EXPECT_LE(server.guard.connections(), 8U);
    server.answer(0);
    EXPECT_TRUE(loop.runUntil([&] { return busy.received().ends_with("ok"); }));
    EXPECT_TRUE(server.abandoned.empty());
}

TEST(http_connections, newLimitsHoldForOpenConnections)
{
    const test_loop loop;
    guarded_server server(loop.base());
    raw_client client(server.server.port());
    client.send(headOf(200) + std::string(200, 'b'));
    ASSERT_TRUE(loop.runUntil([&] { return server.requests.size() == 1; }));
    http_server_limits limits;
    limits.maxBodyBytes = 100;
    server.server.setLimits(limits);
    server.answer(0);
    client.send(headOf(200) + std::string(200, 'b'));
    EXPECT_TRUE(loop.runUntil([&] { return client.received().find("HTTP/1.1 413") != std::string::npos; }));
    EXPECT_EQ(server.requests.size(), 1U);
}
