/// Waiting requests of one pool of upstreams, in weighted fair order over caller classes.
#pragma once

#include <jacinthvale/types.h>

#include <deque>
#include <map>
#include <optional>

namespace jacinthvale {

/// Names one request inside this process.
using call_number = number_id<struct call_tag>;

/// FIFO within a caller class; between classes each gets its share of the turns (start-time fair queueing).
class fair_queue
{
public:
    /// @param share weight of the class, at least 1
    void push(call_number call, const caller_class_id &callerClass, double share);

    /// @returns the call whose turn it is.
    std::optional<call_number> front() const;

    /// Removes the front call and charges its class.
    void popFront();

    /// Removes a call wherever it waits; no class is charged.
    void remove(call_number call);

    std::size_t size() const;

    /// @returns how many calls are served before a new one of this class, if all classes keep coming.
    double callsAhead(const caller_class_id &callerClass, double share) const;

private:
    struct class_line
    {
        std::deque<call_number> calls;
        double share = 1;
        /// Virtual time at which its next call starts.
        double nextStart = 0;
    };

    std::map<caller_class_id, class_line>::const_iterator nextLine() const;

    std::map<caller_class_id, class_line> m_lines;
    double m_virtualTime = 0;
};

} // namespace jacinthvale
