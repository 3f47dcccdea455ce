/// Time line: what a process did, in a bounded ring, ordered causally over processes by a hybrid logical
/// clock.
#pragma once

#include <jacinthvale/types.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace jacinthvale {

/// Time of a hybrid logical clock: wall time in milliseconds, then a counter.
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

/// Hybrid logical clock: an event that another one caused always gets the later time.
class hybrid_clock
{
public:
    /// @returns the time of a local event.
    hybrid_time next(wall_time wallNow);

    /// Takes in the time that a message carries. Times more than kMaxAheadMilliseconds ahead are ignored, so
    /// that one host with a wrong clock does not drag the others along.
    void observe(const hybrid_time &remote, wall_time wallNow);

    static constexpr std::int64_t kMaxAheadMilliseconds = 60'000;

private:
    hybrid_time m_last;
};

/// One entry of the time line.
struct timeline_entry
{
    hybrid_time time;
    std::uint64_t sequence = 0;
    host_id host;
    std::string role;
    incarnation_id incarnation;
    std::string what;
    std::string subject;
    std::string detail;

    auto operator<=>(const timeline_entry &) const = default;
};

/// @returns the entry as one JSON object.
std::string toJson(const timeline_entry &entry);

/// Keeps the newest entries and counts those that it dropped.
class timeline_ring
{
public:
    explicit timeline_ring(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// Gives the entry its sequence number and stores it.
    /// @returns the stored entry.
    const timeline_entry &append(timeline_entry entry);

    /// Entries with sequence > after whose subject is the given one; an empty subject means all.
    std::vector<timeline_entry> read(std::uint64_t after, const std::string &subject) const;

    /// @returns how many entries after the given sequence number are gone.
    std::uint64_t lostAfter(std::uint64_t after) const;

    std::uint64_t lastSequence() const { return m_lastSequence; }

private:
    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::deque<timeline_entry> m_entries;
};

} // namespace jacinthvale
