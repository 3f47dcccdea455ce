#include "daemon.h"

#include "log.h"
#include "overloaded.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kMillisecondsPerSecond = 1000;
constexpr int kMicrosecondsPerMillisecond = 1000;
constexpr std::int64_t kLinesPerKindPerSecond = 5;

std::uint64_t drawIncarnation()
{
    std::random_device device;
    constexpr int kHalfBits = 32;
    return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

} // namespace

/// Performs one effect each.
struct daemon::performer
{
    daemon &self;

    void operator()(const start_timer &e) const
    {
        auto &timer = self.m_timers[e.operation];
        if (timer == nullptr) {
            timer = std::make_unique<event_timer>(self.m_base, [owner = &self, operation = e.operation] {
                owner->m_timers.erase(operation);
                owner->post(timer_fired{operation});
            });
        }
        timer->start(e.after);
    }
    void operator()(const cancel_timer &e) const { self.m_timers.erase(e.operation); }
    void operator()(const call_http &e) const { self.startCall(e); }
    void operator()(const cancel_http &e) const
    {
        const auto found = self.m_calls.find(e.operation);
        if (found != self.m_calls.end()) {
            self.m_client->cancel(found->second);
            self.m_calls.erase(found);
        }
    }
    void operator()(const reply_http &e) const { self.m_server->reply(e); }
    void operator()(const begin_reply &e) const { self.m_server->begin(e); }
    void operator()(const reply_chunk &e) const { self.m_server->chunk(e); }
    void operator()(const end_reply &e) const { self.m_server->end(e); }
    void operator()(const call_store &e) const
    {
        self.performStore(self.m_store.submit(e, self.makeContext()));
    }
    void operator()(const send_peer &e) const { self.sendPeer(e); }
    void operator()(const record_entry &e) const { self.record(e); }
    void operator()(const count_metric &e) const { self.m_metrics.count(e.name, e.amount); }
    void operator()(const gauge_metric &e) const { self.m_metrics.setGauge(e.name, e.value); }
    void operator()(const observe_metric &e) const { self.m_metrics.observe(e.name, e.value); }
    void operator()(const raise_domain_event &) const {}
    void operator()(const set_ready &e) const
    {
        if (e.ready) {
            self.m_notReady.erase(e.source);
        } else {
            self.m_notReady[e.source] = e.reason;
        }
    }
    void operator()(const exit_process &e) const
    {
        self.m_exiting = true;
        self.m_exitCode = e.code;
    }
};

daemon::daemon(process_settings settings)
    : m_settings(std::move(settings))
    , m_base(event_base_new())
    , m_startedAt(std::chrono::steady_clock::now())
    , m_random(drawIncarnation())
    , m_timeline(static_cast<std::size_t>(m_settings.timelineEntries))
    , m_guard(m_base,
              budgetFor(static_cast<double>(m_settings.memoryMb),
                        static_cast<std::size_t>(m_settings.maxConnections)),
              [this](const std::string &listener, std::string_view reason) { onEnded(listener, reason); })
    , m_logLimiter(kLinesPerKindPerSecond)
{
    m_settings.identity.incarnation = {drawIncarnation()};
    m_client = std::make_unique<http_client>(
            m_base, m_guard, http_client_limits{},
            [this](const endpoint &sender, const answer_fault &fault) { onFault(sender, fault); },
            [this](const endpoint &target, const std::string &field) {
                m_metrics.count(invalidRequestsMetric(field), 1);
                writeLimitedLine("request-invalid", toString(target),
                                 absl::StrCat(field, " cannot be written as HTTP; not sent"));
            });
    http_server_limits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(m_settings.maxBodyBytes);
    limits.refusalHeaders = {{"Jacinthvale-Verdict", std::string(toString(verdict::not_run))}};
    m_server = std::make_unique<http_server>(
            m_base, m_guard, "http", limits,
            http_server_listener{[this](http_request_received e) { onRequest(std::move(e)); },
                                 [this](http_exchange_abandoned e) { post(e); }});
    m_peers = std::make_unique<peer_socket>(
            m_base, m_guard,
            peer_transport_listener{[this](const std::string &bytes) { onPeerBytes(bytes); },
                                    [this](const std::string &name) { m_metrics.count(name, 1); }});
    m_graceTimer = std::make_unique<event_timer>(m_base, [this] { post(shutdown_requested{}); });
    m_queueEvent = event_new(m_base, -1, EV_PERSIST, &daemon::queueReady, this);
    m_tickEvent = event_new(m_base, -1, EV_PERSIST, &daemon::tickReady, this);
    m_termEvent = evsignal_new(m_base, SIGTERM, &daemon::stopSignalled, this);
    m_intEvent = evsignal_new(m_base, SIGINT, &daemon::stopSignalled, this);
}

daemon::~daemon()
{
    m_timers.clear();
    m_graceTimer.reset();
    m_server.reset();
    m_client.reset();
    m_peers.reset();
    for (::event *one : {m_queueEvent, m_tickEvent, m_termEvent, m_intEvent}) {
        event_free(one);
    }
    event_base_free(m_base);
}

absl::Status daemon::start()
{
    if (absl::Status status = m_server->listen(m_settings.identity.http); !status.ok()) {
        return status;
    }
    if (absl::Status status = m_peers->listen(m_settings.identity.peer); !status.ok()) {
        return status;
    }
    m_settings.identity.http.port = m_server->port();
    m_settings.identity.peer.port = m_peers->port();
    m_state = makeDaemonState(m_settings.identity);
    const timeval period{0, static_cast<suseconds_t>(kTickPeriod.count() * kMicrosecondsPerMillisecond)};
    event_add(m_tickEvent, &period);
    evsignal_add(m_termEvent, nullptr);
    evsignal_add(m_intEvent, nullptr);
    announce();
    post(process_started{m_settings.identity.incarnation});
    return absl::OkStatus();
}

/// Tells whoever started the process which ports the system chose.
void daemon::announce() const
{
    const process_identity &self = m_settings.identity;
    const nlohmann::json line
            = {{"what", "listening"}, {"http", toString(self.http)}, {"peer", toString(self.peer)}};
    std::cout << line.dump() << std::endl;
}

int daemon::run()
{
    event_base_dispatch(m_base);
    return m_exitCode;
}

context daemon::makeContext()
{
    const auto sinceStart = std::chrono::steady_clock::now() - m_startedAt;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {instant{std::chrono::duration_cast<milliseconds>(sinceStart)},
            wall_time{std::chrono::duration_cast<milliseconds>(wall)}, m_random()};
}

void daemon::post(event what)
{
    m_queue.push_back(std::move(what));
    event_active(m_queueEvent, EV_TIMEOUT, 1);
}

void daemon::queueReady(evutil_socket_t, short, void *self)
{
    static_cast<daemon *>(self)->processQueue();
}

void daemon::processQueue()
{
    // Only what is queued now: sockets get their turn between batches.
    std::size_t count = m_queue.size();
    while (count-- > 0) {
        const event next = std::move(m_queue.front());
        m_queue.pop_front();
        effects produced = reduce(m_state, next, makeContext());
        for (effect &one : produced) {
            perform(one);
        }
    }
    if (!m_queue.empty()) {
        event_active(m_queueEvent, EV_TIMEOUT, 1);
    }
    finishStop();
}

void daemon::perform(effect &what)
{
    std::visit(performer{*this}, what);
}

void daemon::tickReady(evutil_socket_t, short, void *self)
{
    auto *owner = static_cast<daemon *>(self);
    owner->performStore(owner->m_store.advance(owner->makeContext()));
    owner->post(tick{});
}

void daemon::stopSignalled(evutil_socket_t, short, void *self)
{
    static_cast<daemon *>(self)->beginStop();
}

/// Readiness goes off first; work is refused once the balancer has had time to see it.
void daemon::beginStop()
{
    if (m_stopRequested) {
        return;
    }
    m_stopRequested = true;
    record({"stop-requested", m_settings.identity.host.value, ""});
    m_graceTimer->start(m_settings.balancerGrace);
}

void daemon::finishStop()
{
    if (m_exiting && m_server->openExchanges() == 0 && !m_server->hasUnsentBytes()) {
        event_base_loopbreak(m_base);
    }
}

void daemon::onEnded(const std::string &listener, std::string_view reason)
{
    m_metrics.count(absl::StrCat("connections_ended_total{listener=\"", listener, "\",reason=\"",
                                 std::string(reason), "\"}"),
                    1);
    writeLimitedLine("connection-ended", listener, reason);
}

void daemon::onFault(const endpoint &sender, const answer_fault &fault)
{
    m_metrics.count(malformedAnswersMetric(fault), 1);
    writeLimitedLine("answer-malformed", toString(sender),
                     absl::StrCat(std::string(fault.rule), " at byte ", fault.offset));
}

void daemon::writeLimitedLine(const std::string &what, const std::string &subject, std::string_view detail)
{
    const auto leftOut = m_logLimiter.admit(what, makeContext().now);
    if (!leftOut || m_settings.logLevel == "off") {
        return;
    }
    writeLogLine(
            nlohmann::json{{"what", what}, {"subject", subject}, {"detail", detail}, {"leftOut", *leftOut}}
                    .dump());
}

void daemon::onPeerBytes(const std::string &bytes)
{
    absl::StatusOr<peer_envelope> envelope = decodePeerMessage(bytes, m_settings.fleetKey);
    if (!envelope.ok()) {
        m_metrics.count(absl::IsUnauthenticated(envelope.status()) ? "peer_messages_unauthenticated_total"
                                                                   : "peer_messages_malformed_total",
                        1);
        return;
    }
    m_metrics.count("peer_bytes_received_total", static_cast<double>(bytes.size()));
    m_clock.observe(envelope->sentAt, makeContext().wallNow);
    post(peer_message_received{envelope->target, envelope->sender, envelope->senderIncarnation,
                               envelope->replyTo, std::move(envelope->payload)});
}

void daemon::sendPeer(const send_peer &message)
{
    const process_identity &self = m_settings.identity;
    const std::string bytes
            = encodePeerMessage({self.host, self.incarnation, self.peer, m_clock.next(makeContext().wallNow),
                                 message.targetDomain, message.payload},
                                m_settings.fleetKey);
    m_metrics.count("peer_bytes_sent_total", static_cast<double>(bytes.size()));
    m_peers->send(message.target, message.transport, bytes);
}

void daemon::startCall(const call_http &call)
{
    const operation_id operation = call.operation;
    // Domains keep what they get of a stream until it ends.
    const auto received = std::make_shared<std::size_t>(0);
    http_call_listener listener;
    listener.onHead = [this, operation](int status, http_headers headers) {
        post(http_response_head{operation, status, std::move(headers)});
    };
    listener.onChunk = [this, operation, received](std::string bytes) {
        *received += bytes.size();
        post(http_response_chunk{operation, std::move(bytes)});
    };
    listener.onFinished = [this, operation](http_call_finished result) {
        m_calls.erase(operation);
        post(std::move(result));
    };
    listener.heldBytes = [received] { return *received; };
    m_calls[operation] = m_client->start(call, std::move(listener));
}

void daemon::performStore(std::vector<store_action> actions)
{
    for (store_action &action : actions) {
        std::visit(overloaded{[&](const store_attempt &attempt) { startStoreAttempt(attempt); },
                              [&](store_call_finished &answered) { post(std::move(answered)); }},
                   action);
    }
}

void daemon::startStoreAttempt(const store_attempt &attempt)
{
    m_metrics.count("store_attempts_total", 1);
    call_http call;
    call.target = m_settings.identity.platform;
    call.method = attempt.method;
    call.path = attempt.path;
    call.body = attempt.body;
    call.connectTimeout = attempt.timeout;
    call.progressTimeout = attempt.timeout;
    http_call_listener listener;
    listener.onFinished = [this, id = attempt.id](const http_call_finished &result) {
        performStore(m_store.finished(id, result, makeContext()));
    };
    m_client->start(call, std::move(listener));
}

void daemon::record(const record_entry &entry)
{
    const process_identity &self = m_settings.identity;
    const timeline_entry &stored = m_timeline.append({m_clock.next(makeContext().wallNow), 0, self.host,
                                                      std::string(toString(self.role)), self.incarnation,
                                                      entry.eventName, entry.subject, entry.detail});
    if (m_settings.logLevel != "off") {
        writeLogLine(toJson(stored));
    }
}

} // namespace jacinthvale
