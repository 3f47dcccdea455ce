/// Waiting requests of one pool of upstreams, in weighted fair order over caller classes.
#pragma once

#include <jacinthvale/types.h>

#include <deque>
#include <map>
#include <optional>

namespace jacinthvale {

/// Identifies one request inside this process.
using call_number = number_id<struct call_tag>;

/// Serves calls in FIFO order within a caller class and shares the service between the classes by weight
/// (start-time fair queueing).
class fair_queue
{
public:
    /// @param weight relative share of the class; values below 1 count as 1
    void push(call_number call, const caller_class_id &callerClass, double weight);

    /// @returns the call to serve next, if any waits.
    std::optional<call_number> front() const;

    /// Removes the front call and advances the virtual time of its class.
    void popFront();

    /// Removes a call at any position without advancing a virtual time.
    void remove(call_number call);

    std::size_t size() const;

    /// @returns the estimated number of calls served before a new one of this class, if all classes stay
    /// busy.
    double estimateCallsAhead(const caller_class_id &callerClass, double weight) const;

private:
    struct class_queue
    {
        std::deque<call_number> calls;
        double weight = 1;
        /// Virtual start time of the next call of the class.
        double nextStart = 0;
    };

    std::map<caller_class_id, class_queue>::const_iterator nextClass() const;

    std::map<caller_class_id, class_queue> m_classes;
    double m_virtualTime = 0;
};

} // namespace jacinthvale
