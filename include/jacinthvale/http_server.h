/// HTTP server: turns callers' requests into exchanges that are answered later.
#pragma once

#include <jacinthvale/connection_policy.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace jacinthvale {

class connection_guard;

/// Bounds of what one caller may send or leave unread.
struct http_server_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
    /// Unread bytes of a streamed answer after which its reader is given up.
    std::size_t maxUnreadBytes = 4 * 1024 * 1024;
    connection_times times = {};
    /// Headers of the answers that the server gives itself to requests that were not passed on.
    http_headers refusalHeaders = {};
};

/// Receives what callers do. Called on the event loop's thread.
struct http_server_listener
{
    std::function<void(http_request_received)> onRequest;
    std::function<void(http_exchange_abandoned)> onAbandoned;
};

/// One listening socket. Answers to exchanges that are gone are dropped.
class http_server
{
public:
    /// @param name of the listener in logs and counters.
    /// @remarks base and guard must outlive the server.
    http_server(event_base *base, connection_guard &guard, std::string name, http_server_limits limits,
                http_server_listener listener);
    /// Server with a budget of its own, for processes that face no strangers.
    http_server(event_base *base, http_server_limits limits, http_server_listener listener);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts to listen. Port 0 lets the system choose; port() tells which.
    absl::Status listen(const endpoint &where);
    std::uint16_t port() const;

    /// Takes effect for open connections, too, with their next request.
    void setLimits(const http_server_limits &limits);

    /// @returns false if a streamed answer had begun: its connection is closed, and nothing of this one is
    /// sent.
    bool reply(const reply_http &answer);
    void begin(const begin_reply &answer);
    void chunk(const reply_chunk &answer);
    void end(const end_reply &answer);

    /// @returns the number of exchanges without a whole answer.
    std::size_t openExchanges() const;

    /// @returns true while bytes of answers are still on their way to callers.
    bool hasUnsentBytes() const;

    /// Bytes of an answer that its caller has not taken yet.
    struct unsent_answer
    {
        exchange_id exchange;
        std::size_t bytes = 0;
        /// The request was a GET.
        bool repeatable = false;
    };
    std::vector<unsent_answer> unsentAnswers() const;

    /// Closes the connection of an answer that is not sent in full. Must not be called from a listener.
    void drop(exchange_id exchange);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jacinthvale
