/// Usage: requests of each account that upstreams began, by windows of true time.
///
/// True time is the store's clock, which is steady and common to all daemons, plus the median of what the
/// hosts' clocks show beyond it: some of them may be wrong by seconds or jump.
#pragma once

#include <jacinthvale/node_duties.h>

#include <optional>

namespace jacinthvale::node {

/// Requests by account.
using usage_counts = std::map<std::string, std::uint64_t>;

/// Bound of the counts in one row, in bytes as of usageBytes().
inline constexpr std::size_t kMaxUsageBytes = 40'000;

/// @returns the size of counts in a row: 16 bytes and the name for each account.
std::size_t usageBytes(const usage_counts &counts);

/// What a daemon tells the others of its usage, in its advisory. The counts take at most kMaxUsageBytes.
struct usage_advisory
{
    /// Time of day of this host minus the store's clock, in ms; nullopt if unknown.
    std::optional<std::int64_t> clockOffsetMs;
    /// Requests by window and account.
    std::map<std::uint64_t, usage_counts> counts;

    auto operator<=>(const usage_advisory &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(clockOffsetMs, counts);
    }
};

/// Usage as this process knows it.
struct usage_state
{
    /// Counts of the former process of this host, until they are in the own advisory.
    std::map<std::uint64_t, usage_counts> former;
    /// True time minus the store's clock, in ms; nullopt if unknown.
    std::optional<std::int64_t> clockOffsetMs;
};

/// @returns the median of the offsets of the hosts' clocks; nullopt without any.
std::optional<std::int64_t> medianOffset(std::vector<std::int64_t> offsets);

/// @returns the window that contains a true time.
std::uint64_t windowAt(std::uint64_t trueMs, const duty_settings &settings);

/// @returns the first window whose report is not overdue.
std::uint64_t firstWindowDue(std::uint64_t trueMs, const duty_settings &settings);

/// What is known of the counts of a daemon. Times are true times in ms.
struct usage_evidence
{
    /// Its counts up to this time have arrived.
    std::uint64_t toldUntilMs = 0;
    bool isAlive = false;
};

/// @returns true if the counts of a daemon for a window are in, or known lost because it ended before.
bool isAccountedFor(const usage_evidence &daemon, std::uint64_t window, const duty_settings &settings);

/// @returns true if the report of a window has to be fixed without the counts of some daemons, so that enough
/// time is left to send it, also for a successor.
bool isPressing(std::uint64_t window, std::uint64_t trueMs, const duty_settings &settings);

/// Adds counts to others.
void addUsage(usage_counts &total, const usage_counts &added);

} // namespace jacinthvale::node
