// Choice of slot and engine: fair shares among trainers, nearest step first, spare copies of stragglers.
#include "samples_generate.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace jacinthvale {

namespace {

constexpr double kPercent = 100.0;

/// Reported load counts less the older the report is.
double discountedLoad(const samples_step &step, const engine_record &engine)
{
    constexpr double kHalfLifeMs = 1000.0;
    const double age = static_cast<double>((step.at.now - engine.view.reportedAt).count());
    const double reported = engine.view.running + engine.view.queued;
    return engine.inFlight + std::max(0.0, reported - engine.inFlight) * kHalfLifeMs / (kHalfLifeMs + age);
}

bool takesWork(const samples_step &step, const trainer_session &session, const engine_record &engine,
               const model_id &model)
{
    if (engine.view.condition != upstream_condition::serving || engine.suspendedUntil > step.at.now
        || engine.inFlight >= step.setting("samples.maxInFlightPerEngine") || !engine.status
        || engine.status->leaving || engine.unclear.contains(model)) {
        return false;
    }
    const auto weights = engine.status->models.find(model);
    return weights != engine.status->models.end() && weights->second.versionKnown
           && weights->second.version.value + step.stalenessBound(session.trainer) >= session.version.value;
}

std::size_t countRunning(const trainer_session &session)
{
    std::size_t count = 0;
    for (const auto &[slot, numbers] : session.running) {
        count += numbers.size();
    }
    return count;
}

/// A session that may start a generation.
struct candidate
{
    trainer_session *session;
    std::size_t running;
};

/// @returns sessions with queued slots, in the order in which they get the next free place.
std::vector<candidate> orderSessions(samples_step &step)
{
    std::vector<candidate> order;
    for (auto &[id, session] : step.state.sessions) {
        const bool room = static_cast<std::int64_t>(session.uncommittedBytes)
                          <= step.setting("samples.maxUncommittedBytes");
        if (session.phase == lease_phase::holding && !session.queue.empty() && room) {
            order.push_back({&session, countRunning(session)});
        }
    }
    if (step.enabled("samples.fairShares")) {
        std::ranges::sort(order, {}, [](const candidate &c) {
            return std::tuple(c.running, c.session->queue.size(), c.session->trainer);
        });
    }
    return order;
}

/// Starts the most urgent slot of a session.
/// @returns false where no engine has room for it.
bool startNext(samples_step &step, trainer_session &session)
{
    const sample_slot slot = session.queue.begin()->slot;
    const auto group = session.ledger.groups.find(slot.group);
    if (group == session.ledger.groups.end() || group->second.group == nullptr) {
        session.queue.erase(session.queue.begin());
        return true;
    }
    engine_record *engine = chooseEngine(step, session, group->second.group->model, {});
    if (engine == nullptr) {
        return false;
    }
    session.queue.erase(session.queue.begin());
    startGeneration(step, session, slot, *engine, false);
    return true;
}

bool needsWork(const trainer_session &session, const sample_slot &slot)
{
    const auto group = session.ledger.groups.find(slot.group);
    const auto position = static_cast<std::size_t>(slot.index);
    return group != session.ledger.groups.end() && position < group->second.slots.size()
           && group->second.slots[position].liveCursor == 0 && !session.uncommitted.contains(slot)
           && !session.running.contains(slot);
}

/// @returns the longest running stream that is a straggler and has no copy; none where there is none.
const generation *findStraggler(const samples_step &step, const trainer_session &session)
{
    const double factor
            = static_cast<double>(step.setting("samples.spareAfterPercent", session.trainer)) / kPercent;
    const generation *oldest = nullptr;
    for (const auto &[slot, numbers] : session.running) {
        const generation &run = step.state.generations.at(*numbers.begin());
        const double age = static_cast<double>((step.at.now - run.startedAt).count());
        const bool late = session.meanDurationMs > 0 && age > factor * session.meanDurationMs;
        if (numbers.size() == 1 && run.stage == generation_stage::streaming && late
            && (oldest == nullptr || run.startedAt < oldest->startedAt)) {
            oldest = &run;
        }
    }
    return oldest;
}

std::size_t countSpares(const trainer_session &session)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(session.running, [](const auto &item) { return item.second.size() > 1; }));
}

void startSpare(samples_step &step, trainer_session &session)
{
    const auto percent = step.setting("samples.sparePercent", session.trainer);
    const auto budget
            = static_cast<double>(session.running.size() * static_cast<std::size_t>(percent)) / kPercent;
    if (!session.queue.empty() || percent == 0
        || static_cast<double>(countSpares(session)) >= std::max(1.0, budget)) {
        return;
    }
    const generation *straggler = findStraggler(step, session);
    if (straggler == nullptr) {
        return;
    }
    const sample_slot slot = straggler->slot;
    engine_record *engine = chooseEngine(step, session, straggler->group->model, straggler->engine);
    if (engine != nullptr) {
        if (step.enabled("samples.resumePartials")) {
            session.partials[slot] = straggler->proved;
        }
        step.count("samples_spares_started_total");
        startGeneration(step, session, slot, *engine, true);
    }
}

} // namespace

engine_record *chooseEngine(samples_step &step, const trainer_session &session, const model_id &model,
                            const upstream_id &except)
{
    engine_record *best = nullptr;
    const auto rank = [&](const engine_record &engine) {
        const std::uint64_t version = engine.status->models.at(model).version.value;
        const bool far = engine.view.availabilityZone != step.state.self.availabilityZone;
        // Fresher weights first, so that the sample lasts longer; then the shorter queue, then the near zone.
        return std::tuple(~version, discountedLoad(step, engine), far, engine.view.id);
    };
    for (auto &[id, engine] : step.state.engines) {
        if (id != except && takesWork(step, session, engine, model)
            && (best == nullptr || rank(engine) < rank(*best))) {
            best = &engine;
        }
    }
    return best;
}

void scheduleGenerations(samples_step &step)
{
    if (step.state.stopping) {
        return;
    }
    bool started = true;
    while (started) {
        started = false;
        for (const candidate &next : orderSessions(step)) {
            if (startNext(step, *next.session)) {
                started = true;
                break;
            }
        }
    }
}

void scheduleSpares(samples_step &step)
{
    if (step.state.stopping) {
        return;
    }
    for (auto &[id, session] : step.state.sessions) {
        if (session.phase == lease_phase::holding) {
            startSpare(step, session);
        }
    }
}

void queueSlot(samples_step &step, trainer_session &session, const sample_slot &slot)
{
    static_cast<void>(step);
    if (needsWork(session, slot)) {
        session.queue.insert({session.ledger.groups.at(slot.group).group->step, slot});
    }
}

void queueMissing(samples_step &step, trainer_session &session)
{
    for (const auto &[id, progress] : session.ledger.groups) {
        for (std::size_t index = 0; index < progress.slots.size(); ++index) {
            queueSlot(step, session, {id, static_cast<std::int64_t>(index)});
        }
    }
}

} // namespace jacinthvale
