#include "service_loop.h"

#include <chrono>
#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace jacinthvale::standin {

namespace {

using json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
constexpr std::size_t kMaxBodyBytes = 256 * 1024 * 1024;

void stopLoop(evutil_socket_t, short, void *base)
{
    event_base_loopbreak(static_cast<event_base *>(base));
}

std::uint64_t drawIncarnation()
{
    std::random_device device;
    constexpr int kHalfBits = 31;
    return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

json parseObject(const std::string &text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json::object();
}

service_loop::service_loop()
    : m_base(event_base_new())
    , m_incarnation(drawIncarnation())
    , m_client(std::make_unique<http_client>(m_base))
{
    http_server_limits limits;
    limits.maxBodyBytes = kMaxBodyBytes;
    m_server = std::make_unique<http_server>(
            m_base, limits,
            http_server_listener{[this](http_request_received r) { take(std::move(r)); },
                                 [this](http_exchange_abandoned gone) {
                                     m_open.erase(gone.exchange);
                                     if (m_onAbandoned) {
                                         m_onAbandoned(gone.exchange);
                                     }
                                 }});
    m_control = std::make_unique<http_server>(
            m_base, limits,
            http_server_listener{[this](const http_request_received &r) { control(r); },
                                 [](http_exchange_abandoned) {}});
    onControl("/fault", [this](const json &body, json &answer) { return applyFault(body, answer); });
}

service_loop::~service_loop()
{
    m_server.reset();
    m_control.reset();
    m_client.reset();
    event_base_free(m_base);
}

milliseconds service_loop::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
}

void service_loop::after(milliseconds delay, std::function<void()> action)
{
    // The timer owns itself until it has fired.
    auto holder = std::make_shared<std::unique_ptr<event_timer>>();
    *holder = std::make_unique<event_timer>(m_base, [holder, action = std::move(action)] {
        const std::unique_ptr<event_timer> self = std::move(*holder);
        action();
    });
    (*holder)->start(delay);
}

void service_loop::take(http_request_received request)
{
    const std::string &path = request.path;
    if (m_faults.outage && path.starts_with(m_faults.outagePath)) {
        m_server->reply({request.exchange, kHttpUnavailable, {}, R"({"error":"outage"})"});
        return;
    }
    if (m_faults.refusals > 0 && path.starts_with(m_faults.refusePath)) {
        --m_faults.refusals;
        refuse(request.exchange, kHttpUnavailable, "refused");
        return;
    }
    const bool silent = m_faults.silent && path.starts_with(m_faults.silentPath);
    m_open[request.exchange] = {path, silent};
    if (!silent || m_faults.silentAfterEffect) {
        m_onRequest(request);
    }
}

void service_loop::refuse(exchange_id exchange, int status, const std::string &code)
{
    m_open.erase(exchange);
    m_server->reply({exchange,
                     status,
                     {{"Jacinthvale-Verdict", "not-run"}, {"Retry-After", "1"}},
                     dump({{"error", {{"code", code}, {"verdict", "not-run"}}}})});
}

void service_loop::reply(exchange_id exchange, int status, const json &body, http_headers headers)
{
    replyBytes(exchange, status, dump(body), std::move(headers));
}

void service_loop::replyBytes(exchange_id exchange, int status, std::string body, http_headers headers)
{
    const auto open = m_open.find(exchange);
    if (open == m_open.end() || open->second.neverAnswered) {
        return;
    }
    const std::string path = open->second.path;
    m_open.erase(open);
    if (m_faults.droppedAnswers > 0 && path.starts_with(m_faults.dropPath)) {
        --m_faults.droppedAnswers;
        m_server->end({exchange, true});
        return;
    }
    if (m_faults.slow.count() > 0 && path.starts_with(m_faults.slowPath)) {
        after(m_faults.slow, [this, exchange, status, headers = std::move(headers), body = std::move(body)] {
            send(exchange, status, headers, body);
        });
        return;
    }
    send(exchange, status, headers, body);
}

void service_loop::send(exchange_id exchange, int status, const http_headers &headers,
                        const std::string &body)
{
    m_server->reply({exchange, status, headers, body});
}

void service_loop::control(const http_request_received &request)
{
    json answer = json::object();
    int status = kHttpNotFound;
    const auto found = m_controls.find(request.path);
    if (found != m_controls.end()) {
        json body = parseObject(request.body);
        for (const auto &[key, value] : request.query) {
            body[key] = value;
        }
        try {
            status = found->second(body, answer);
        } catch (const json::exception &problem) {
            status = kHttpBadRequest;
            answer["error"] = problem.what();
        }
    }
    m_control->reply({request.exchange, status, {}, dump(answer)});
}

int service_loop::applyFault(const json &body, json &answer)
{
    const std::string kind = body.value("kind", "");
    const std::string path = body.value("path", "");
    if (kind == "clear") {
        m_faults = {};
    } else if (kind == "outage") {
        m_faults.outage = body.value("on", true);
        m_faults.outagePath = path;
    } else if (kind == "refuse") {
        m_faults.refusals = body.value("count", 1);
        m_faults.refusePath = path;
    } else if (kind == "slow") {
        m_faults.slow = milliseconds{body.value("ms", 0)};
        m_faults.slowPath = path;
    } else if (kind == "drop_answer") {
        m_faults.droppedAnswers = body.value("count", 1);
        m_faults.dropPath = path;
    } else if (kind == "silent") {
        m_faults.silent = body.value("on", true);
        m_faults.silentAfterEffect = body.value("afterEffect", false);
        m_faults.silentPath = path;
    } else if (m_faultKinds.contains(kind)) {
        return m_faultKinds.at(kind)(body, answer);
    } else {
        answer["error"] = "unknown kind";
        return kHttpBadRequest;
    }
    return kHttpOk;
}

void service_loop::announce() const
{
    std::cout << json{{"what", "listening"},
                      {"http", m_httpAddress},
                      {"control", m_controlAddress},
                      {"incarnation", m_incarnation}}
                         .dump()
              << std::endl;
}

int service_loop::run(const std::string &httpAddress, const std::string &controlAddress)
{
    std::signal(SIGPIPE, SIG_IGN);
    endpoint http = parseEndpoint(httpAddress);
    endpoint controlPort = parseEndpoint(controlAddress);
    if (const absl::Status status = m_server->listen(http); !status.ok()) {
        std::cerr << status << '\n';
        return 1;
    }
    if (const absl::Status status = m_control->listen(controlPort); !status.ok()) {
        std::cerr << status << '\n';
        return 1;
    }
    http.port = m_server->port();
    controlPort.port = m_control->port();
    m_httpAddress = toString(http);
    m_controlAddress = toString(controlPort);
    ::event *onTerm = evsignal_new(m_base, SIGTERM, stopLoop, m_base);
    ::event *onInt = evsignal_new(m_base, SIGINT, stopLoop, m_base);
    evsignal_add(onTerm, nullptr);
    evsignal_add(onInt, nullptr);
    announce();
    event_base_dispatch(m_base);
    event_free(onTerm);
    event_free(onInt);
    return 0;
}

} // namespace jacinthvale::standin
