/// Runs the reducer of node.h on an event loop, with an adapter for the platform's wire format.
#pragma once

#include "connection_guard.h"
#include "log_limiter.h"
#include "node_outgoing_calls.h"
#include "node_port.h"
#include "node_settings.h"
#include "node_store_link.h"
#include <jacinthvale/http_server.h>
#include <jacinthvale/metrics.h>

#include <deque>
#include <random>

namespace jacinthvale::node {

/// The daemon process: sockets, timers, signals and the event queue. Single-threaded.
class node_runtime
{
public:
    node_runtime(node_settings settings, std::unique_ptr<wire_port> port);
    ~node_runtime();
    node_runtime(const node_runtime &) = delete;
    node_runtime &operator=(const node_runtime &) = delete;

    /// Opens the listening sockets and starts the reducer. Returns an error if a socket cannot be opened.
    absl::Status start();

    /// Runs the event loop until the reducer ends the process. Returns the exit code.
    int run();

private:
    struct effect_executor;
    friend struct effect_executor;

    instant now() const;
    static wall_time wallNow();
    void post(event incoming);
    void processQueue();
    /// Reports the answers that callers have not read, once they take half of the memory for them. Earlier,
    /// nothing is to be decided.
    void measureAnswers();
    http_server_limits serverLimits() const;
    /// Limits of the configuration for callers' connections, within those of the settings.
    http_server_limits callerLimits() const;
    void reportFault(const endpoint &sender, const answer_fault &fault);
    std::string renderMetrics();
    std::unique_ptr<http_server> listen(const endpoint &address, const std::string &name,
                                        std::function<void(http_request_received)> onRequest,
                                        std::function<void(http_exchange_abandoned)> onAbandoned,
                                        absl::Status &status);
    void onEntryRequest(const http_request_received &request);
    void onPeerRequest(const http_request_received &request);
    void reply(reply_http answer);
    void startStore(const store_effect &operation, milliseconds deadline);
    /// @returns the server of an exchange that the reducer knows, and the server's own id for it.
    std::pair<http_server *, exchange_id> serverOf(exchange_id exchange) const;
    /// Posts what the head of an upstream's response says about the upstream itself.
    void readNotices(op_id op, const upstream_id &upstream, int status, const http_headers &headers);
    void writeLog(const log_decision &entry);
    /// Ends the event loop once all replies are sent, or when the stop grace time is over; until then it
    /// checks again periodically.
    void exitWhenDrained();

    static void onQueueReady(evutil_socket_t, short, void *self);
    static void onStopSignal(evutil_socket_t, short, void *self);
    static void onReloadSignal(evutil_socket_t, short, void *self);

    node_settings m_settings;
    std::unique_ptr<wire_port> m_port;
    event_base *m_base;
    std::mt19937_64 m_random;
    node_state m_state;
    metrics_registry m_metrics;
    log_limiter m_logLimiter;
    connection_guard m_guard;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<outgoing_calls> m_outgoing;
    std::unique_ptr<store_link> m_store;
    /// Version of the configuration whose limits are in force.
    std::uint64_t m_limitsVersion = 0;
    std::unique_ptr<http_server> m_entryServer;
    std::unique_ptr<http_server> m_readinessServer;
    std::unique_ptr<http_server> m_peerServer;
    std::unique_ptr<http_server> m_metricsServer;
    std::deque<event> m_queue;
    std::unique_ptr<event_timer> m_tickTimer;
    std::unique_ptr<event_timer> m_shutdownTimer;
    ::event *m_queueEvent = nullptr;
    ::event *m_termEvent = nullptr;
    ::event *m_intEvent = nullptr;
    ::event *m_hupEvent = nullptr;
    bool m_ready = false;
    bool m_stopping = false;
    bool m_exiting = false;
};

/// Main function of the daemon: parses the arguments, reads the settings file and runs. Returns the exit
/// code.
int nodeMain(int argc, char **argv, std::unique_ptr<wire_port> port);

} // namespace jacinthvale::node
