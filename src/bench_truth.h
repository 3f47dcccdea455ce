/// Compares what callers were told with the runs that plain services counted.
#pragma once

#include "bench_tally.h"

#include <map>
#include <string>

namespace jacinthvale::bench {

/// What callers were told against what ran.
struct truth_tally
{
    std::uint64_t checked = 0;
    /// More than one run of one call.
    std::uint64_t doubled = 0;
    /// The verdict was not-run, and it ran.
    std::uint64_t untrueNotRun = 0;
    /// Answered, and no service ran it.
    std::uint64_t answeredWithoutRun = 0;

    bool holds() const { return doubled == 0 && untrueNotRun == 0 && answeredWithoutRun == 0; }
};

/// Adds one call.
/// @param runs how often services ran it.
void checkTruth(truth_tally &tally, call_outcome outcome, int runs);

/// Adds the bodies that one service ran to the runs known so far.
/// @param counters answer of the service's GET /counters.
/// @returns false where the answer is not such a count.
bool addRuns(std::map<std::string, int> &runsByBody, const std::string &counters);

} // namespace jacinthvale::bench
