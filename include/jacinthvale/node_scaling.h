/// Number of upstreams of services that are scaled by this system.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace jacinthvale::node {

/// Work that a daemon has for one service.
struct service_work
{
    /// Items of open batches without a complete text.
    std::uint64_t openItems = 0;
    /// Tokens that these are still expected to generate.
    double remainingTokens = 0;

    auto operator<=>(const service_work &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(openItems, remainingTokens);
    }
};

/// What a daemon tells the others of its work, in its advisory: one entry for each scaled service.
struct scaling_advisory
{
    std::map<std::string, service_work> work;

    auto operator<=>(const scaling_advisory &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(work);
    }
};

} // namespace jacinthvale::node
