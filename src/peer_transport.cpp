#include "peer_transport.h"

#include "socket_address.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthvale {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65507;
constexpr int kPortTries = 16;
constexpr milliseconds kPeerIdle{3'600'000};
/// Unsent bytes towards one peer after which its connection is given up.
constexpr std::size_t kMaxQueuedBytes = 32 * 1024 * 1024;

std::string frame(const std::string &bytes)
{
    const std::uint32_t size = htonl(static_cast<std::uint32_t>(bytes.size()));
    return std::string(reinterpret_cast<const char *>(&size), sizeof(size)) + bytes;
}

} // namespace

class peer_socket::implementation final : public connection_group
{
public:
    implementation(event_base *base, connection_guard &guard, peer_transport_listener listener)
        : m_base(base)
        , m_guard(guard)
        , m_listener(std::move(listener))
    {
        m_guard.add(*this);
    }

    ~implementation() override
    {
        m_guard.remove(*this);
        while (!m_incoming.empty()) {
            closeIncoming(m_incoming.begin()->second);
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

    // connection_group

    const std::string &name() const override { return m_name; }

    connection_times times() const override
    {
        connection_times times;
        // Peers keep connections open between messages.
        times.idle = kPeerIdle;
        return times;
    }

    std::vector<connection_view> views() const override
    {
        std::vector<connection_view> views;
        for (const auto &[id, in] : m_incoming) {
            const std::size_t arrived = evbuffer_get_length(bufferevent_get_input(in.connection));
            views.push_back({id, in.stage, in.wanted, in.wanted - std::min(in.wanted, arrived), arrived,
                             in.since, in.progressAt});
        }
        return views;
    }

    void carryOut(const connection_verdict &verdict) override
    {
        if (const auto found = m_incoming.find(verdict.id); found != m_incoming.end()) {
            m_guard.reportEnd(m_name, verdict.reason);
            closeIncoming(found->second);
        }
    }

    void resumeWaiting() override
    {
        std::vector<connection_id> waiting;
        for (const auto &[id, in] : m_incoming) {
            if (in.stage == connection_stage::waiting) {
                waiting.push_back(id);
            }
        }
        for (const connection_id id : waiting) {
            if (const auto found = m_incoming.find(id); found != m_incoming.end()) {
                takeFrames(found->second);
            }
        }
    }

    void resumeAccepting() override
    {
        if (m_paused && m_guard.makePlace(*this, m_incoming.size())) {
            m_paused = false;
            evconnlistener_enable(m_acceptor);
        }
    }

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
        evconnlistener_set_error_cb(m_acceptor, &implementation::acceptFailed);
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

    struct incoming
    {
        implementation *owner = nullptr;
        connection_id id;
        bufferevent *connection = nullptr;
        connection_stage stage = connection_stage::idle;
        /// Bytes of the frame that arrives.
        std::size_t wanted = 0;
        std::size_t claimed = 0;
        instant since{};
        instant progressAt{};
    };

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
        const connection_id id = owner->m_guard.open();
        incoming &in = owner->m_incoming[id];
        in.owner = owner;
        in.id = id;
        in.since = connection_guard::now();
        in.progressAt = in.since;
        in.connection = bufferevent_socket_new(owner->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(in.connection, &implementation::frameBytesReady, nullptr,
                          &implementation::incomingEnded, &in);
        bufferevent_enable(in.connection, EV_READ);
        if (!owner->m_guard.makePlace(*owner, owner->m_incoming.size())) {
            owner->pause();
        }
    }

    static void acceptFailed(evconnlistener *, void *self)
    {
        auto *owner = static_cast<implementation *>(self);
        owner->m_guard.reportEnd(owner->m_name, "accept_failed");
        owner->pause();
    }

    void pause()
    {
        m_paused = true;
        evconnlistener_disable(m_acceptor);
        m_guard.lookSoon();
    }

    static void frameBytesReady(bufferevent *, void *argument)
    {
        auto *in = static_cast<incoming *>(argument);
        in->progressAt = connection_guard::now();
        in->owner->takeFrames(*in);
    }

    /// Delivers complete frames. A frame is read on only once there is room for all of it.
    void takeFrames(incoming &in)
    {
        evbuffer *input = bufferevent_get_input(in.connection);
        std::uint32_t size = 0;
        while (evbuffer_copyout(input, &size, sizeof(size)) == sizeof(size)) {
            size = ntohl(size);
            if (size > std::min<std::size_t>(kMaxPeerFrameBytes, m_guard.largestClaim())) {
                m_listener.onFault("peer_frames_oversized_total");
                closeIncoming(in);
                return;
            }
            if (in.stage != connection_stage::body && !claimFrame(in, size)) {
                return;
            }
            if (evbuffer_get_length(input) < sizeof(size) + size) {
                return;
            }
            evbuffer_drain(input, sizeof(size));
            std::string bytes(size, '\0');
            evbuffer_remove(input, bytes.data(), size);
            m_guard.release(std::exchange(in.claimed, 0));
            enter(in, connection_stage::idle);
            m_listener.onMessage(std::move(bytes));
        }
    }

    /// @returns false if the frame has to wait for room.
    bool claimFrame(incoming &in, std::size_t size)
    {
        in.wanted = size;
        if (!m_guard.claim(size)) {
            if (in.stage != connection_stage::waiting) {
                enter(in, connection_stage::waiting);
                bufferevent_disable(in.connection, EV_READ);
            }
            m_guard.lookSoon();
            return false;
        }
        in.claimed = size;
        if (in.stage == connection_stage::waiting) {
            bufferevent_enable(in.connection, EV_READ);
        }
        enter(in, connection_stage::body);
        return true;
    }

    static void enter(incoming &in, connection_stage stage)
    {
        in.stage = stage;
        in.since = connection_guard::now();
        in.progressAt = in.since;
    }

    static void incomingEnded(bufferevent *, short, void *argument)
    {
        auto *in = static_cast<incoming *>(argument);
        in->owner->closeIncoming(*in);
    }

    void closeIncoming(const incoming &in)
    {
        bufferevent_free(in.connection);
        m_guard.closed(in.claimed);
        const connection_id id = in.id;
        m_incoming.erase(id);
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
    connection_guard &m_guard;
    const std::string m_name = "peer";
    peer_transport_listener m_listener;
    int m_datagramSocket = -1;
    ::event *m_datagramEvent = nullptr;
    evconnlistener *m_acceptor = nullptr;
    bool m_paused = false;
    std::map<connection_id, incoming> m_incoming;
    std::map<endpoint, outgoing> m_outgoing;
};

peer_socket::peer_socket(event_base *base, connection_guard &guard, peer_transport_listener listener)
    : m_impl(std::make_unique<implementation>(base, guard, std::move(listener)))
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
