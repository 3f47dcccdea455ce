#include "process_harness.h"

#include <csignal>
#include <event2/event.h>

namespace jacinthvale::testing {

namespace {

constexpr milliseconds kCallTimeout{60'000};
constexpr int kLoopPeriodMicroseconds = 5000;

void wake(evutil_socket_t, short, void *) {}

} // namespace

std::string http_answer::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

nlohmann::json http_answer::json() const
{
    nlohmann::json value = nlohmann::json::parse(body, nullptr, false);
    return value.is_discarded() ? nlohmann::json::object() : value;
}

test_client::test_client()
    : m_base(event_base_new())
    , m_client(std::make_unique<http_client>(m_base))
{
    std::signal(SIGPIPE, SIG_IGN);
}

test_client::~test_client()
{
    m_client.reset();
    event_base_free(m_base);
}

std::size_t test_client::begin(const call_http &what)
{
    m_calls.push_back(std::make_unique<started_call>());
    started_call &started = *m_calls.back();
    http_call_listener listener;
    listener.onHead = [&started](int status, http_headers headers) {
        started.answer.status = status;
        started.answer.headers = std::move(headers);
    };
    listener.onChunk = [&started](const std::string &bytes) { started.answer.body += bytes; };
    listener.onFinished = [&started, streamed = what.streamed](http_call_finished result) {
        started.finished = true;
        started.answer.outcome = result.outcome;
        if (result.status != 0) {
            started.answer.status = result.status;
            started.answer.headers = std::move(result.headers);
        }
        if (!streamed) {
            started.answer.body = std::move(result.body);
        }
    };
    started.handle = m_client->start(what, std::move(listener));
    return m_calls.size() - 1;
}

bool test_client::finished(std::size_t call) const
{
    return m_calls.at(call)->finished;
}

const http_answer &test_client::answerOf(std::size_t call) const
{
    return m_calls.at(call)->answer;
}

void test_client::abandon(std::size_t call)
{
    if (!finished(call)) {
        m_client->cancel(m_calls.at(call)->handle);
        m_calls.at(call)->finished = true;
    }
}

bool test_client::pumpUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        const timeval period{0, kLoopPeriodMicroseconds};
        event_base_once(m_base, -1, EV_TIMEOUT, wake, nullptr, &period);
        event_base_loop(m_base, EVLOOP_ONCE);
    }
    return true;
}

http_answer test_client::call(const call_http &what)
{
    const std::size_t started = begin(what);
    pumpUntil([&] { return finished(started); });
    http_answer answer = answerOf(started);
    abandon(started);
    return answer;
}

http_answer test_client::get(const endpoint &target, const std::string &path, const http_headers &headers)
{
    call_http what;
    what.target = target;
    what.method = "GET";
    what.path = path;
    what.headers = headers;
    what.progressTimeout = kCallTimeout;
    return call(what);
}

http_answer test_client::post(const endpoint &target, const std::string &path, const nlohmann::json &body,
                              const http_headers &headers)
{
    call_http what;
    what.target = target;
    what.path = path;
    what.headers = headers;
    what.headers.emplace("Content-Type", "application/json");
    what.body = body.dump();
    what.progressTimeout = kCallTimeout;
    return call(what);
}

} // namespace jacinthvale::testing
