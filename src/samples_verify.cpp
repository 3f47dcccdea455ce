// Status reads of engines, and the proof of versions that they give.
#include "samples_generate.h"

#include "samples_lease.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr milliseconds kProbeTimeout{2000};
constexpr milliseconds kProbeRetry{500};
constexpr milliseconds kProbeSpacing{50};
constexpr int kMaxFailedProbes = 3;

/// Numbers of the generations whose tokens an engine's status reads concern.
std::vector<std::uint64_t> runsOn(const samples_step &step, const upstream_id &engine)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, run] : step.state.generations) {
        const bool concerned
                = run.stage == generation_stage::streaming || run.stage == generation_stage::verifying;
        if (run.engine == engine && concerned) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

/// @returns true where every token after the proved ones names the version that the status read names.
bool labelsAgree(const generation &run, const engine_status &after)
{
    const weight_version version = after.models.at(run.group->model).version;
    const std::vector<sample_segment> &segments = run.marked->segments;
    const std::size_t proved = run.proved.segments.size();
    const bool continued = proved > 0 && segments.size() >= proved
                           && segments[proved - 1].tokens > run.proved.segments.back().tokens;
    const auto first = segments.begin() + static_cast<std::ptrdiff_t>(continued ? proved - 1 : proved);
    return std::all_of(first, segments.end(),
                       [&](const sample_segment &segment) { return segment.version == version; });
}

/// Swaps are to be expected after new weights: frequent reads then leave few tokens unproved.
milliseconds probePeriod(const samples_step &step)
{
    constexpr milliseconds kSwapWindow{30'000};
    const milliseconds period = step.duration("samples.verifyIntervalMs");
    const bool expected = step.state.versionMovedAt && step.at.now - *step.state.versionMovedAt < kSwapWindow;
    return expected ? std::min(period, step.duration("samples.verifyInSwapMs")) : period;
}

void sendProbe(samples_step &step, engine_record &engine)
{
    for (const std::uint64_t number : runsOn(step, engine.view.id)) {
        generation &run = step.state.generations.at(number);
        run.marked = run.produced;
        run.markedWhole = run.stage == generation_stage::verifying;
    }
    engine.probing = true;
    call_http call;
    call.operation = step.begin(engine_probe{engine.view.id});
    call.target = engine.view.address;
    call.method = "GET";
    call.path = "/status";
    call.connectTimeout = kProbeTimeout;
    call.progressTimeout = kProbeTimeout;
    step.emit(std::move(call));
}

/// Takes what a pair of reads says of one generation.
void judgeRun(samples_step &step, const engine_record &engine, std::uint64_t number,
              const engine_status &before, const engine_status &after)
{
    generation &run = step.state.generations.at(number);
    if (!run.marked) {
        return;
    }
    const bool proved = !engine.unclear.contains(run.group->model)
                        && provesVersions(before, after, run.group->model) && labelsAgree(run, after);
    if (!proved) {
        step.count("samples_versions_doubtful_total");
        step.record("sample-doubtful", run.slot.group.value,
                    absl::StrCat(run.slot.index, " on ", run.engine.value));
        dropGeneration(step, number, true);
        return;
    }
    run.proved = std::move(*run.marked);
    run.marked.reset();
    if (run.markedWhole) {
        trainer_session &session = openSession(step, run.trainer);
        const double took = static_cast<double>((step.at.now - run.startedAt).count());
        constexpr double kWeight = 0.1;
        double &mean = session.meanDurationMs;
        mean = mean > 0 ? mean + kWeight * (took - mean) : took;
        run.stage = generation_stage::unscored;
        dropOthers(step, session, run.slot, number);
    }
}

void giveUpEngine(samples_step &step, engine_record &engine)
{
    step.record("engine-given-up", engine.view.id.value, "status reads fail");
    engine.status.reset();
    for (const std::uint64_t number : runsOn(step, engine.view.id)) {
        dropGeneration(step, number, true);
    }
}

void noteEngine(samples_step &step, const upstream_changed &change)
{
    const upstream_view &view = change.view;
    engine_record &engine = step.state.engines[view.id];
    const bool replaced = engine.view.incarnation != view.incarnation;
    engine.view = view;
    if (change.removed || view.condition == upstream_condition::down || replaced) {
        giveUpEngine(step, engine);
        engine.nextProbeAt = step.at.now;
        engine.failedProbes = 0;
    }
    for (const model_weights &weights : view.models) {
        const bool known = engine.status && engine.status->models.contains(weights.model);
        if (!weights.versionKnown) {
            engine.unclear.insert(weights.model);
        }
        if (!weights.versionKnown || !known
            || engine.status->models.at(weights.model).version != weights.version) {
            engine.nextProbeAt = step.at.now;
        }
    }
    if (change.removed) {
        step.state.engines.erase(view.id);
    }
}

void noteScorer(samples_step &step, const upstream_changed &change)
{
    scorer_record &scorer = step.state.scorers[change.view.id];
    scorer.view = change.view;
    if (change.removed) {
        step.state.scorers.erase(change.view.id);
    }
}

/// An engine is watched while a trainer is held here.
bool holdsTrainer(const samples_step &step)
{
    return std::ranges::any_of(step.state.sessions, [](const auto &item) {
        return item.second.phase == lease_phase::holding && !item.second.ledger.groups.empty();
    });
}

} // namespace

void probeEngines(samples_step &step)
{
    if (!holdsTrainer(step)) {
        return;
    }
    for (auto &[id, engine] : step.state.engines) {
        const bool reachable = engine.view.condition != upstream_condition::down;
        if (reachable && !engine.probing && step.at.now >= engine.nextProbeAt) {
            sendProbe(step, engine);
        }
    }
}

void finishProbe(samples_step &step, const upstream_id &id, const http_call_finished &result)
{
    const auto found = step.state.engines.find(id);
    if (found == step.state.engines.end()) {
        return;
    }
    engine_record &engine = found->second;
    engine.probing = false;
    const bool answered = result.outcome == transfer_outcome::complete && result.status == kHttpOk;
    const std::optional<engine_status> after = answered ? readEngineStatus(result.body) : std::nullopt;
    if (!after) {
        engine.nextProbeAt = step.at.now + kProbeRetry;
        if (++engine.failedProbes == kMaxFailedProbes) {
            giveUpEngine(step, engine);
        }
        return;
    }
    engine.failedProbes = 0;
    const std::optional<engine_status> before = engine.status;
    for (const std::uint64_t number : runsOn(step, id)) {
        judgeRun(step, engine, number, before.value_or(engine_status{}), *after);
    }
    engine.status = after;
    engine.unclear.clear();
    const bool waits = std::ranges::any_of(runsOn(step, id), [&](std::uint64_t number) {
        return step.state.generations.at(number).stage == generation_stage::verifying;
    });
    engine.nextProbeAt = step.at.now + (waits ? kProbeSpacing : probePeriod(step));
}

void noteUpstream(samples_step &step, const upstream_changed &change)
{
    if (change.view.kind == upstream_kind::engine) {
        noteEngine(step, change);
    } else if (change.view.kind == upstream_kind::scorer) {
        noteScorer(step, change);
    }
}

} // namespace jacinthvale
