#include "peer_transport.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <map>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthvale {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65507;
constexpr int kPortTries = 16;
/// Unsent bytes towards one peer after which its connection is given up.
constexpr std::size_t kMaxQueuedBytes = 32 * 1024 * 1024;

/// Address of a socket in the form that the system calls take.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

socket_address toSocketAddress(const endpoint &where)
{
    socket_address result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, where.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(where.port);
        result.size = sizeof(sockaddr_in);
        return result;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, where.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(where.port);
        result.size = sizeof(sockaddr_in6);
    }
    return result;
}

std::uint16_t boundPort(int socket)
{
    socket_address address;
    address.size = sizeof(address.storage);
    getsockname(socket, address.get(), &address.size);
    return address.storage.ss_family == AF_INET6
                   ? ntohs(reinterpret_cast<sockaddr_in6 *>(&address.storage)->sin6_port)
                   : ntohs(reinterpret_cast<sockaddr_in *>(&address.storage)->sin_port);
}

std::string frame(const std::string &bytes)
{
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
    return std::string(reinterpret_cast<const char *>(&size), sizeof(size)) + bytes;
}

} // namespace

class peer_socket::implementation
{
public:
    implementation(event_base *base, peer_transport_listener listener)
        : m_base(base)
        , m_listener(std::move(listener))
    {}

    ~implementation()
    {
        for (bufferevent *connection : m_incoming) {
            bufferevent_free(connection);
        }
        for (auto &[target, out] : m_outgoing) {
            bufferevent_free(out.connection);
        }
        if (m_acceptor != nullptr) {
            evconnlistener_free(m_acceptor);
        }
        closeDatagramSocket();
    }

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    absl::Status listen(const endpoint &where)
    {
        // A port that the system chose for UDP may be taken for TCP; another one will do.
        const int tries = where.port == 0 ? kPortTries : 1;
        absl::Status status;
        for (int i = 0; i < tries; ++i) {
            status = listenOnce(where);
            if (status.ok()) {
                break;
            }
            closeDatagramSocket();
        }
        return status;
    }

    std::uint16_t port() const { return boundPort(m_datagramSocket); }

    void send(const endpoint &target, peer_transport transport, const std::string &bytes)
    {
        if (transport == peer_transport::stream) {
            sendFrame(target, bytes);
            return;
        }
        socket_address address = toSocketAddress(target);
        if (address.size != 0) {
            ::sendto(m_datagramSocket, bytes.data(), bytes.size(), MSG_DONTWAIT, address.get(), address.size);
        }
    }

private:
    absl::Status listenOnce(const endpoint &where)
    {
        socket_address address = toSocketAddress(where);
        m_datagramSocket = ::socket(address.storage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        evutil_make_socket_nonblocking(m_datagramSocket);
        if (::bind(m_datagramSocket, address.get(), address.size) != 0) {
            return absl::UnavailableError(absl::StrCat("cannot bind UDP ", toString(where)));
        }
        m_datagramEvent = event_new(m_base, m_datagramSocket, EV_READ | EV_PERSIST,
                                    &implementation::datagramReady, this);
        event_add(m_datagramEvent, nullptr);
        endpoint bound{where.address, boundPort(m_datagramSocket)};
        address = toSocketAddress(bound);
        constexpr int kSystemBacklog = -1;
        m_acceptor
                = evconnlistener_new_bind(m_base, &implementation::accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                          kSystemBacklog, address.get(), static_cast<int>(address.size));
        if (m_acceptor == nullptr) {
            return absl::UnavailableError(absl::StrCat("cannot listen on TCP ", toString(bound)));
        }
        return absl::OkStatus();
    }

    void closeDatagramSocket()
    {
        if (m_datagramEvent != nullptr) {
            event_free(m_datagramEvent);
            m_datagramEvent = nullptr;
        }
        if (m_datagramSocket >= 0) {
            ::close(m_datagramSocket);
            m_datagramSocket = -1;
        }
    }

    struct outgoing
    {
        implementation *owner = nullptr;
        endpoint target;
        bufferevent *connection = nullptr;
    };

    static void datagramReady(evutil_socket_t socket, short, void *self)
    {
        constexpr int kMaxDatagramsPerWake = 64;
        static thread_local std::array<char, kMaxDatagramBytes> bytes;
        for (int i = 0; i < kMaxDatagramsPerWake; ++i) {
            const ssize_t size = ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (size < 0) {
                return;
            }
            static_cast<implementation *>(self)->m_listener.onMessage(
                    std::string(bytes.data(), static_cast<std::size_t>(size)));
        }
    }

    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *owner = static_cast<implementation *>(self);
        bufferevent *connection = bufferevent_socket_new(owner->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        owner->m_incoming.insert(connection);
        bufferevent_setcb(connection, &implementation::frameBytesReady, nullptr,
                          &implementation::incomingEnded, self);
        bufferevent_enable(connection, EV_READ);
    }

    static void frameBytesReady(bufferevent *connection, void *self)
    {
        auto *owner = static_cast<implementation *>(self);
        evbuffer *input = bufferevent_get_input(connection);
        std::uint32_t size = 0;
        while (evbuffer_copyout(input, &size, sizeof(size)) == sizeof(size)) {
            size = ntohl(size);
            if (size > kMaxPeerFrameBytes) {
                owner->m_listener.onFault("peer_frames_oversized_total");
                incomingEnded(connection, BEV_EVENT_ERROR, self);
                return;
            }
            if (evbuffer_get_length(input) < sizeof(size) + size) {
                return;
            }
            evbuffer_drain(input, sizeof(size));
            std::string bytes(size, '\0');
            evbuffer_remove(input, bytes.data(), size);
            owner->m_listener.onMessage(std::move(bytes));
        }
    }

    static void incomingEnded(bufferevent *connection, short, void *self)
    {
        static_cast<implementation *>(self)->m_incoming.erase(connection);
        bufferevent_free(connection);
    }

    void sendFrame(const endpoint &target, const std::string &bytes)
    {
        outgoing &out = m_outgoing[target];
        if (out.connection == nullptr && !connect(out, target)) {
            m_outgoing.erase(target);
            return;
        }
        if (evbuffer_get_length(bufferevent_get_output(out.connection)) > kMaxQueuedBytes) {
            m_listener.onFault("peer_streams_stuck_total");
            close(out);
            return;
        }
        const std::string framed = frame(bytes);
        bufferevent_write(out.connection, framed.data(), framed.size());
    }

    bool connect(outgoing &out, const endpoint &target)
    {
        out.owner = this;
        out.target = target;
        out.connection = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_enable(out.connection, EV_READ | EV_WRITE);
        // A peer that takes no byte for this long has gone silent; the next message opens a new connection.
        constexpr timeval kWriteTimeout{5, 0};
        bufferevent_set_timeouts(out.connection, nullptr, &kWriteTimeout);
        socket_address address = toSocketAddress(target);
        if (bufferevent_socket_connect(out.connection, address.get(), static_cast<int>(address.size)) != 0) {
            bufferevent_free(out.connection);
            return false;
        }
        // Only now: a failure inside the call must not close the connection a second time.
        bufferevent_setcb(out.connection, nullptr, nullptr, &implementation::outgoingEvent, &out);
        return true;
    }

    static void outgoingEvent(bufferevent *, short what, void *argument)
    {
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            auto *out = static_cast<outgoing *>(argument);
            out->owner->close(*out);
        }
    }

    void close(const outgoing &out)
    {
        bufferevent_free(out.connection);
        const endpoint target = out.target;
        m_outgoing.erase(target);
    }

    event_base *m_base;
    peer_transport_listener m_listener;
    int m_datagramSocket = -1;
    ::event *m_datagramEvent = nullptr;
    evconnlistener *m_acceptor = nullptr;
    std::set<bufferevent *> m_incoming;
    std::map<endpoint, outgoing> m_outgoing;
};

peer_socket::peer_socket(event_base *base, peer_transport_listener listener)
    : m_impl(std::make_unique<implementation>(base, std::move(listener)))
{}

peer_socket::~peer_socket() = default;

absl::Status peer_socket::listen(const endpoint &where)
{
    return m_impl->listen(where);
}

std::uint16_t peer_socket::port() const
{
    return m_impl->port();
}

void peer_socket::send(const endpoint &target, peer_transport transport, const std::string &bytes)
{
    m_impl->send(target, transport, bytes);
}

} // namespace jacinthvale
