// Answers that break HTTP, as http_client reports them; which forms break it is in test_http_response_parser.
#include "http_edges.h"

#include "platform_port.h"

namespace jacinthvale {

using namespace test;

namespace {

const std::string kSoundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Server that answers each request with the same bytes.
class answering_server
{
public:
    answering_server(event_base *base, std::string answer)
        : m_answer(std::move(answer))
        , m_server(base, [this](bufferevent *connection, const std::string &) {
            bufferevent_write(connection, m_answer.data(), m_answer.size());
        })
    {}
    endpoint where() const { return m_server.where(); }
    raw_server &server() { return m_server; }
    void setAnswer(std::string answer) { m_answer = std::move(answer); }

private:
    std::string m_answer;
    raw_server m_server;
};

/// One call, its head, and what the client says of its answer.
struct reported_call
{
    watched_call watched;
    int heads = 0;
    std::vector<answer_fault> faults;

    void make(const test_loop &loop, const endpoint &target, bool streamed)
    {
        http_client client(loop.base(), {},
                           [this](const endpoint &, const answer_fault &fault) { faults.push_back(fault); });
        call_http call = makeCall(target);
        call.streamed = streamed;
        http_call_listener listener = watched.listener();
        listener.onHead = [this](int, const http_headers &) { ++heads; };
        client.start(call, std::move(listener));
        EXPECT_TRUE(loop.runUntil([&] { return watched.finished.has_value(); }));
    }
};

struct broken_head
{
    const char *rule;
    std::string answer;
};

std::vector<broken_head> brokenHeads()
{
    const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
    return {{"status_code", "HTTP/1.1 000 OK" + rest},
            {"status_code", "HTTP/1.1 20 OK" + rest},
            {"status_code", "HTTP/1.1 2000 OK" + rest},
            {"field_name", "HTTP/1.1 200 OK\r\nX A: 1" + rest},
            {"field_name", "HTTP/1.1 200 OK\r\nX\x01: 1" + rest},
            {"field_name", "HTTP/1.1 200 OK\r\nContent-Length : 1" + rest},
            {"field_value", "HTTP/1.1 200 OK\r\nX-A: \x01" + rest},
            {"content_length", "HTTP/1.1 200 OK\r\nContent-Length: 1" + rest}};
}

} // namespace

// A server in trouble sent the status 000, or a field name with a blank or a control byte.
TEST(malformed_answers, brokenHeadsAreNotTaken)
{
    const test_loop loop;
    for (const broken_head &broken : brokenHeads()) {
        for (const bool streamed : {false, true}) {
            const answering_server server(loop.base(), broken.answer);
            reported_call call;
            call.make(loop, server.where(), streamed);
            const http_call_finished &finished = *call.watched.finished;
            EXPECT_EQ(finished.outcome, transfer_outcome::malformed) << broken.answer;
            EXPECT_EQ(finished.status, 0) << broken.answer;
            EXPECT_TRUE(finished.headers.empty() && finished.body.empty()) << broken.answer;
            EXPECT_EQ(call.watched.streamed, "") << broken.answer;
            EXPECT_EQ(call.heads, 0) << broken.answer;
            ASSERT_EQ(call.faults.size(), 1U) << broken.answer;
            EXPECT_EQ(call.faults[0].rule, broken.rule) << broken.answer;
            EXPECT_EQ(platform::decodeForwardedCall({1}, finished).end, node::call_end::malformed);
            EXPECT_EQ(platform::makeRunDecoder({})->onFinished(finished), node::call_end::malformed);
        }
    }
}

TEST(malformed_answers, interimResponsesBeforeAnAnswerAreSkipped)
{
    const test_loop loop;
    const answering_server server(loop.base(), "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                               "Link: </a>\r\n\r\n"
                                                       + kSoundAnswer);
    reported_call call;
    call.make(loop, server.where(), false);
    EXPECT_EQ(call.watched.finished->outcome, transfer_outcome::complete);
    EXPECT_EQ(call.watched.finished->body, "ok");
    EXPECT_EQ(call.heads, 1);
}

// What follows a broken answer on its connection belongs to no request.
TEST(malformed_answers, theirConnectionIsNotUsedAgain)
{
    const test_loop loop;
    answering_server server(loop.base(), kSoundAnswer);
    http_client client(loop.base());
    for (const std::string &answer : {kSoundAnswer, "HTTP/1.1 000 x\r\n" + kSoundAnswer, kSoundAnswer}) {
        server.setAnswer(answer);
        watched_call call;
        client.start(makeCall(server.where()), call.listener());
        ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
        const bool isSound = answer == kSoundAnswer;
        EXPECT_EQ(call.finished->outcome, isSound ? transfer_outcome::complete : transfer_outcome::malformed);
    }
    EXPECT_EQ(server.server().connections(), 2);
    EXPECT_TRUE(loop.runUntil([&] { return server.server().openConnections() == 1; }));
}

TEST(malformed_answers, streamEndsBeforeItsBrokenPart)
{
    const test_loop loop;
    answering_server server(loop.base(),
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n");
    http_client client(loop.base());
    watched_call call;
    call_http streamed = makeCall(server.where());
    streamed.streamed = true;
    client.start(streamed, call.listener());
    ASSERT_TRUE(loop.runUntil([&] { return call.streamed == "whole"; }));
    server.server().writeToAll("6\r\nbrokenXX4\r\nevil\r\n0\r\n\r\n");
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::malformed);
    EXPECT_EQ(call.streamed, "whole");
}

// A server may answer before it has read the whole request.
TEST(malformed_answers, earlyAnswerIsTakenAndTheNextRequestIsApart)
{
    const test_loop loop;
    int answers = 0;
    raw_server server(loop.base(), [&](bufferevent *connection, const std::string &bytes) {
        if (bytes.starts_with("POST")) {
            ++answers;
            bufferevent_write(connection, kSoundAnswer.data(), kSoundAnswer.size());
        }
    });
    http_client client(loop.base());
    for (int i = 1; i <= 2; ++i) {
        watched_call call;
        call_http large = makeCall(server.where());
        large.body = std::string(8 * 1024 * 1024, 'x');
        client.start(large, call.listener());
        ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
        EXPECT_EQ(call.finished->outcome, transfer_outcome::complete);
        EXPECT_EQ(call.finished->body, "ok");
        EXPECT_EQ(answers, i);
    }
}

// A call whose connection fails at once was reported while it was being started.
TEST(malformed_answers, callWithoutAConnectionIsReportedFromTheLoop)
{
    const test_loop loop;
    http_client client(loop.base());
    watched_call call;
    client.start(makeCall({"no address", 1}), call.listener());
    EXPECT_FALSE(call.finished.has_value());
    ASSERT_TRUE(loop.runUntil([&] { return call.finished.has_value(); }));
    EXPECT_EQ(call.finished->outcome, transfer_outcome::nothing_sent);
}

} // namespace jacinthvale
