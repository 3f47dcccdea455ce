/// Addresses in the form that the system calls take.
#pragma once

#include <jacinthvale/types.h>

#include <sys/socket.h>

namespace jacinthvale {

struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    sockaddr *get() { return reinterpret_cast<sockaddr *>(&storage); }
};

/// @returns an address of size 0 if it is not an IP address.
socket_address toSocketAddress(const endpoint &where);

/// @returns the port that a socket is bound to.
std::uint16_t boundPort(int socket);

} // namespace jacinthvale
