// The daemon's runtime with the adapter of the platform, on loopback sockets.
#include "node_pack.h"
#include "node_runtime.h"
#include "node_store_link.h"
#include "platform_port.h"

#include <arpa/inet.h>
#include <csignal>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace jacinthvale {

using namespace node;

namespace {

constexpr timeval kReceiveTimeout{15, 0};

/// Socket that is closed with the object.
class test_socket
{
public:
    test_socket()
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout, sizeof(kReceiveTimeout));
    }
    ~test_socket() { close(m_descriptor); }
    test_socket(const test_socket &) = delete;
    test_socket &operator=(const test_socket &) = delete;

    /// Binds to a free port of the loopback address. @returns the address.
    endpoint bindToFreePort() const
    {
        sockaddr_in address = loopback(0);
        EXPECT_EQ(bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
        socklen_t size = sizeof(address);
        getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        return {"127.0.0.1", ntohs(address.sin_port)};
    }
    void listen() const { ::listen(m_descriptor, SOMAXCONN); }
    bool connectTo(const endpoint &target) const
    {
        const sockaddr_in address = loopback(target.port);
        return connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }
    void send(const std::string &bytes) const
    {
        ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    /// Waits for bytes. @returns none after kReceiveTimeout or when the peer closed the connection.
    std::string receive() const
    {
        std::string buffer(4096, '\0');
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        buffer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return buffer;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    int m_descriptor;
};

/// @returns an address that was free a moment ago.
endpoint freeAddress()
{
    return test_socket().bindToFreePort();
}

std::string postOf(const std::string &path, const std::string &body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace

TEST(platform_runtime, peerThatHangsUpDoesNotAbandonTheCallOfAClient)
{
    // The store accepts connections and never answers, so that both requests stay open.
    test_socket silentStore;
    node_settings settings;
    settings.platform = silentStore.bindToFreePort();
    silentStore.listen();
    settings.entry = freeAddress();
    settings.readiness = freeAddress();
    settings.metrics = freeAddress();
    settings.identity.host = {"h1"};
    settings.identity.peer = freeAddress();
    settings.identity.stopGrace = milliseconds{3000};
    settings.maxHeaderBytes = 16 * 1024;
    settings.maxBodyBytes = 1024 * 1024;
    settings.logLinesPerKind = 100;
    node_runtime runtime(settings, platform::makePlatformPort());
    ASSERT_TRUE(runtime.start().ok());
    std::thread loop([&] { runtime.run(); });

    // Both requests are the first of their server.
    const test_socket client;
    ASSERT_TRUE(client.connectTo(settings.entry));
    client.send("GET /v1/lots/b1?after=0 HTTP/1.1\r\nHost: h\r\n\r\n");
    {
        const test_socket peer;
        ASSERT_TRUE(peer.connectTo(settings.identity.peer));
        peer.send(postOf(kRelayPath, pack(relay_request{"GET", "/v1/rows-get", "", 10'000})));
        // An answered readiness check shows that the event loop has read the earlier requests.
        const test_socket check;
        ASSERT_TRUE(check.connectTo(settings.readiness));
        check.send("GET /v1/readiness HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_TRUE(check.receive().starts_with("HTTP/1.1 503"));
    }
    EXPECT_TRUE(client.receive().starts_with("HTTP/1.1 50"));
    raise(SIGTERM);
    loop.join();
}

} // namespace jacinthvale
