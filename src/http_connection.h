/// One accepted connection: reads one request at a time, within the budget of the process, and writes
/// answers.
#pragma once

#include "connection_guard.h"
#include "http_request_parser.h"

#include <jacinthvale/http_server.h>

#include <event2/util.h>

struct evbuffer;

namespace jacinthvale {

class http_connection;

/// Owner of connections; told of what happens on them.
class http_connection_owner
{
public:
    virtual ~http_connection_owner() = default;
    /// The request is complete; its answer may follow within the call.
    virtual void onRequest(http_connection &connection) = 0;
    /// The caller left a request in progress, or the connection failed under it.
    virtual void onAbandoned(http_connection &connection) = 0;
    /// The answer is written, and the next request may come.
    virtual void onAnswered(http_connection &connection) = 0;
    /// The connection is closed. It is destroyed later, from the event loop.
    virtual void onClosed(http_connection &connection) = 0;
    virtual const http_server_limits &limits() const = 0;
    virtual connection_guard &guard() = 0;
    virtual const std::string &listenerName() const = 0;
};

class http_connection
{
public:
    http_connection(event_base *base, evutil_socket_t socket, http_connection_owner &owner);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    connection_id id() const { return m_id; }
    connection_view view() const;
    std::size_t unsentBytes() const;
    bool isOpen() const { return m_socket >= 0; }

    /// The complete request. Its body is moved out.
    http_request_received takeRequest(exchange_id exchange);
    /// The request in progress, or the last one, was a GET.
    bool isRepeatable() const { return m_repeatable; }

    /// Sends a whole answer. Only while a request is in progress.
    void reply(int status, const http_headers &headers, const std::string &body);
    void begin(int status, const http_headers &headers);
    void chunk(const std::string &bytes);
    void end();

    /// Refuses the incomplete request: answers and closes.
    void refuse(int status, std::string_view reason);
    /// Closes without an answer.
    void close();
    /// A body that waits for room tries again.
    void resumeWaiting();

private:
    /// Events of the socket that are watched; writing apart.
    enum class watch : std::uint8_t { input, close_only, none };

    static void inputReady(evutil_socket_t, short what, void *self);
    static void outputReady(evutil_socket_t, short, void *self);

    void enter(connection_stage stage);
    void watchInput(watch wanted);
    void read();
    void dropInput();
    void advance();
    bool skipEmptyLines();
    void takeHead();
    bool claimBody(std::size_t bytes);
    bool growBody(std::size_t arriving);
    void feedBody();
    void complete();
    void writeHead(int status, const http_headers &headers, const std::string &framing);
    void startProgress();
    void flush();
    void answered();
    void setHeld(std::size_t bytes);
    void updateHeld();

    event_base *m_base;
    evutil_socket_t m_socket;
    http_connection_owner &m_owner;
    connection_id m_id;
    connection_stage m_stage = connection_stage::idle;
    instant m_since{};
    instant m_progressAt{};
    std::size_t m_moved = 0;
    ::event *m_inputEvent;
    ::event *m_outputEvent;
    evbuffer *m_output;
    watch m_watch = watch::input;
    std::string m_input;
    std::unique_ptr<http_request_parser> m_parser;
    /// Room that is claimed for the body, or wanted for it.
    std::size_t m_claimed = 0;
    std::size_t m_wanted = 0;
    /// Unsent answers and unread input that are in the account.
    std::size_t m_held = 0;
    std::size_t m_emptyBytes = 0;
    std::size_t m_dropped = 0;
    bool m_repeatable = false;
    bool m_http11 = true;
    bool m_keepAlive = true;
    bool m_closeAfterAnswer = false;
    bool m_chunkedAnswer = false;
    bool m_refused = false;
    bool m_peerClosed = false;
};

} // namespace jacinthvale
