/// Open-loop load of one class of callers on one variant.
#pragma once

#include "bench_answer.h"
#include "bench_arrivals.h"
#include "bench_loop.h"
#include "bench_tally.h"
#include "bench_targets.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// Sends each call at its intended start, whether or not earlier ones were answered.
class caller_load
{
public:
    caller_load(bench_loop &loop, caller_profile profile, const experiment &what,
                std::vector<endpoint> targets, std::uint64_t seed, std::string runName);

    void start() { scheduleNext(); }
    bool finished() const { return m_arrivalsOver && m_open.empty(); }
    /// Counts calls that are still open as unanswered.
    void giveUp();

    const caller_profile &profile() const { return m_profile; }
    /// One entry a phase.
    const std::vector<call_tally> &tallies() const { return m_tallies; }
    /// How each service call ended, by its body.
    const std::map<std::string, call_outcome> &outcomesByBody() const { return m_outcomes; }

private:
    struct open_call
    {
        arrival intended;
        std::string body;
        std::string received;
        std::string ticket;
        int attempts = 0;
        int unreachable = 0;
        std::int64_t firstByteAt = 0;
        /// An attempt ended without proof that it did not run.
        bool uncertain = false;
    };
    using call_pointer = std::shared_ptr<open_call>;

    void scheduleNext();
    void begin(const arrival &intended);
    std::string makeBody(const arrival &intended) const;
    void send(const call_pointer &call);
    void drawTicket(const call_pointer &call);
    void sendAttempt(const call_pointer &call);
    call_http makeCall(const open_call &call) const;
    const endpoint &targetOf(const open_call &call) const;
    void attemptFinished(const call_pointer &call, const http_call_finished &result);
    bool mayRetry(const open_call &call, attempt_result result) const;
    void retry(const call_pointer &call, const http_call_finished &result);
    void finish(const open_call &call, attempt_result result);
    call_outcome outcomeOf(const open_call &call, attempt_result result) const;
    milliseconds leftOf(const open_call &call) const;

    bench_loop &m_loop;
    caller_profile m_profile;
    std::vector<endpoint> m_targets;
    std::string m_runName;
    arrival_schedule m_schedule;
    std::vector<call_tally> m_tallies;
    std::map<std::uint64_t, call_pointer> m_open;
    std::map<std::string, call_outcome> m_outcomes;
    bool m_arrivalsOver = false;
};

} // namespace jacinthvale::bench
