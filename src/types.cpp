#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>
#include <jacinthvale/types.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jacinthvale {

namespace {

bool isIpAddress(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1 || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

} // namespace

std::string toString(const endpoint &value)
{
    return value.address + ":" + std::to_string(value.port);
}

endpoint parseEndpoint(const std::string &text)
{
    constexpr int kMaxPort = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    int port = 0;
    const std::string address = text.substr(0, colon);
    const bool parsed = absl::SimpleAtoi(text.substr(colon + 1), &port);
    if (!parsed || port < 0 || port > kMaxPort || !isIpAddress(address)) {
        return {};
    }
    return {address, static_cast<std::uint16_t>(port)};
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool header_less::operator()(std::string_view left, std::string_view right) const
{
    return std::ranges::lexicographical_compare(left, right, {}, absl::ascii_tolower, absl::ascii_tolower);
}

std::string_view toString(process_role role)
{
    switch (role) {
    case process_role::gate:
        return "gate";
    case process_role::rollout:
        return "rollout";
    case process_role::fleet:
        return "fleet";
    }
    return "unknown";
}

} // namespace jacinthvale
