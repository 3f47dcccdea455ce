#include <jacinthvale/requests_queue.h>

#include <algorithm>
#include <numeric>

namespace jacinthvale {

void fair_queue::push(call_number call, const caller_class_id &callerClass, double weight)
{
    // Callers choose the class names. To bound their number, classes are removed once they have no calls and
    // their next start is not ahead of the virtual time.
    std::erase_if(m_classes, [&](const auto &entry) {
        return entry.second.calls.empty() && entry.second.nextStart <= m_virtualTime;
    });
    class_queue &queue = m_classes[callerClass];
    if (queue.calls.empty()) {
        queue.nextStart = std::max(queue.nextStart, m_virtualTime);
    }
    queue.weight = std::max(weight, 1.0);
    queue.calls.push_back(call);
}

std::map<caller_class_id, fair_queue::class_queue>::const_iterator fair_queue::nextClass() const
{
    auto best = m_classes.end();
    for (auto queue = m_classes.begin(); queue != m_classes.end(); ++queue) {
        const bool hasCalls = !queue->second.calls.empty();
        if (hasCalls && (best == m_classes.end() || queue->second.nextStart < best->second.nextStart)) {
            best = queue;
        }
    }
    return best;
}

std::optional<call_number> fair_queue::front() const
{
    const auto queue = nextClass();
    return queue == m_classes.end() ? std::nullopt : std::optional(queue->second.calls.front());
}

void fair_queue::popFront()
{
    const auto nextEntry = nextClass();
    if (nextEntry == m_classes.end()) {
        return;
    }
    class_queue &queue = m_classes.at(nextEntry->first);
    queue.calls.pop_front();
    m_virtualTime = queue.nextStart;
    queue.nextStart += 1 / queue.weight;
}

void fair_queue::remove(call_number call)
{
    for (auto &[name, queue] : m_classes) {
        std::erase(queue.calls, call);
    }
}

std::size_t fair_queue::size() const
{
    return std::accumulate(
            m_classes.begin(), m_classes.end(), std::size_t{0},
            [](std::size_t sum, const auto &queue) { return sum + queue.second.calls.size(); });
}

double fair_queue::estimateCallsAhead(const caller_class_id &callerClass, double weight) const
{
    const auto ownClass = m_classes.find(callerClass);
    const double aheadInClass
            = ownClass == m_classes.end() ? 0 : static_cast<double>(ownClass->second.calls.size());
    const double rounds = (aheadInClass + 1) / std::max(weight, 1.0);
    double ahead = aheadInClass;
    for (const auto &[name, queue] : m_classes) {
        if (name != callerClass) {
            ahead += std::min(static_cast<double>(queue.calls.size()), rounds * queue.weight);
        }
    }
    return ahead;
}

} // namespace jacinthvale
