#include <jacinthvale/timeline.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace jacinthvale {

hybrid_time hybrid_clock::next(wall_time wallNow)
{
    const std::int64_t nowMs = wallNow.time_since_epoch().count();
    if (nowMs > m_last.wallMilliseconds) {
        m_last = {nowMs, 0};
    } else {
        ++m_last.counter;
    }
    return m_last;
}

void hybrid_clock::observe(const hybrid_time &remote, wall_time wallNow)
{
    const std::int64_t nowMs = wallNow.time_since_epoch().count();
    if (remote.wallMilliseconds <= nowMs + kMaxAheadMilliseconds) {
        m_last = std::max(m_last, remote);
    }
}

std::string toJson(const timeline_entry &entry)
{
    const nlohmann::json object = {
            {"ms", entry.time.wallMilliseconds},
            {"counter", entry.time.counter},
            {"sequence", entry.sequence},
            {"host", entry.host.value},
            {"role", entry.role},
            {"incarnation", entry.incarnation.value},
            {"what", entry.eventName},
            {"subject", entry.subject},
            {"detail", entry.detail},
    };
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const timeline_entry &timeline_ring::append(timeline_entry entry)
{
    entry.sequence = ++m_lastSequence;
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_capacity) {
        m_entries.pop_front();
    }
    return m_entries.back();
}

std::vector<timeline_entry> timeline_ring::read(std::uint64_t after, const std::string &subject) const
{
    std::vector<timeline_entry> found;
    std::ranges::copy_if(m_entries, std::back_inserter(found), [&](const timeline_entry &entry) {
        return entry.sequence > after && (subject.empty() || entry.subject == subject);
    });
    return found;
}

std::uint64_t timeline_ring::droppedAfter(std::uint64_t after) const
{
    const std::uint64_t firstKept = m_lastSequence - m_entries.size() + 1;
    return firstKept > after + 1 ? firstKept - after - 1 : 0;
}

} // namespace jacinthvale
