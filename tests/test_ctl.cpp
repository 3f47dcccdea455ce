// The operators' command line: values, scopes, exit codes, differences and merged time lines.
#include "ctl_commands.h"
#include "ctl_output.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace jacinthvale;
using nlohmann::json;

namespace {

ctl_answer answerWith(int status, json body)
{
    ctl_answer answer;
    answer.outcome = transfer_outcome::complete;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

json entryAt(std::int64_t ms, std::int64_t counter, const std::string &host, const std::string &what)
{
    return {{"ms", ms},         {"counter", counter}, {"host", host},
            {"incarnation", 1}, {"sequence", 1},      {"what", what}};
}

/// Daemon that answers one request with some bytes, on a thread of its own.
class answering_daemon
{
public:
    explicit answering_daemon(std::string answer)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(m_listener, 1), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, answer = std::move(answer)] {
            const int connection = ::accept(m_listener, nullptr, nullptr);
            char byte = 0;
            ::recv(connection, &byte, 1, 0);
            ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            while (::recv(connection, &byte, 1, 0) > 0) {
            }
            ::close(connection);
        });
    }
    ~answering_daemon()
    {
        m_thread.join();
        ::close(m_listener);
    }
    answering_daemon(const answering_daemon &) = delete;
    answering_daemon &operator=(const answering_daemon &) = delete;

    endpoint where() const { return {"127.0.0.1", m_port}; }

private:
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

ctl_answer answerOf(const std::string &head)
{
    const answering_daemon daemon(head + "\r\nContent-Length: 17\r\n\r\n{\"result\":\"done\"}");
    ctl_client client("", milliseconds{20'000});
    return client.get(daemon.where(), "/v1/status");
}

} // namespace

TEST(ctl, takesNoBrokenAnswerOfADaemon)
{
    EXPECT_EQ(answerOf("HTTP/1.1 200 OK").body.value("result", ""), "done");
    for (const char *head :
         {"HTTP/1.1 000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200 OK\r\nX A: 1", "HTTP/1.1 200 OK\r\nX\x01: 1"}) {
        const ctl_answer answer = answerOf(head);
        EXPECT_EQ(answer.outcome, transfer_outcome::malformed) << head;
        EXPECT_TRUE(answer.body.empty()) << head;
    }
}

TEST(ctl, readsValuesAndScopes)
{
    EXPECT_EQ(parseValue("true"), json(true));
    EXPECT_EQ(parseValue("12"), json(12));
    EXPECT_EQ(parseValue("12 s"), json("12 s"));
    std::string problem;
    EXPECT_EQ(parseScope("trainer=t,upstream=u", problem), (json{{"trainer", "t"}, {"upstream", "u"}}));
    EXPECT_EQ(problem, "");
    parseScope("planet=mars", problem);
    EXPECT_NE(problem, "");
}

TEST(ctl, tellsOutcomesApartByExitCode)
{
    EXPECT_EQ(exitOf(answerWith(200, {{"result", "accepted"}})), ctl_exit::done);
    EXPECT_EQ(exitOf(answerWith(400, {{"result", "refused"}})), ctl_exit::refused);
    EXPECT_EQ(exitOf(answerWith(401, json::object())), ctl_exit::refused);
    EXPECT_EQ(exitOf(answerWith(409, {{"result", "conflict"}})), ctl_exit::conflict);
    EXPECT_EQ(exitOf(answerWith(504, {{"result", "unknown"}})), ctl_exit::unknown);
    EXPECT_EQ(exitOf({}), ctl_exit::failed);
}

TEST(ctl, mergesTimeLinesInCausalOrderAndNamesGaps)
{
    const ctl_answer first
            = answerWith(200, {{"host", "a"},
                               {"lost", 3},
                               {"entries", {entryAt(5, 0, "a", "sent"), entryAt(9, 0, "a", "end")}}});
    const ctl_answer second
            = answerWith(200, {{"host", "b"}, {"lost", 0}, {"entries", {entryAt(5, 1, "b", "received")}}});
    const merged_timeline merged = mergeTimelines({first, second, {}});
    ASSERT_EQ(merged.entries.size(), 3U);
    EXPECT_EQ(merged.entries[1]["what"], "received");
    EXPECT_EQ(merged.gaps.size(), 2U);
}

TEST(ctl, comparesDocuments)
{
    const json before = {{"defaults", {{"a", 1}, {"b", 2}}}};
    const json after = {
            {"defaults", {{"a", 1}, {"b", 3}}},
            {"exceptions", {{{"key", "a"}, {"scope", {{"trainer", "t"}}}, {"value", 4}, {"reason", "r"}}}}};
    const auto differences = compareDocuments(before, after);
    ASSERT_EQ(differences.size(), 2U);
    EXPECT_EQ(differences[1], (config_difference{"b", "2", "3"}));
}
