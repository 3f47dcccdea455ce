#include "node_runtime.h"

#include "json_tree.h"
#include "log.h"
#include "node_pack.h"
#include "node_relay.h"
#include "node_step.h"
#include "node_upstream_delta_message.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <ctime>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

namespace jacinthvale::node {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;

/// Time for which idle connections to upstreams are kept: opening a connection costs more than a
/// request, and a stale one fails with a reset before the request runs.
constexpr milliseconds kIdleConnectionAge{20'000};

/// Maximum size of an answer, so that a few endless ones do not exceed the memory of a small host.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;

/// Interval at which a stopping process checks whether all replies are sent.
constexpr milliseconds kShutdownPollInterval{20};

/// Allowance for the request line, which the configured limit of headers does not count.
constexpr std::size_t kRequestLineBytes = 4096;

/// The entry server and the peer server number their exchanges independently; the reducer knows those of the
/// peer server by this bit.
constexpr std::uint64_t kPeerExchangeBit = std::uint64_t{1} << 63;

exchange_id peerExchange(exchange_id exchange)
{
    return {exchange.value | kPeerExchangeBit};
}

http_client_limits clientLimits()
{
    http_client_limits limits;
    limits.maxIdleAge = kIdleConnectionAge;
    limits.maxBodyBytes = kMaxAnswerBytes;
    return limits;
}

} // namespace

/// Visitor that executes one effect.
struct node_runtime::effect_executor
{
    node_runtime &self;

    void operator()(const read_rows &read) const { self.startStore(read, kStoreReadDeadline); }
    void operator()(const read_changes &read) const { self.startStore(read, kStoreReadDeadline); }
    void operator()(const commit_rows &commit) const { self.startStore(commit, commit.deadline); }
    void operator()(const run_item &run) const { self.m_outgoing->start(run); }
    void operator()(const forward_call &forward) const { self.m_outgoing->start(forward); }
    void operator()(const forward_stream &forward) const { self.m_outgoing->start(forward); }
    void operator()(const relay_call &relayed) const { self.m_outgoing->start(relayed); }
    void operator()(const begin_stream &begun) const
    {
        const auto [server, exchange] = self.serverOf(begun.exchange);
        begin_reply head{exchange, kOk, begun.headers};
        if (self.m_stopping) {
            head.headers["Connection"] = "close";
        }
        server->begin(head);
    }
    void operator()(const send_stream &sent) const
    {
        const auto [server, exchange] = self.serverOf(sent.exchange);
        server->chunk({exchange, sent.bytes});
    }
    void operator()(const end_stream &ended) const
    {
        const auto [server, exchange] = self.serverOf(ended.exchange);
        server->end({exchange, !ended.complete});
    }
    void operator()(const share_stream_origin &shared) const { self.m_outgoing->start(shared); }
    void operator()(const find_stream_origin &wanted) const { self.m_outgoing->start(wanted); }
    void operator()(const answer_stream_origin &answer) const
    {
        self.m_peerServer->reply({answer.exchange, kOk, {}, pack(answer.origin)});
    }
    void operator()(const cancel_call &cancelled) const { self.m_outgoing->cancel(cancelled.op); }
    void operator()(const request_upstream_status &query) const { self.m_outgoing->start(query); }
    void operator()(const order_weights &order) const { self.m_outgoing->start(order); }
    void operator()(const call_duty &duty) const
    {
        if (self.now() > duty.sendBy) {
            // Reported from the loop like every other end.
            self.post(call_ended{duty.op, call_end::unreachable, 0, {}, {}});
            return;
        }
        self.m_outgoing->start(duty, self.m_settings.duties);
    }
    void operator()(const request_upstream_delta &request) const { self.m_outgoing->start(request); }
    void operator()(const answer_upstream_delta &answer) const
    {
        self.m_peerServer->reply(upstreamDeltaReply(answer.exchange, answer.delta));
    }
    void operator()(const answer_call &answer) const
    {
        const auto [server, exchange] = self.serverOf(answer.exchange);
        if (server == self.m_peerServer.get()) {
            server->reply(relayedReply(exchange, {true, answer.status, answer.headers, answer.body}));
            return;
        }
        self.reply(self.m_port->encodeReply(answer));
    }
    void operator()(const refuse_call &answer) const
    {
        const auto [server, exchange] = self.serverOf(answer.exchange);
        if (server == self.m_peerServer.get()) {
            server->reply(relayedReply(exchange, {false, 0, {}, {}, answer.reason, self.m_state.path.lost}));
            return;
        }
        self.reply(self.m_port->encodeReply(answer));
    }
    void operator()(const accept_batch &answer) const { self.reply(self.m_port->encodeReply(answer)); }
    void operator()(const answer_page &answer) const { self.reply(self.m_port->encodeReply(answer)); }
    void operator()(const answer_item &answer) const { self.reply(self.m_port->encodeReply(answer)); }
    void operator()(const answer_batch_ended &answer) const { self.reply(self.m_port->encodeReply(answer)); }
    void operator()(const end_answer &ended) const { self.m_entryServer->drop(ended.exchange); }
    void operator()(const set_readiness &readiness) const { self.m_ready = readiness.ready; }
    void operator()(const set_relays &relays) const { self.m_store->setPeers(relays.peers); }
    void operator()(const log_decision &entry) const { self.writeLog(entry); }
    void operator()(const count &counted) const { self.m_metrics.count(counted.name, counted.amount); }
    void operator()(const observe &observed) const { self.m_metrics.observe(observed.name, observed.value); }
    void operator()(const gauge &set) const { self.m_metrics.setGauge(set.name, set.value); }
    void operator()(const end_process &) const { self.exitWhenDrained(); }
};

node_runtime::node_runtime(node_settings settings, std::unique_ptr<wire_port> port)
    : m_settings(std::move(settings))
    , m_port(std::move(port))
    , m_base(event_base_new())
    , m_random(std::random_device{}())
    , m_state(makeNodeState(m_settings.identity))
    , m_logLimiter(m_settings.logLinesPerKind)
    , m_guard(m_base, budgetFor(m_settings.memoryMb, m_settings.maxConnections),
              [this](const std::string &listener, std::string_view reason) {
                  writeLog({"connection-ended", listener, std::string(reason)});
                  m_metrics.count(absl::StrCat("connections_ended_total{listener=\"", listener,
                                               "\",reason=\"", std::string(reason), "\"}"),
                                  1);
              })
    , m_client(std::make_unique<http_client>(
              m_base, m_guard, clientLimits(),
              [this](const endpoint &sender, const answer_fault &fault) { reportFault(sender, fault); },
              [this](const endpoint &target, const std::string &field) {
                  writeLog({"request-invalid", toString(target),
                            field + " cannot be written as HTTP; not sent"});
                  m_metrics.count(invalidRequestsMetric(field), 1);
              }))
    , m_outgoing(std::make_unique<outgoing_calls>(
              *m_client, *m_port,
              outgoing_call_listener{
                      [this](event incoming) { post(std::move(incoming)); },
                      [this](op_id op, const upstream_id &sender, int status, const http_headers &headers) {
                          readNotices(op, sender, status, headers);
                      }}))
    , m_store(std::make_unique<store_link>(m_base, *m_client, m_settings.platform, [this] { return now(); }))
    , m_tickTimer(std::make_unique<event_timer>(m_base,
                                                [this] {
                                                    m_tickTimer->start(kTickPeriod);
                                                    post(tick{});
                                                    measureAnswers();
                                                }))
    , m_shutdownTimer(std::make_unique<event_timer>(m_base, [this] { exitWhenDrained(); }))
{
    m_queueEvent = event_new(m_base, -1, 0, &node_runtime::onQueueReady, this);
    m_termEvent = evsignal_new(m_base, SIGTERM, &node_runtime::onStopSignal, this);
    m_intEvent = evsignal_new(m_base, SIGINT, &node_runtime::onStopSignal, this);
    m_hupEvent = evsignal_new(m_base, SIGHUP, &node_runtime::onReloadSignal, this);
}

node_runtime::~node_runtime()
{
    m_outgoing.reset();
    m_entryServer.reset();
    m_readinessServer.reset();
    m_peerServer.reset();
    m_metricsServer.reset();
    m_store.reset();
    m_client.reset();
    m_tickTimer.reset();
    m_shutdownTimer.reset();
    for (::event *registered : {m_queueEvent, m_termEvent, m_intEvent, m_hupEvent}) {
        event_free(registered);
    }
    event_base_free(m_base);
}

instant node_runtime::now() const
{
    // CLOCK_BOOTTIME includes the time while the host was suspended, so that state from before a suspension
    // counts as that old.
    constexpr std::int64_t kMillisecondsPerSecond = 1000;
    constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{
            milliseconds{time.tv_sec * kMillisecondsPerSecond + time.tv_nsec / kNanosecondsPerMillisecond}};
}

wall_time node_runtime::wallNow()
{
    return wall_time{
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())};
}

http_server_limits node_runtime::serverLimits() const
{
    http_server_limits limits;
    limits.maxHeaderBytes = m_settings.maxHeaderBytes;
    limits.maxBodyBytes = m_settings.maxBodyBytes;
    return limits;
}

http_server_limits node_runtime::callerLimits() const
{
    http_server_limits limits = serverLimits();
    const route_table &config = m_state.config;
    if (config.maxHeaderBytes != 0) {
        limits.maxHeaderBytes = std::min(limits.maxHeaderBytes, config.maxHeaderBytes + kRequestLineBytes);
    }
    if (config.maxBodyBytes != 0) {
        limits.maxBodyBytes = std::min(limits.maxBodyBytes, config.maxBodyBytes);
    }
    if (config.headerTimeout.count() != 0) {
        limits.times.head = config.headerTimeout;
    }
    if (config.idleTimeout.count() != 0) {
        limits.times.idle = config.idleTimeout;
    }
    return limits;
}

void node_runtime::reportFault(const endpoint &sender, const answer_fault &fault)
{
    writeLog({"answer-malformed",
              toString(sender),
              std::string(fault.rule),
              {{"offset", static_cast<std::int64_t>(fault.offset)}}});
    m_metrics.count(malformedAnswersMetric(fault), 1);
}

std::string node_runtime::renderMetrics()
{
    m_metrics.setGauge("connections", static_cast<double>(m_guard.connections()));
    m_metrics.setGauge("connection_bytes", static_cast<double>(m_guard.usedBytes()));
    return m_metrics.render();
}

std::unique_ptr<http_server> node_runtime::listen(const endpoint &address, const std::string &name,
                                                  std::function<void(http_request_received)> onRequest,
                                                  std::function<void(http_exchange_abandoned)> onAbandoned,
                                                  absl::Status &status)
{
    auto server = std::make_unique<http_server>(
            m_base, m_guard, name, serverLimits(),
            http_server_listener{std::move(onRequest), std::move(onAbandoned)});
    status.Update(server->listen(address));
    return server;
}

absl::Status node_runtime::start()
{
    signal(SIGPIPE, SIG_IGN);
    absl::Status status;
    const auto ignoreAbandoned = [](const http_exchange_abandoned &) {};
    m_entryServer = listen(
            m_settings.entry, "entry",
            [this](const http_request_received &request) { onEntryRequest(request); },
            [this](const http_exchange_abandoned &abandoned) {
                post(caller_disconnected{abandoned.exchange});
            },
            status);
    m_readinessServer = listen(
            m_settings.readiness, "readiness",
            [this](const http_request_received &request) {
                m_readinessServer->reply({request.exchange, m_ready ? kOk : kUnavailable, {}, {}});
            },
            ignoreAbandoned, status);
    m_peerServer = listen(
            m_settings.identity.peer, "peer",
            [this](const http_request_received &request) { onPeerRequest(request); },
            [this](const http_exchange_abandoned &abandoned) {
                post(caller_disconnected{peerExchange(abandoned.exchange)});
            },
            status);
    m_metricsServer = listen(
            m_settings.metrics, "metrics",
            [this](const http_request_received &request) {
                m_metricsServer->reply(
                        {request.exchange, kOk, {{"Content-Type", "text/plain"}}, renderMetrics()});
            },
            ignoreAbandoned, status);
    if (!status.ok()) {
        return status;
    }
    for (::event *registered : {m_termEvent, m_intEvent, m_hupEvent}) {
        event_add(registered, nullptr);
    }
    m_tickTimer->start(kTickPeriod);
    const incarnation_id incarnation{m_random()};
    writeLog({"start", m_settings.identity.host.value, absl::StrCat("incarnation ", incarnation.value)});
    post(started{incarnation});
    return absl::OkStatus();
}

int node_runtime::run()
{
    event_base_dispatch(m_base);
    return 0;
}

void node_runtime::post(event incoming)
{
    m_queue.push_back(std::move(incoming));
    event_active(m_queueEvent, 0, 0);
}

void node_runtime::onQueueReady(evutil_socket_t, short, void *self)
{
    static_cast<node_runtime *>(self)->processQueue();
}

void node_runtime::measureAnswers()
{
    const std::size_t budget = m_settings.identity.answerMemory;
    if (budget == 0 || !m_entryServer) {
        return;
    }
    std::size_t held = 0;
    answers_unread measured;
    for (const auto &answer : m_entryServer->unsentAnswers()) {
        held += answer.bytes;
        measured.answers.push_back({answer.exchange, answer.bytes, answer.repeatable});
    }
    if (held > budget / 2) {
        post(std::move(measured));
    }
}

void node_runtime::processQueue()
{
    while (!m_queue.empty()) {
        const event incoming = std::move(m_queue.front());
        m_queue.pop_front();
        const context ctx{now(), wallNow(), m_random()};
        for (const effect &requested : reduce(m_state, incoming, ctx)) {
            std::visit(effect_executor{*this}, requested);
        }
    }
    if (m_state.config.version != m_limitsVersion) {
        m_limitsVersion = m_state.config.version;
        m_entryServer->setLimits(callerLimits());
    }
}

void node_runtime::onStopSignal(evutil_socket_t, short, void *self)
{
    auto *runtime = static_cast<node_runtime *>(self);
    runtime->m_stopping = true;
    runtime->post(stop_requested{});
}

void node_runtime::onReloadSignal(evutil_socket_t, short, void *self)
{
    auto *runtime = static_cast<node_runtime *>(self);
    runtime->writeLog({"reload", runtime->m_settings.identity.host.value,
                       "SIGHUP ignored: the settings file holds only addresses and limits, which take effect "
                       "at the next start"});
}

void node_runtime::onEntryRequest(const http_request_received &request)
{
    std::visit(overloaded{[this](event &&incoming) { post(std::move(incoming)); },
                          [this, &request](reply_http &&answer) {
                              writeLog({"request-rejected", request.path,
                                        absl::StrCat("status ", answer.status, ": ", answer.body)});
                              reply(std::move(answer));
                          }},
               m_port->decodeRequest(request, m_state.config, treeBytesFor(m_settings.memoryMb)));
}

void node_runtime::onPeerRequest(const http_request_received &request)
{
    const exchange_id exchange = request.exchange;
    if (request.path == kUpstreamDeltaPath) {
        std::uint64_t after = 0;
        if (!unpack(request.body, after)) {
            writeLog({"upstream-delta-request-unreadable", request.path,
                      "malformed body or another format version; answering with all upstreams"});
        }
        post(upstream_delta_requested{exchange, after});
        return;
    }
    if (request.path == kRelayedCallPath) {
        if (auto relayed = unpackRelay(peerExchange(exchange), request.body)) {
            post(*std::move(relayed));
            return;
        }
    }
    if (request.path == kShareOriginPath) {
        stream_origin_shared shared{exchange, {}, {}};
        if (unpack(request.body, shared.stream, shared.build)) {
            post(std::move(shared));
            return;
        }
    }
    if (request.path == kFindOriginPath) {
        stream_origin_requested wanted{exchange, {}, {}};
        if (unpack(request.body, wanted.stream, wanted.service)) {
            post(std::move(wanted));
            return;
        }
    }
    if (request.path != kRelayPath) {
        writeLog(
                {"peer-request-unreadable", request.path, "unknown path, malformed body, or another format"});
        m_peerServer->reply({exchange, kNotFound, {}, {}});
        return;
    }
    m_store->relay(request.body, [this, exchange](std::string answer) {
        m_peerServer->reply({exchange, kOk, {}, std::move(answer)});
    });
}

void node_runtime::reply(reply_http answer)
{
    if (m_stopping) {
        answer.headers["Connection"] = "close";
    }
    if (!m_entryServer->reply(answer)) {
        writeLog({"reply-not-sent", std::to_string(answer.exchange.value),
                  absl::StrCat("status ", answer.status, ", but a stream had begun; connection closed")});
    }
}

void node_runtime::startStore(const store_effect &operation, milliseconds deadline)
{
    const op_id op = std::visit([](const auto &alternative) { return alternative.op; }, operation);
    // Decoding the answer does not need the written rows; they are not copied into the callback.
    store_effect decodingInput = operation;
    if (auto *commit = std::get_if<commit_rows>(&decodingInput)) {
        commit->puts.clear();
    }
    store_request request;
    try {
        request = m_port->encodeStore(operation);
    } catch (const std::exception &error) {
        // A text that the store's protocol cannot carry, such as a key that is no UTF-8.
        post(store_failed{op, false, absl::StrCat("the operation cannot be written: ", error.what()), true});
        return;
    }
    m_store->start(request, deadline,
                   [this, op, decodingInput = std::move(decodingInput)](const store_answer &answer) {
                       if (answer.status == 0) {
                           post(store_failed{op, answer.outcomeUnknown,
                                             "no answer from the store before the deadline"});
                           return;
                       }
                       auto decoded = m_port->decodeStore(decodingInput, answer.status, answer.body,
                                                          answer.afterLostAnswer);
                       if (!decoded) {
                           post(store_failed{
                                   op, answer.afterLostAnswer,
                                   absl::StrCat("unexpected answer from the store, status ", answer.status),
                                   answer.status == kBadRequest || answer.status == kTooLarge});
                           return;
                       }
                       post(*std::move(decoded));
                   });
}

std::pair<http_server *, exchange_id> node_runtime::serverOf(exchange_id exchange) const
{
    const bool isPeer = (exchange.value & kPeerExchangeBit) != 0;
    return {isPeer ? m_peerServer.get() : m_entryServer.get(), {exchange.value & ~kPeerExchangeBit}};
}

void node_runtime::readNotices(op_id op, const upstream_id &upstream, int status, const http_headers &headers)
{
    switch (m_port->decodeLeaveNotice(status, headers)) {
    case leave_notice::none:
        break;
    case leave_notice::leaving:
        post(upstream_leave_announced{op, upstream});
        break;
    case leave_notice::malformed:
        writeLog(
                {"leave-notice-unreadable", upstream.value, "ignored; the next response repeats the notice"});
        break;
    }
    const rate_limit_notice limit = m_port->decodeRateLimit(status, headers);
    if (limit.malformed) {
        writeLog(
                {"limit-notice-unreadable", upstream.value, "ignored; the next response repeats the notice"});
        return;
    }
    const auto view = m_state.upstreams.find(upstream);
    const bool isLimited = view != m_state.upstreams.end() && view->second.limit.perSecond > 0;
    if (limit.requestsPerSecond || isLimited) {
        post(upstream_limit_read{op, upstream, limit.requestsPerSecond});
    }
}

void node_runtime::writeLog(const log_decision &entry)
{
    const auto leftOut = m_logLimiter.admit(entry.eventName, now());
    if (!leftOut) {
        return;
    }
    nlohmann::json line = {{"atMs", now().time_since_epoch().count()},
                           {"what", entry.eventName},
                           {"subject", entry.subject},
                           {"detail", entry.detail}};
    if (const std::uint64_t storeMs = storeTime(m_state, now()); storeMs != 0) {
        line["storeMs"] = storeMs;
    }
    for (const auto &[name, value] : entry.fields) {
        std::visit([&line, &field = name](const auto &v) { line["fields"][field] = v; }, value);
    }
    if (*leftOut > 0) {
        line["leftOut"] = *leftOut;
    }
    writeLogLine(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void node_runtime::exitWhenDrained()
{
    if (m_exiting) {
        return;
    }
    const std::size_t open = m_entryServer->openExchanges();
    const bool idle = open == 0 && !m_entryServer->hasUnsentBytes() && !m_peerServer->hasUnsentBytes();
    const milliseconds elapsed = now() - m_state.stopRequestedAt;
    const bool graceOver = elapsed + kShutdownPollInterval * 2 >= m_settings.identity.stopGrace;
    if (graceOver || (idle && elapsed >= kRotationTime)) {
        m_exiting = true;
        writeLog({"stop",
                  m_settings.identity.host.value,
                  idle ? "all replies are sent" : "the stop grace time is over",
                  {{"openExchanges", static_cast<std::int64_t>(open)}, {"afterMs", elapsed.count()}}});
        event_base_loopbreak(m_base);
        return;
    }
    m_shutdownTimer->start(kShutdownPollInterval);
}

int nodeMain(int argc, char **argv, std::unique_ptr<wire_port> port)
{
    cxxopts::Options options("jvnode",
                             "Daemon that accepts client requests and batches; one runs on each host.");
    options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "check", "check the settings file and exit")("help", "show this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0 || parsed.count("settings") == 0) {
            std::cout << options.help() << '\n';
            return parsed.count("help") != 0 ? 0 : 2;
        }
        const auto text = readFile(parsed["settings"].as<std::string>());
        if (!text.ok()) {
            std::cerr << text.status().message() << '\n';
            return 2;
        }
        node_settings settings = readNodeSettings(*text);
        for (const json_fault &fault : settings.faults) {
            std::cerr << "settings: " << fault.path << ": " << fault.problem << '\n';
        }
        if (!settings.faults.empty()) {
            return 2;
        }
        if (parsed.count("check") != 0) {
            return 0;
        }
        setUpLog(settings.logLevel);
        node_runtime runtime(std::move(settings), std::move(port));
        const absl::Status status = runtime.start();
        if (!status.ok()) {
            std::cerr << status.message() << '\n';
            return 1;
        }
        return runtime.run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace jacinthvale::node
