/// Runs the reducer on an event loop: sockets become events, effects become I/O.
#pragma once

#include "connection_guard.h"
#include "log_limiter.h"
#include "peer_transport.h"
#include "process_settings.h"
#include <jacinthvale/event_timer.h>

#include <jacinthvale/http_client.h>
#include <jacinthvale/http_server.h>
#include <jacinthvale/metrics.h>
#include <jacinthvale/reducer.h>
#include <jacinthvale/store_session.h>
#include <jacinthvale/timeline.h>

#include <absl/status/status.h>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace jacinthvale {

/// One daemon process. Single-threaded.
class daemon
{
public:
    explicit daemon(process_settings settings);
    ~daemon();
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;

    /// Opens the sockets.
    absl::Status start();

    /// Runs until the reducer asks for the end.
    /// @returns the exit code.
    int run();

private:
    /// Performs one effect each.
    struct performer;
    friend struct performer;

    void announce() const;
    context makeContext();
    void post(event what);
    void processQueue();
    void perform(effect &what);
    void beginStop();
    void finishStop();

    void onRequest(http_request_received request);
    bool answerBuiltIn(const http_request_received &request);
    bool authorize(http_request_received &request);
    std::string renderMetrics();
    std::string renderStatus();
    std::string renderTimeline(const http_request_received &request) const;
    void answer(exchange_id exchange, int status, const std::string &body,
                const std::string &contentType = "application/json");

    /// A connection was ended by this process.
    void onEnded(const std::string &listener, std::string_view reason);
    void onFault(const endpoint &sender, const answer_fault &fault);
    void writeLimitedLine(const std::string &what, const std::string &subject, std::string_view detail);
    void onPeerBytes(const std::string &bytes);
    void sendPeer(const send_peer &message);
    void startCall(const call_http &call);
    void performStore(std::vector<store_action> actions);
    void startStoreAttempt(const store_attempt &attempt);
    void record(const record_entry &entry);

    static void queueReady(evutil_socket_t, short, void *self);
    static void tickReady(evutil_socket_t, short, void *self);
    static void stopSignalled(evutil_socket_t, short, void *self);

    process_settings m_settings;
    event_base *m_base;
    std::chrono::steady_clock::time_point m_startedAt;
    std::mt19937_64 m_random;
    daemon_state m_state;
    metrics_registry m_metrics;
    timeline_ring m_timeline;
    hybrid_clock m_clock;
    store_session m_store;
    connection_guard m_guard;
    log_limiter m_logLimiter;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<peer_socket> m_peers;
    std::deque<event> m_queue;
    std::map<operation_id, http_call_handle> m_calls;
    std::map<operation_id, std::unique_ptr<event_timer>> m_timers;
    std::map<domain, std::string> m_notReady;
    ::event *m_queueEvent = nullptr;
    ::event *m_tickEvent = nullptr;
    ::event *m_termEvent = nullptr;
    ::event *m_intEvent = nullptr;
    std::unique_ptr<event_timer> m_graceTimer;
    bool m_stopRequested = false;
    bool m_exiting = false;
    int m_exitCode = 0;
};

} // namespace jacinthvale
