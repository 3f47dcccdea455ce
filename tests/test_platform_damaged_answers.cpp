// Answers of upstreams, peers and the store that end before they are whole, and answers that begin twice.
#include "http_edges.h"
#include "node_relay.h"
#include "platform_port.h"

namespace jacinthvale {

using namespace node;
using namespace test;

namespace {

enum class ending : std::uint8_t { close, reset, keep };

struct damaged_answer
{
    const char *name;
    std::string bytes;
    /// Bytes from which on the answer may be taken for whole if the connection is closed after them.
    std::size_t wholeFrom;
};

std::vector<damaged_answer> answers()
{
    const std::string head
            = "HTTP/1.1 200 OK\r\nJacinthvale-Attempt-Id: a1\r\nJacinthvale-Response-Seal: s1\r\n";
    const std::string sized = head + "Content-Length: 12\r\n\r\nid: 1\ndata\n\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata\n\n\r\n0\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + sized;
    const std::string unsized = head + "\r\nid: 1\ndata\n\n";
    return {{"sized", sized, sized.size()},
            {"chunked", chunked, chunked.size()},
            {"interim", interim, interim.size()},
            {"unsized", unsized, head.size() + 2}};
}

/// Server that sends the beginning of an answer and ends the connection.
class cutting_server
{
public:
    cutting_server(event_base *base, std::string bytes, ending how)
        : m_server(base, [this, bytes = std::move(bytes), how](bufferevent *connection, const std::string &) {
            EXPECT_EQ(::send(bufferevent_getfd(connection), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                      static_cast<ssize_t>(bytes.size()));
            if (how == ending::reset) {
                m_server.reset(connection);
            } else if (how == ending::close) {
                m_server.close(connection);
            }
        })
    {}
    endpoint where() const { return m_server.where(); }

private:
    raw_server m_server;
};

http_call_finished finishedOf(const test_loop &loop, const std::string &bytes, ending how, bool streamed)
{
    const cutting_server server(loop.base(), bytes, how);
    http_client client(loop.base());
    watched_call call;
    call_http sent = makeCall(server.where());
    sent.streamed = streamed;
    client.start(sent, call.listener());
    EXPECT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    return call.finished.value_or(http_call_finished{});
}

} // namespace

// Guards against a success with an empty or short body, for a server that stops in its head or body and
// closes.
TEST(damaged_answers, answerThatIsCutAtAnyByteIsNotWhole)
{
    const test_loop loop;
    for (const damaged_answer &answer : answers()) {
        for (std::size_t cut = 0; cut < answer.bytes.size(); ++cut) {
            for (const bool streamed : {false, true}) {
                for (const ending how : {ending::close, ending::reset}) {
                    if (how == ending::close && cut >= answer.wholeFrom) {
                        continue;
                    }
                    const http_call_finished finished
                            = finishedOf(loop, answer.bytes.substr(0, cut), how, streamed);
                    EXPECT_NE(finished.outcome, transfer_outcome::complete)
                            << answer.name << " after " << cut << " bytes";
                    const call_end end = platform::decodeForwardedCall({1}, finished).end;
                    EXPECT_TRUE(end == call_end::incomplete || end == call_end::unreachable) << answer.name;
                }
            }
        }
    }
}

// The answers of the test above are whole if nothing is cut.
TEST(damaged_answers, wholeAnswersAreTaken)
{
    const test_loop loop;
    for (const damaged_answer &answer : answers()) {
        const ending how = answer.wholeFrom == answer.bytes.size() ? ending::keep : ending::close;
        const http_call_finished finished = finishedOf(loop, answer.bytes, how, false);
        EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, call_end::complete) << answer.name;
    }
}

// Guards against a second head in the middle of an answer that has begun.
TEST(damaged_answers, replyAfterTheBeginningOfAStreamEndsTheConnection)
{
    const test_loop loop;
    manual_server server(loop.base());
    http_client client(loop.base());
    watched_call call;
    call_http streamed = makeCall(server.where());
    streamed.streamed = true;
    client.start(streamed, call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return !server.requests.empty(); }));
    const exchange_id exchange = server.requests.front().exchange;
    server.server.begin({exchange, 200, {}});
    server.server.chunk({exchange, "part"});
    ASSERT_TRUE(loop.runUntil([&] { return call.streamed == "part"; }));
    EXPECT_FALSE(server.server.reply({exchange, 502, {}, "error"}));
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.streamed, "part");
    EXPECT_EQ(call.finished->outcome, transfer_outcome::failed_after_send);
    EXPECT_EQ(server.server.openExchanges(), 0U);
}

// Guards against the text of an error in the text of an item that goes on with another upstream.
TEST(damaged_answers, errorOfAnUpstreamIsNoPartOfAnItem)
{
    const http_headers headers{{"Jacinthvale-Attempt-Id", "i1"}, {"Jacinthvale-Response-Seal", "s1"}};
    for (const int status : {201, 301, 400, 404, 500, 503}) {
        const auto decoder = platform::makeRunDecoder({});
        decoder->onResponseHead(status, headers);
        EXPECT_TRUE(decoder->onBodyBytes("id: 9\ndata: error\n\n").empty()) << status;
        const http_call_finished whole{{}, transfer_outcome::complete, status, headers, {}};
        EXPECT_NE(decoder->onFinished(whole), call_end::complete) << status;
    }
}

// Guards against a stream that ends as complete because a daemon that should go on with it answered with an
// error, for example one of another version that cannot read the request.
TEST(damaged_answers, errorOfAPeerDoesNotCompleteARelayedStream)
{
    for (const int status : {400, 404, 413, 500, 503}) {
        const auto decoder = platform::makeStreamDecoder();
        const http_call_finished finished{{}, transfer_outcome::complete, status, {}, {}};
        decoder->onResponseHead(status, {});
        const relayed_call_ended ended = decodeRelayEnd({1}, finished, decoder.get());
        EXPECT_FALSE(ended.answer.has_value()) << status;
        EXPECT_EQ(ended.end, call_end::incomplete) << status;
    }
}

TEST(damaged_answers, streamOfAPeerIsCompleteWithItsEnd)
{
    const http_headers headers{{"Jacinthvale-Attempt-Id", "a1"}, {"Jacinthvale-Response-Seal", "s1"}};
    const auto decoder = platform::makeStreamDecoder();
    ASSERT_TRUE(decoder->onResponseHead(200, headers).has_value());
    EXPECT_EQ(decoder->onBodyBytes("id: 1\ndata: x\n\n").size(), 1U);
    const http_call_finished whole{{}, transfer_outcome::complete, 200, headers, {}};
    EXPECT_EQ(decodeRelayEnd({1}, whole, decoder.get()).end, call_end::complete);
    const http_call_finished cut{{}, transfer_outcome::failed_after_send, 0, {}, {}};
    EXPECT_EQ(decodeRelayEnd({1}, cut, decoder.get()).end, call_end::incomplete);
}

} // namespace jacinthvale
