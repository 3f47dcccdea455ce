#include "ctl_client.h"

#include <event2/event.h>
#include <event2/http.h>

namespace jacinthvale {

ctl_client::ctl_client(std::string token, milliseconds timeout)
    : m_token(std::move(token))
    , m_timeout(timeout)
    , m_base(event_base_new())
    , m_client(std::make_unique<http_client>(m_base))
{}

ctl_client::~ctl_client()
{
    m_client.reset();
    event_base_free(m_base);
}

ctl_answer ctl_client::get(const endpoint &daemon, const std::string &path)
{
    return getAll({daemon}, path).front();
}

ctl_answer ctl_client::post(const endpoint &daemon, const std::string &path, const nlohmann::json &body)
{
    call_http call = makeCall(daemon, "POST", path);
    call.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    ctl_answer answer;
    start(call, answer);
    finish();
    return answer;
}

std::vector<ctl_answer> ctl_client::getAll(const std::vector<endpoint> &daemons, const std::string &path)
{
    std::vector<ctl_answer> answers(daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        start(makeCall(daemons[i], "GET", path), answers[i]);
    }
    finish();
    return answers;
}

call_http ctl_client::makeCall(const endpoint &daemon, const std::string &method,
                               const std::string &path) const
{
    call_http call;
    call.target = daemon;
    call.method = method;
    call.path = path;
    call.connectTimeout = m_timeout;
    call.progressTimeout = m_timeout;
    call.freshConnection = true;
    call.headers["Content-Type"] = "application/json";
    if (!m_token.empty()) {
        call.headers["Authorization"] = "Bearer " + m_token;
    }
    return call;
}

void ctl_client::start(const call_http &call, ctl_answer &answer)
{
    answer.daemon = call.target;
    ++m_running;
    http_call_listener listener;
    listener.onFinished = [this, &answer](const http_call_finished &result) {
        answer.outcome = result.outcome;
        answer.status = result.status;
        nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
        if (body.is_object()) {
            answer.body = std::move(body);
        }
        --m_running;
        event_base_loopbreak(m_base);
    };
    m_client->start(call, std::move(listener));
}

void ctl_client::finish()
{
    while (m_running > 0) {
        event_base_loop(m_base, EVLOOP_ONCE);
    }
    // Closed connections are freed from the loop.
    event_base_loop(m_base, EVLOOP_NONBLOCK);
}

std::string encodeUri(const std::string &text)
{
    char *encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string result(encoded);
    free(encoded);
    return result;
}

} // namespace jacinthvale
