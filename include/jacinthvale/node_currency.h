/// Evidence that the configuration of a daemon was current, and for how long it admits keys.
///
/// The evidence is an answered read of the operators' table: the table had no later rows when the read was
/// sent. Only the clock of this daemon counts, which goes on while the host is suspended.
#pragma once

#include <jacinthvale/types.h>

#include <optional>

namespace jacinthvale::node {

/// Lower bound of the store's clock, from the answers of the last minute. Older answers are dropped, because
/// the clocks of host and store drift apart.
class store_clock_bound
{
public:
    /// Records the store's clock as an answer told it.
    void add(std::uint64_t storeMs, instant receivedAt);
    /// @returns the least value in ms that the store's clock can have; 0 if unknown.
    std::uint64_t leastAt(instant now) const;

    auto operator<=>(const store_clock_bound &) const = default;

private:
    /// Largest difference of the store's clock and the own one in the current and in the last period.
    std::optional<std::int64_t> m_difference;
    std::optional<std::int64_t> m_lastDifference;
    instant m_periodEnd{};
};

/// A read of the operators' table that was answered.
struct operators_reading
{
    instant sentAt{};
    /// Version of the table that this daemon had when it sent the read.
    std::uint64_t knownVersion = 0;
    /// Least value of the store's clock when the read was sent; 0 if unknown.
    std::uint64_t leastStoreMs = 0;
    /// Version and clock in the answer; 0 if the answer has no clock.
    std::uint64_t version = 0;
    std::uint64_t storeMs = 0;
};

/// @returns the time at which the table had no rows later than those that the reading returned; nullopt if
/// the answer is older than what this daemon knew.
std::optional<instant> provenAt(const operators_reading &reading);

/// Latest time at which the configuration of this daemon is known to have been current.
class configuration_evidence
{
public:
    /// Adds a reading; an older one than the best so far changes nothing. @returns false if it proves
    /// nothing.
    bool add(const operators_reading &reading);
    /// @returns nullopt before the first reading.
    std::optional<milliseconds> ageAt(instant now) const;

    auto operator<=>(const configuration_evidence &) const = default;

private:
    std::optional<instant> m_currentAt;
};

/// @returns the greatest age of the evidence that admits keys, so that none is accepted later than `bound`
/// after a configuration without it.
milliseconds admissionLimit(milliseconds bound);

/// @returns the time that reads of the operators' table wait for a change. Short enough that the evidence
/// survives a lost answer.
milliseconds operatorsPollWait(std::optional<milliseconds> bound, milliseconds usual);

} // namespace jacinthvale::node
