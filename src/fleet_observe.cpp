// Status calls to the upstreams of held shards.
#include "fleet_reducer.h"

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr milliseconds kStatusTimeout{1000};
/// Failed status calls in a row after which an upstream counts as down.
constexpr int kFailuresUntilDown = 2;

/// Ends the doubts that this status settles.
void settleDoubts(fleet_upstream &known, const upstream_status &status)
{
    std::erase_if(known.doubts, [&](const auto &entry) {
        const unanswered_order &doubt = entry.second;
        return status.incarnation != doubt.incarnation || status.swapCounter > doubt.swapCounter;
    });
}

} // namespace

void advancePolls(fleet_run &run)
{
    for (auto &[id, known] : run.state.upstreams) {
        if (known.statusCall || run.at.now < known.nextPoll || !run.leaseOf(id).mayAct(run.at.now)) {
            continue;
        }
        known.statusCall = run.nextOperation();
        const milliseconds period{run.setting("fleet.statusPeriodMs")};
        known.nextPoll = run.at.now + jittered(period, mixRandom(run.at.random, known.statusCall->number));
        call_http call;
        call.operation = *known.statusCall;
        call.target = known.view.address;
        call.method = "GET";
        call.path = "/status";
        call.connectTimeout = kStatusTimeout;
        call.progressTimeout = kStatusTimeout;
        // After a failure the connection itself is suspected first.
        call.freshConnection = known.failedPolls > 0;
        run.out.emplace_back(std::move(call));
    }
}

bool finishPoll(fleet_run &run, const http_call_finished &result)
{
    const auto found = std::ranges::find_if(run.state.upstreams, [&](const auto &entry) {
        return entry.second.statusCall == result.operation;
    });
    if (found == run.state.upstreams.end()) {
        return false;
    }
    fleet_upstream &known = found->second;
    known.statusCall.reset();
    const bool answered = result.outcome == transfer_outcome::complete && result.status == kHttpOk;
    if (std::optional<upstream_status> status = answered ? parseUpstreamStatus(result.body) : std::nullopt) {
        known.failedPolls = 0;
        settleDoubts(known, *status);
        if (known.status && known.status->incarnation != status->incarnation) {
            known.unknownModels.clear();
        }
        known.status = std::move(status);
        tellObservation(run, known);
    } else if (++known.failedPolls == kFailuresUntilDown) {
        tellObservation(run, known);
    } else {
        known.nextPoll = run.at.now;
    }
    return true;
}

void tellObservation(fleet_run &run, fleet_upstream &known)
{
    const lease &holding = run.leaseOf(known.view.id);
    if (!holding.mayAct(run.at.now)) {
        return;
    }
    upstream_observed seen;
    seen.upstream = known.view.id;
    seen.order = {holding.epoch(), ++run.state.lastObservation};
    seen.reachable = known.failedPolls < kFailuresUntilDown;
    seen.incarnation = known.view.incarnation;
    if (known.status) {
        seen.incarnation = known.status->incarnation;
        seen.draining = known.status->leaving;
        seen.models = known.status->models;
        seen.running = known.status->running;
        seen.queued = known.status->queued;
    }
    for (model_weights &model : seen.models) {
        model.versionKnown = model.versionKnown && !known.doubts.contains(model.model);
    }
    run.out.emplace_back(raise_domain_event{std::move(seen)});
}

} // namespace jacinthvale
