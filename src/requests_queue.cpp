#include <jacinthvale/requests_queue.h>

#include <algorithm>
#include <numeric>

namespace jacinthvale {

void fair_queue::push(call_number call, const caller_class_id &callerClass, double share)
{
    // Classes are named by callers: those without calls and without debt are forgotten.
    std::erase_if(m_lines, [&](const auto &entry) {
        return entry.second.calls.empty() && entry.second.nextStart <= m_virtualTime;
    });
    class_line &line = m_lines[callerClass];
    if (line.calls.empty()) {
        line.nextStart = std::max(line.nextStart, m_virtualTime);
    }
    line.share = std::max(share, 1.0);
    line.calls.push_back(call);
}

std::map<caller_class_id, fair_queue::class_line>::const_iterator fair_queue::nextLine() const
{
    auto best = m_lines.end();
    for (auto line = m_lines.begin(); line != m_lines.end(); ++line) {
        const bool waits = !line->second.calls.empty();
        if (waits && (best == m_lines.end() || line->second.nextStart < best->second.nextStart)) {
            best = line;
        }
    }
    return best;
}

std::optional<call_number> fair_queue::front() const
{
    const auto line = nextLine();
    return line == m_lines.end() ? std::nullopt : std::optional(line->second.calls.front());
}

void fair_queue::popFront()
{
    const auto next = nextLine();
    if (next == m_lines.end()) {
        return;
    }
    class_line &line = m_lines.at(next->first);
    line.calls.pop_front();
    m_virtualTime = line.nextStart;
    line.nextStart += 1 / line.share;
}

void fair_queue::remove(call_number call)
{
    for (auto &[name, line] : m_lines) {
        std::erase(line.calls, call);
    }
}

std::size_t fair_queue::size() const
{
    return std::accumulate(m_lines.begin(), m_lines.end(), std::size_t{0},
                           [](std::size_t sum, const auto &line) { return sum + line.second.calls.size(); });
}

double fair_queue::callsAhead(const caller_class_id &callerClass, double share) const
{
    const auto own = m_lines.find(callerClass);
    const double before = own == m_lines.end() ? 0 : static_cast<double>(own->second.calls.size());
    const double turns = (before + 1) / std::max(share, 1.0);
    double ahead = before;
    for (const auto &[name, line] : m_lines) {
        if (name != callerClass) {
            ahead += std::min(static_cast<double>(line.calls.size()), turns * line.share);
        }
    }
    return ahead;
}

} // namespace jacinthvale
