// The platform's endpoint for calls of duties, and the rules that it checks.
#include "node_simulation.h"

#include <algorithm>

namespace jacinthvale::test {

using namespace node;

namespace {

/// Unix time at the start of the simulation's clock.
constexpr milliseconds kEpoch{1'800'000'000'000};

/// Longest time from the sending of a call to its arrival: it may have to wait for a connection.
constexpr int kMaxTransitMs = 300;

} // namespace

wall_time node_simulation::wallTimeOf(std::size_t daemon) const
{
    return wall_time{kEpoch + m_now.time_since_epoch() + m_daemons.at(daemon).clockOffset};
}

std::uint64_t node_simulation::trueWindow() const
{
    return static_cast<std::uint64_t>((kEpoch + m_now.time_since_epoch()) / m_dutySettings->usageWindow);
}

std::optional<std::size_t> node_simulation::dutyHolder() const
{
    const auto found = std::ranges::find_if(m_daemons, [](const simulated_process &candidate) {
        return candidate.up && candidate.state->duties.lease.held;
    });
    return found == m_daemons.end() ? std::nullopt
                                    : std::optional(static_cast<std::size_t>(found - m_daemons.begin()));
}

void node_simulation::recordBegun(const client_call &call)
{
    if (m_dutySettings && call.account && !call.account->empty() && m_begun.insert(call.id.value).second) {
        ++m_trueUsage[trueWindow()][call.account->value];
    }
}

void node_simulation::callDuty(std::size_t daemon, const node::call_duty &call)
{
    const std::uint64_t generation = m_daemons.at(daemon).generation;
    schedule(m_now + draw(1, kMaxTransitMs), [=, this] {
        if (m_dutyBehaviour == duty_behaviour::silent) {
            deliverAfter(daemon, milliseconds{800}, call_ended{call.op, call_end::timed_out, 0, {}, {}});
            return;
        }
        checkDutyCall(daemon, generation, call);
        if (m_dutyBehaviour == duty_behaviour::limits) {
            deliver(daemon, generation, call_ended{call.op, call_end::failed, 429, {}, {}});
            return;
        }
        if (const auto *report = std::get_if<usage_report>(&call.call)) {
            m_usageReports.try_emplace(report->window, report->counts);
        }
        if (m_dutyBehaviour == duty_behaviour::loses_answers) {
            deliverAfter(daemon, milliseconds{800}, call_ended{call.op, call_end::timed_out, 0, {}, {}});
            return;
        }
        deliver(daemon, generation, call_ended{call.op, call_end::complete, 200, {}, "rubbish"});
    });
}

void node_simulation::checkDutyCall(std::size_t daemon, std::uint64_t generation, const call_duty &call)
{
    ++m_dutyCalls;
    const std::string text = "duty call of " + call.holder.value + " with fencing number "
                             + std::to_string(call.fencing.value);
    if (!m_dutyTurns.empty() && call.fencing < m_dutyTurns.back().fencing) {
        addViolation(text + " after " + std::to_string(m_dutyTurns.back().fencing.value));
    }
    const bool isNewTurn = m_dutyTurns.empty() || m_dutyTurns.back().daemon != daemon
                           || m_dutyTurns.back().generation != generation;
    if (isNewTurn) {
        if (!m_dutyTurns.empty() && m_dutyTurns.back().fencing == call.fencing) {
            addViolation(text + ", which another holder used");
        }
        const bool isReturn
                = !m_dutyTurns.empty() && m_dutyTurns.back().daemon != daemon
                  && std::ranges::any_of(m_dutyTurns, [&](const duty_turn &turn) {
                         return turn.daemon == daemon && m_now - turn.lastCallAt < kSimulationLeaseTime;
                     });
        if (isReturn) {
            addViolation(text + " within the lease time after its turn before another holder");
        }
        m_dutyTurns.push_back({daemon, generation, {}, {}});
    }
    m_dutyTurns.back().fencing = call.fencing;
    m_dutyTurns.back().lastCallAt = m_now;
    if (const auto *report = std::get_if<usage_report>(&call.call)) {
        const auto [first, isFirst] = m_sentReports.try_emplace(report->window, report->counts);
        if (!isFirst && first->second != report->counts) {
            addViolation("two reports for window " + std::to_string(report->window));
        }
    }
}

} // namespace jacinthvale::test
