// Samples domain: hands each event to the part that it concerns.
#include <jacinthvale/samples.h>

#include "overloaded.h"
#include "samples_calls.h"
#include "samples_commit.h"
#include "samples_generate.h"
#include "samples_lease.h"
#include "samples_pull.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

/// Runs a function on the session of an operation, where there still is one.
template <typename Handler>
void withSession(samples_step &step, const trainer_id &trainer, Handler handler)
{
    const auto found = step.state.sessions.find(trainer);
    if (found != step.state.sessions.end()) {
        handler(found->second);
    }
}

template <typename Handler>
void withRun(samples_step &step, std::uint64_t number, Handler handler)
{
    const auto found = step.state.generations.find(number);
    if (found != step.state.generations.end()) {
        handler(found->second);
    }
}

/// Hands the outcome of a store operation to the part that began it.
struct store_dispatch
{
    samples_step &step;
    const store_outcome &outcome;

    void operator()(const head_scan &) const { finishScan(step, outcome); }
    void operator()(const head_read &e) const
    {
        withSession(step, e.trainer, [&](trainer_session &s) { finishHeadRead(step, s, outcome); });
    }
    void operator()(const lease_acquisition &e) const
    {
        withSession(step, e.trainer, [&](trainer_session &s) { finishAcquisition(step, s, outcome); });
    }
    void operator()(const row_load &e) const
    {
        withSession(step, e.trainer, [&](trainer_session &s) { finishLoad(step, s, outcome); });
    }
    void operator()(const payload_put &e) const
    {
        withSession(step, e.trainer, [&](trainer_session &s) { finishPut(step, s, outcome); });
    }
    void operator()(const payload_read &e) const
    {
        withSession(step, e.trainer,
                    [&](trainer_session &s) { finishPayloadRead(step, s, e.object, outcome); });
    }
    void operator()(const ledger_commit &e) const
    {
        withSession(step, e.trainer, [&](trainer_session &s) { finishCommit(step, s, outcome); });
    }
    void operator()(const generation_stream &) const {}
    void operator()(const generation_scoring &) const {}
    void operator()(const engine_probe &) const {}
};

std::optional<samples_operation> takeOperation(samples_step &step, operation_id id)
{
    auto node = step.state.operations.extract(id.number);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

std::uint64_t streamOf(const samples_step &step, operation_id id)
{
    const auto found = step.state.operations.find(id.number);
    const auto *stream
            = found == step.state.operations.end() ? nullptr : std::get_if<generation_stream>(&found->second);
    return stream == nullptr ? 0 : stream->generation;
}

void finishHttp(samples_step &step, const http_call_finished &result)
{
    const std::optional<samples_operation> what = takeOperation(step, result.operation);
    if (!what) {
        return;
    }
    if (const auto *stream = std::get_if<generation_stream>(&*what)) {
        withRun(step, stream->generation, [&](generation &run) { finishStream(step, run, result); });
    } else if (const auto *scoring = std::get_if<generation_scoring>(&*what)) {
        withRun(step, scoring->generation, [&](generation &run) { finishScoring(step, run, result); });
    } else if (const auto *probe = std::get_if<engine_probe>(&*what)) {
        finishProbe(step, probe->engine, result);
    }
}

void beginStop(samples_step &step)
{
    step.state.stopping = true;
    step.state.stopDeadline = step.at.now + step.duration("samples.stopDrainMs");
    for (auto &[id, session] : step.state.sessions) {
        if (session.pull) {
            answerEmpty(step, *session.pull);
            session.pull.reset();
        }
    }
}

bool isIdle(const trainer_session &session)
{
    return session.phase == lease_phase::elsewhere || session.phase == lease_phase::unknown;
}

/// Hands leases back once their generations ended or the time for that is over.
void advanceStop(samples_step &step)
{
    samples_state &state = step.state;
    if (!state.stopping || state.drained) {
        return;
    }
    for (auto &[id, session] : state.sessions) {
        const bool finished = session.running.empty() || step.at.now >= state.stopDeadline;
        session.releasing = session.releasing || (session.phase == lease_phase::holding && finished);
    }
    const bool idle = std::ranges::all_of(state.sessions, [&](const auto &item) {
        return isIdle(item.second) && item.second.waiting.empty();
    });
    if (idle && state.forwarded.empty()) {
        state.drained = true;
        step.emit(raise_domain_event{domain_drained{domain::samples}});
    }
}

void takeNotice(samples_step &step, const domain_event &what)
{
    std::visit(overloaded{[&](const config_activated &e) { step.state.config = e.document; },
                          [&](const upstream_changed &e) { noteUpstream(step, e); },
                          [&](const peer_changed &e) { notePeer(step, e.view); },
                          [&](const shutdown_started &) { beginStop(step); }, [](const auto &) {}},
               what);
}

void takeEvent(samples_step &step, const event &what)
{
    std::visit(overloaded{
                       [&](const http_request_received &e) { receiveCall(step, e); },
                       [&](const http_exchange_abandoned &e) { abandonCall(step, e.exchange); },
                       [&](const http_response_head &e) {
                           withRun(step, streamOf(step, e.operation),
                                   [&](generation &run) { receiveHead(step, run, e); });
                       },
                       [&](const http_response_chunk &e) {
                           withRun(step, streamOf(step, e.operation),
                                   [&](generation &run) { receiveChunk(step, run, e); });
                       },
                       [&](const http_call_finished &e) { finishHttp(step, e); },
                       [&](const store_call_finished &e) {
                           if (const auto operation = takeOperation(step, e.operation)) {
                               std::visit(store_dispatch{step, e.outcome}, *operation);
                           }
                       },
                       [&](const peer_message_received &e) { receivePeer(step, e); },
                       [&](const domain_event_raised &e) { takeNotice(step, e.payload); },
                       [&](const tick &) {
                           expireCalls(step);
                           watchLeases(step);
                           scheduleSpares(step);
                       },
                       [](const auto &) {},
               },
               what);
}

std::string_view toString(lease_phase phase)
{
    switch (phase) {
    case lease_phase::unknown:
    case lease_phase::reading:
        return "unknown";
    case lease_phase::acquiring:
    case lease_phase::loading:
        return "loading";
    case lease_phase::holding:
        return "holding";
    case lease_phase::elsewhere:
        return "elsewhere";
    }
    return "";
}

nlohmann::json describeSession(const trainer_session &session)
{
    return {{"phase", toString(session.phase)},
            {"holder", session.phase == lease_phase::holding ? session.ledger.head.holder.value
                                                             : session.observedHead.holder.value},
            {"epoch", session.ledger.head.epoch.value},
            {"version", session.version.value},
            {"groups", session.ledger.groups.size()},
            {"lastCursor", session.ledger.head.lastCursor},
            {"acknowledged", session.ledger.head.acknowledged},
            {"queued", session.queue.size()},
            {"running", session.running.size()},
            {"uncommitted", session.uncommitted.size()},
            {"uncommittedBytes", session.uncommittedBytes},
            {"payloadBytes", session.payloadBytes}};
}

} // namespace

std::string samples_step::uniqueId()
{
    return absl::StrFormat("%016x-%d", state.self.incarnation.value, ++state.lastNumber);
}

effects reduceSamples(samples_state &state, const event &what, const context &at)
{
    samples_step step{state, at, {}};
    takeEvent(step, what);
    const bool quiet = std::holds_alternative<http_response_chunk>(what)
                       || std::holds_alternative<http_response_head>(what);
    if (state.self.role == process_role::rollout && !quiet) {
        advanceStop(step);
        for (auto &[id, session] : state.sessions) {
            pumpSession(step, session);
        }
        scheduleGenerations(step);
        probeEngines(step);
        scheduleScoring(step);
    } else if (state.stopping && !state.drained) {
        state.drained = true;
        step.emit(raise_domain_event{domain_drained{domain::samples}});
    }
    return std::move(step.produced);
}

std::string describeSamples(const samples_state &state, const context &at)
{
    static_cast<void>(at);
    nlohmann::json trainers = nlohmann::json::object();
    for (const auto &[id, session] : state.sessions) {
        trainers[id.value] = describeSession(session);
    }
    return nlohmann::json{{"trainers", std::move(trainers)},
                          {"engines", state.engines.size()},
                          {"scorers", state.scorers.size()},
                          {"generations", state.generations.size()},
                          {"forwarded", state.forwarded.size()}}
            .dump();
}

} // namespace jacinthvale
