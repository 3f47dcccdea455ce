#include "node_runtime.h"

#include "log.h"
#include "node_pack.h"
#include "node_step.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <ctime>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

namespace jacinthvale::node {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

/// Idle connections to upstreams are kept this long: a new one costs more than a request, and a stale one
/// shows by a reset before anything ran.
constexpr milliseconds kIdleConnectionAge{20'000};

/// Pause between two looks whether the last answers of a stopping process have left.
constexpr milliseconds kEndLook{20};

/// The balancer needs two of its questions, a second apart, to take a stopping process out.
constexpr milliseconds kLeastStop{2800};

/// Deadline of reads: what callers wait for at most.
constexpr milliseconds kReadDeadline{3000};

/// Path at a peer's address that tells news of the upstreams, and the longest times for its answer: another
/// daemon is asked well within the bound for a leaving upstream (2 s).
constexpr const char *kNewsPath = "/node/news";
constexpr milliseconds kNewsConnectTime{300};
constexpr milliseconds kNewsTime{500};

call_http newsCall(const request_upstream_delta &what)
{
    call_http call;
    call.target = what.peer;
    call.method = "POST";
    call.path = kNewsPath;
    call.body = pack(what.after);
    call.connectTimeout = kNewsConnectTime;
    call.progressTimeout = kNewsTime;
    return call;
}

http_client_limits clientLimits()
{
    http_client_limits limits;
    limits.maxIdleAge = kIdleConnectionAge;
    return limits;
}

} // namespace

/// Performs one effect each.
struct node_runtime::performer
{
    node_runtime &self;

    void operator()(const read_rows &what) const { self.startStore(what, kReadDeadline); }
    void operator()(const read_changes &what) const { self.startStore(what, kReadDeadline); }
    void operator()(const commit_rows &what) const { self.startStore(what, what.deadline); }
    void operator()(const run_item &what) const { self.startRun(what); }
    void operator()(const forward_call &what) const
    {
        const op_id op = what.op;
        self.startCall(op, self.m_port->encodeCall(what), [runtime = &self, op](const http_call_finished &f) {
            return runtime->m_port->decodeCall(op, f);
        });
    }
    void operator()(const cancel_call &what) const { self.cancel(what.op); }
    void operator()(const request_upstream_status &what) const
    {
        const op_id op = what.op;
        self.startCall(op, self.m_port->encodeAsk(what), [runtime = &self, op](const http_call_finished &f) {
            return runtime->m_port->decodeAsk(op, f);
        });
    }
    void operator()(const order_weights &what) const
    {
        const op_id op = what.op;
        self.startCall(op, self.m_port->encodeOrder(what),
                       [runtime = &self, op](const http_call_finished &f) {
                           return runtime->m_port->decodeOrder(op, f);
                       });
    }
    void operator()(const request_upstream_delta &what) const
    {
        const op_id op = what.op;
        self.startCall(op, newsCall(what), [op](const http_call_finished &f) {
            upstream_delta delta;
            // Without a whole answer nothing is known: the reducer asks elsewhere.
            const bool whole
                    = f.outcome == transfer_outcome::complete && f.status == kOk && unpack(f.body, delta);
            return upstream_delta_received{op, whole ? std::move(delta) : upstream_delta{}};
        });
    }
    void operator()(const answer_upstream_delta &what) const
    {
        self.m_peerServer->reply({what.exchange, kOk, {}, pack(what.delta)});
    }
    void operator()(const answer_call &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const refuse_call &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const accept_batch &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const answer_page &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const answer_item &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const answer_batch_ended &what) const { self.reply(self.m_port->encodeReply(what)); }
    void operator()(const set_readiness &what) const { self.m_ready = what.ready; }
    void operator()(const set_relays &what) const { self.m_store->setPeers(what.peers); }
    void operator()(const log_decision &what) const { self.writeLog(what); }
    void operator()(const count &what) const { self.m_metrics.count(what.name, what.amount); }
    void operator()(const observe &what) const { self.m_metrics.observe(what.name, what.value); }
    void operator()(const end_process &) const { self.finishStop(); }
};

node_runtime::node_runtime(node_settings settings, std::unique_ptr<wire_port> port)
    : m_settings(std::move(settings))
    , m_port(std::move(port))
    , m_base(event_base_new())
    , m_random(std::random_device{}())
    , m_state(makeNodeState(m_settings.identity))
    , m_logLimit(m_settings.logLinesPerKind)
    , m_client(std::make_unique<http_client>(m_base, clientLimits()))
    , m_store(std::make_unique<store_link>(m_base, *m_client, m_settings.platform, [this] { return now(); }))
    , m_tickTimer(std::make_unique<event_timer>(m_base,
                                                [this] {
                                                    m_tickTimer->start(kTickPeriod);
                                                    post(tick{});
                                                }))
    , m_endTimer(std::make_unique<event_timer>(m_base, [this] { finishStop(); }))
{
    m_queueEvent = event_new(m_base, -1, 0, &node_runtime::queueReady, this);
    m_termEvent = evsignal_new(m_base, SIGTERM, &node_runtime::stopSignalled, this);
    m_intEvent = evsignal_new(m_base, SIGINT, &node_runtime::stopSignalled, this);
    m_hupEvent = evsignal_new(m_base, SIGHUP, &node_runtime::reloadSignalled, this);
}

node_runtime::~node_runtime()
{
    m_calls.clear();
    m_entryServer.reset();
    m_readinessServer.reset();
    m_peerServer.reset();
    m_metricsServer.reset();
    m_store.reset();
    m_client.reset();
    m_tickTimer.reset();
    m_endTimer.reset();
    for (::event *each : {m_queueEvent, m_termEvent, m_intEvent, m_hupEvent}) {
        event_free(each);
    }
    event_base_free(m_base);
}

instant node_runtime::now() const
{
    // The boot clock counts the time in which the host was suspended; what was believed before then is that
    // old.
    constexpr std::int64_t kMillisecond = 1000;
    constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant{milliseconds{time.tv_sec * kMillisecond + time.tv_nsec / kNanosecondsPerMillisecond}};
}

std::unique_ptr<http_server> node_runtime::listen(const endpoint &where,
                                                  std::function<void(http_request_received)> onRequest,
                                                  absl::Status &status)
{
    http_server_limits limits;
    limits.maxHeaderBytes = m_settings.maxHeaderBytes;
    limits.maxBodyBytes = m_settings.maxBodyBytes;
    auto server = std::make_unique<http_server>(
            m_base, limits,
            http_server_listener{std::move(onRequest), [this](const http_exchange_abandoned &gone) {
                                     post(caller_disconnected{gone.exchange});
                                 }});
    status.Update(server->listen(where));
    return server;
}

absl::Status node_runtime::start()
{
    signal(SIGPIPE, SIG_IGN);
    absl::Status status;
    m_entryServer = listen(
            m_settings.entry, [this](const http_request_received &request) { onEntry(request); }, status);
    m_readinessServer = listen(
            m_settings.readiness,
            [this](const http_request_received &request) {
                m_readinessServer->reply({request.exchange, m_ready ? kOk : kUnavailable, {}, {}});
            },
            status);
    m_peerServer = listen(
            m_settings.identity.peer, [this](const http_request_received &request) { onPeer(request); },
            status);
    m_metricsServer = listen(
            m_settings.metrics,
            [this](const http_request_received &request) {
                m_metricsServer->reply(
                        {request.exchange, kOk, {{"Content-Type", "text/plain"}}, m_metrics.render()});
            },
            status);
    if (!status.ok()) {
        return status;
    }
    for (::event *each : {m_termEvent, m_intEvent, m_hupEvent}) {
        event_add(each, nullptr);
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
    writeLog({"stop", m_settings.identity.host.value, "all answers have left"});
    return 0;
}

void node_runtime::post(event what)
{
    m_queue.push_back(std::move(what));
    event_active(m_queueEvent, 0, 0);
}

void node_runtime::queueReady(evutil_socket_t, short, void *self)
{
    static_cast<node_runtime *>(self)->processQueue();
}

void node_runtime::processQueue()
{
    while (!m_queue.empty()) {
        const event next = std::move(m_queue.front());
        m_queue.pop_front();
        const context at{now(), {}, m_random()};
        for (const effect &what : reduce(m_state, next, at)) {
            std::visit(performer{*this}, what);
        }
    }
}

void node_runtime::stopSignalled(evutil_socket_t, short, void *self)
{
    auto *runtime = static_cast<node_runtime *>(self);
    runtime->m_stopping = true;
    runtime->m_stopSince = runtime->now();
    runtime->post(stop_requested{});
}

void node_runtime::reloadSignalled(evutil_socket_t, short, void *self)
{
    auto *runtime = static_cast<node_runtime *>(self);
    runtime->writeLog(
            {"reload", runtime->m_settings.identity.host.value,
             "addresses and limits are read at the next start; nothing else stands in the settings"});
}

void node_runtime::onEntry(const http_request_received &request)
{
    std::visit(overloaded{[this](const event &what) { post(what); },
                          [this](const reply_http &answer) { reply(answer); }},
               m_port->decodeRequest(request, m_state.config));
}

void node_runtime::onPeer(const http_request_received &request)
{
    const exchange_id exchange = request.exchange;
    if (request.path == kNewsPath) {
        std::uint64_t after = 0;
        if (!unpack(request.body, after)) {
            writeLog({"news-question-unreadable", request.path, "of another version"});
        }
        post(upstream_delta_requested{exchange, after});
        return;
    }
    if (request.path != kRelayPath) {
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
    m_entryServer->reply(answer);
}

void node_runtime::startStore(const store_effect &what, milliseconds deadline)
{
    const op_id op = std::visit([](const auto &each) { return each.op; }, what);
    // The parts of a transaction other than its id are needed no more once it is written down.
    store_effect kept = what;
    if (auto *commit = std::get_if<commit_rows>(&kept)) {
        commit->puts.clear();
    }
    m_store->start(
            m_port->encodeStore(what), deadline,
            [this, op, kept = std::move(kept)](const store_answer &answer) {
                if (answer.status == 0) {
                    post(store_failed{op, answer.outcomeUnknown, "no answer in time"});
                    return;
                }
                auto decoded = m_port->decodeStore(kept, answer.status, answer.body, answer.afterLostAnswer);
                if (!decoded) {
                    post(store_failed{op, answer.afterLostAnswer, absl::StrCat("answer ", answer.status)});
                    return;
                }
                post(*std::move(decoded));
            });
}

void node_runtime::startRun(const run_item &what)
{
    const op_id op = what.op;
    running_call &running = m_calls[op];
    running.decoder = m_port->makeRunDecoder(what);
    run_decoder *decoder = running.decoder.get();
    running.handle = m_client->start(
            m_port->encodeRun(what),
            {[decoder](int status, const http_headers &headers) { decoder->head(status, headers); },
             [this, op, decoder](const std::string &bytes) {
                 auto pieces = decoder->chunk(bytes);
                 if (!pieces.empty()) {
                     post(run_progressed{op, std::move(pieces)});
                 }
             },
             [this, op, decoder](const http_call_finished &finished) {
                 post(run_ended{op, decoder->finish(finished)});
                 m_calls.erase(op);
             }});
}

void node_runtime::startCall(op_id op, const call_http &call, std::function<event(http_call_finished)> decode)
{
    running_call &running = m_calls[op];
    running.handle = m_client->start(
            call, {{}, {}, [this, op, decode = std::move(decode)](const http_call_finished &finished) {
                       post(decode(finished));
                       m_calls.erase(op);
                   }});
}

void node_runtime::cancel(op_id op)
{
    const auto found = m_calls.find(op);
    if (found != m_calls.end()) {
        m_client->cancel(found->second.handle);
        m_calls.erase(found);
    }
}

void node_runtime::writeLog(const log_decision &what)
{
    const auto leftOut = m_logLimit.admit(what.eventName, now());
    if (!leftOut) {
        return;
    }
    nlohmann::json line = {{"atMs", now().time_since_epoch().count()},
                           {"what", what.eventName},
                           {"subject", what.subject},
                           {"detail", what.detail}};
    if (*leftOut > 0) {
        line["leftOut"] = *leftOut;
    }
    writeLogLine(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void node_runtime::finishStop()
{
    if (m_ending) {
        return;
    }
    const bool idle = m_entryServer->openExchanges() == 0 && !m_entryServer->hasUnsentBytes();
    const milliseconds passed = now() - m_stopSince;
    const bool outOfTime = passed + kEndLook * 2 >= m_settings.identity.stopGrace;
    if (outOfTime || (idle && passed >= kLeastStop)) {
        m_ending = true;
        event_base_loopbreak(m_base);
        return;
    }
    m_endTimer->start(kEndLook);
}

int nodeMain(int argc, char **argv, std::unique_ptr<wire_port> port)
{
    cxxopts::Options options("jvnode", "One daemon a host: takes callers' requests and batches.");
    options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "check", "check the settings and end")("help", "show this text");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0 || given.count("settings") == 0) {
            std::cout << options.help() << '\n';
            return given.count("help") != 0 ? 0 : 2;
        }
        const auto text = readFile(given["settings"].as<std::string>());
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
        if (given.count("check") != 0) {
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
