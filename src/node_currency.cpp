#include <jacinthvale/node_currency.h>

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// A bound of the store's clock lasts for one to two of these.
constexpr milliseconds kClockPeriod{30'000};

/// Drift of two clocks within two periods, and rounding.
constexpr std::uint64_t kClockTolerance = 50;

/// Part of a revocation bound that remains when keys are refused: a feed of changes may lag by 1 s, and a
/// request may wait for the processor after it was admitted.
constexpr milliseconds kRevocationReserve{1500};

/// Waits of a read within the revocation bound.
constexpr int kWaitsPerBound = 10;
constexpr milliseconds kMinWait{100};

} // namespace

void store_clock_bound::add(std::uint64_t storeMs, instant receivedAt)
{
    if (storeMs == 0) {
        return;
    }
    if (receivedAt >= m_periodEnd) {
        m_lastDifference = receivedAt < m_periodEnd + kClockPeriod ? m_difference : std::nullopt;
        m_difference.reset();
        m_periodEnd = receivedAt + kClockPeriod;
    }
    const std::int64_t difference
            = static_cast<std::int64_t>(storeMs) - receivedAt.time_since_epoch().count();
    m_difference = std::max(m_difference.value_or(difference), difference);
}

std::uint64_t store_clock_bound::leastAt(instant now) const
{
    const auto difference = std::max(m_difference, m_lastDifference);
    const std::int64_t least = difference ? *difference + now.time_since_epoch().count() : 0;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, least));
}

std::optional<instant> provenAt(const operators_reading &reading)
{
    if (reading.version < reading.knownVersion) {
        return std::nullopt;
    }
    if (reading.storeMs == 0 || reading.storeMs + kClockTolerance >= reading.leastStoreMs) {
        return reading.sentAt;
    }
    // The answer shows the table as it was before the read was sent.
    return reading.sentAt - milliseconds{reading.leastStoreMs - reading.storeMs};
}

bool configuration_evidence::add(const operators_reading &reading)
{
    const auto proven = provenAt(reading);
    m_currentAt = std::max(m_currentAt, proven);
    return proven.has_value();
}

std::optional<milliseconds> configuration_evidence::ageAt(instant now) const
{
    return m_currentAt ? std::optional(now - *m_currentAt) : std::nullopt;
}

milliseconds admissionLimit(milliseconds bound)
{
    return std::max(milliseconds{0}, bound - kRevocationReserve);
}

milliseconds operatorsPollWait(std::optional<milliseconds> bound, milliseconds usual)
{
    return bound ? std::min(usual, std::max(kMinWait, *bound / kWaitsPerBound)) : usual;
}

} // namespace jacinthvale::node
