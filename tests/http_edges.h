/// Event loop, raw sockets and manual servers for tests of what HTTP clients and servers do at the edges.
#pragma once

#include <jacinthvale/event_timer.h>
#include <jacinthvale/http_client.h>
#include <jacinthvale/http_server.h>

#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthvale::test {

inline constexpr milliseconds kLongestWait{20000};

/// Event loop of one test.
class test_loop
{
public:
    test_loop()
        : m_base(event_base_new())
    {}
    ~test_loop() { event_base_free(m_base); }
    test_loop(const test_loop &) = delete;
    test_loop &operator=(const test_loop &) = delete;

    event_base *base() const { return m_base; }

    /// Runs the loop until the condition holds. @returns false if it never did.
    bool runUntil(const std::function<bool()> &condition) const
    {
        bool late = false;
        event_timer limit(m_base, [&] { late = true; });
        limit.start(kLongestWait);
        while (!condition() && !late) {
            event_base_loop(m_base, EVLOOP_ONCE);
        }
        return condition();
    }

private:
    event_base *m_base;
};

/// TCP server that hands bytes to a function and counts connections.
class raw_server
{
public:
    using bytes_handler = std::function<void(bufferevent *connection, const std::string &bytes)>;

    raw_server(event_base *base, bytes_handler handler)
        : m_base(base)
        , m_handler(std::move(handler))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base, &raw_server::accepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                             reinterpret_cast<sockaddr *>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~raw_server()
    {
        for (bufferevent *one : m_open) {
            bufferevent_free(one);
        }
        evconnlistener_free(m_listener);
    }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    endpoint where() const { return {"127.0.0.1", m_port}; }
    int connections() const { return m_connections; }

    /// Writes to the sockets at once, without the event loop.
    void writeToAll(const std::string &bytes) const
    {
        for (bufferevent *connection : m_open) {
            EXPECT_EQ(::send(bufferevent_getfd(connection), bytes.data(), bytes.size(), MSG_NOSIGNAL),
                      static_cast<ssize_t>(bytes.size()));
        }
    }

    /// Writes as much as the callers read, without end.
    void writeToReaders(const std::string &bytes) const
    {
        for (bufferevent *connection : m_open) {
            if (evbuffer_get_length(bufferevent_get_output(connection)) < bytes.size()) {
                bufferevent_write(connection, bytes.data(), bytes.size());
            }
        }
    }
    std::size_t openConnections() const { return m_open.size(); }

    void close(bufferevent *connection)
    {
        m_open.erase(connection);
        bufferevent_free(connection);
    }
    void reset(bufferevent *connection)
    {
        const linger abortive{1, 0};
        setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
        close(connection);
    }

private:
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *server = static_cast<raw_server *>(self);
        ++server->m_connections;
        bufferevent *connection = bufferevent_socket_new(server->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        server->m_open.insert(connection);
        bufferevent_setcb(
                connection,
                [](bufferevent *c, void *s) {
                    evbuffer *input = bufferevent_get_input(c);
                    std::string bytes(evbuffer_get_length(input), '\0');
                    evbuffer_remove(input, bytes.data(), bytes.size());
                    static_cast<raw_server *>(s)->m_handler(c, bytes);
                },
                nullptr, [](bufferevent *c, short, void *s) { static_cast<raw_server *>(s)->close(c); },
                self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    event_base *m_base;
    bytes_handler m_handler;
    evconnlistener *m_listener = nullptr;
    std::uint16_t m_port = 0;
    int m_connections = 0;
    std::set<bufferevent *> m_open;
};

/// Client socket that the test writes to byte by byte.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port, int receiveBuffer = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
        evutil_make_socket_nonblocking(m_socket);
    }
    ~raw_client() { ::close(m_socket); }
    raw_client(const raw_client &) = delete;
    raw_client &operator=(const raw_client &) = delete;

    /// @returns the number of bytes that the socket took.
    std::size_t send(std::string_view bytes) const
    {
        const ssize_t size = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    void shutdownWriting() const { ::shutdown(m_socket, SHUT_WR); }
    void reset()
    {
        ::close(m_socket);
        m_socket = -1;
    }

    /// Reads what is there now. @returns everything read so far.
    const std::string &received()
    {
        std::array<char, 4096> bytes{};
        ssize_t size = 0;
        while ((size = ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
            m_received.append(bytes.data(), static_cast<std::size_t>(size));
        }
        return m_received;
    }

private:
    int m_socket;
    std::string m_received;
};

/// HTTP server whose exchanges the test answers by hand.
struct manual_server
{
    explicit manual_server(event_base *base, http_server_limits limits = {})
        : server(base, limits,
                 {[this](http_request_received request) { requests.push_back(std::move(request)); },
                  [this](http_exchange_abandoned e) { abandoned.push_back(e.exchange); }})
    {
        EXPECT_TRUE(server.listen({"127.0.0.1", 0}).ok());
    }

    endpoint where() const { return {"127.0.0.1", server.port()}; }

    std::vector<http_request_received> requests;
    std::vector<exchange_id> abandoned;
    http_server server;
};

/// One call and what became of it.
struct watched_call
{
    std::optional<http_call_finished> finished;
    std::string streamed;

    http_call_listener listener()
    {
        return {[](int, const http_headers &) {}, [this](const std::string &bytes) { streamed += bytes; },
                [this](http_call_finished result) { finished = std::move(result); }};
    }
};

inline call_http makeCall(const endpoint &target)
{
    call_http call;
    call.target = target;
    call.path = "/x";
    call.body = "{}";
    return call;
}

} // namespace jacinthvale::test
