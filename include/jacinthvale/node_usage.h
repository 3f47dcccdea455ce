/// Usage: requests of each account that upstreams began, by windows of true time.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace jacinthvale::node {

/// What a daemon tells the others of its usage, in its advisory. Bounded by the accounts with requests in the
/// last windows: about 20 bytes for each.
struct usage_advisory
{
    /// Time of day of this host minus the store's clock, in ms; 0 if unknown.
    std::int64_t wallOffsetMs = 0;
    /// Store time in ms up to which the counts are complete.
    std::uint64_t completeUntilMs = 0;
    /// Requests by window and account.
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> counts;

    auto operator<=>(const usage_advisory &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(wallOffsetMs, completeUntilMs, counts);
    }
};

} // namespace jacinthvale::node
