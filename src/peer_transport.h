/// Sends and receives messages of peers over UDP and TCP.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/peer_codec.h>

#include "connection_guard.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

struct event_base;

namespace jacinthvale {

inline constexpr std::uint32_t kMaxPeerFrameBytes = 16 * 1024 * 1024;

/// Receives what arrives.
struct peer_transport_listener
{
    /// Raw bytes of one message, not yet checked.
    std::function<void(std::string bytes)> onMessage;
    /// A frame was refused or a socket failed; the word names a counter.
    std::function<void(const std::string &counter)> onFault;
};

/// One UDP socket and one TCP listener on the same port, and outgoing TCP connections by target.
class peer_socket
{
public:
    /// @remarks base and guard must outlive the socket.
    peer_socket(event_base *base, connection_guard &guard, peer_transport_listener listener);
    ~peer_socket();
    peer_socket(const peer_socket &) = delete;
    peer_socket &operator=(const peer_socket &) = delete;

    absl::Status listen(const endpoint &where);
    std::uint16_t port() const;

    /// Sends one message. Failures are silent: peers' protocols bear loss.
    void send(const endpoint &target, peer_transport transport, const std::string &bytes);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace jacinthvale
