/// Timeline: bounded ring of the events of a process, ordered causally across processes by a hybrid logical
/// clock.
#pragma once

#include <jacinthvale/types.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace jacinthvale {

/// Timestamp of a hybrid logical clock: wall time in milliseconds, then a counter.
struct hybrid_time
{
    std::int64_t wallMilliseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(wallMilliseconds, counter);
    }
};

/// Hybrid logical clock: an event has a later timestamp than the events that caused it.
class hybrid_clock
{
public:
    /// @returns the timestamp of a new local event.
    hybrid_time next(wall_time wallNow);

    /// Merges the timestamp of a received message. Timestamps more than kMaxAheadMilliseconds ahead are
    /// ignored, so that one host with a wrong clock does not advance the clocks of the others.
    void observe(const hybrid_time &remote, wall_time wallNow);

    static constexpr std::int64_t kMaxAheadMilliseconds = 60'000;

private:
    hybrid_time m_last;
};

/// Entry of the timeline.
struct timeline_entry
{
    hybrid_time time;
    std::uint64_t sequence = 0;
    host_id host;
    std::string role;
    incarnation_id incarnation;
    std::string eventName;
    std::string subject;
    std::string detail;

    auto operator<=>(const timeline_entry &) const = default;
};

/// @returns the entry as one JSON object.
std::string toJson(const timeline_entry &entry);

/// Ring of the newest entries. Counts the entries that it dropped.
class timeline_ring
{
public:
    explicit timeline_ring(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// Assigns a sequence number to the entry and stores it.
    /// @returns the stored entry.
    const timeline_entry &append(timeline_entry entry);

    /// @returns the entries with sequence > after and the given subject; an empty subject matches all.
    std::vector<timeline_entry> read(std::uint64_t after, const std::string &subject) const;

    /// @returns the number of dropped entries with sequence > after.
    std::uint64_t droppedAfter(std::uint64_t after) const;

    std::uint64_t lastSequence() const { return m_lastSequence; }

private:
    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::deque<timeline_entry> m_entries;
};

} // namespace jacinthvale
