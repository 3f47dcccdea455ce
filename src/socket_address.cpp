#include "socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace jacinthvale {

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

} // namespace jacinthvale
