// Upstream changes, status probes and circuit breakers.
#include "requests_step.h"

namespace jacinthvale {

namespace {

constexpr milliseconds kProbeTimeout{1000};
constexpr int kOk = 200;

} // namespace

void onUpstreamChanged(requests_step &step, const upstream_changed &change)
{
    auto &upstreams = step.state.upstreams;
    if (change.removed) {
        if (const auto entry = upstreams.find(change.view.id); entry != upstreams.end()) {
            entry->second.removed = true;
            entry->second.view.condition = upstream_condition::draining;
        }
        return;
    }
    const auto found = upstreams.find(change.view.id);
    if (found == upstreams.end()) {
        upstreams[change.view.id].view = change.view;
    } else {
        if (found->second.view.incarnation != change.view.incarnation) {
            found->second.breaker = {};
        }
        found->second.removed = false;
        found->second.view = change.view;
    }
    dispatchAllPools(step);
}

void startProbe(requests_step &step, upstream_record &upstream)
{
    if (upstream.probing) {
        return;
    }
    upstream.probing = true;
    call_http probe;
    probe.operation = step.startOperation(probe_operation{upstream.view.id});
    probe.target = upstream.view.address;
    probe.method = "GET";
    probe.path = "/status";
    probe.connectTimeout = kProbeTimeout;
    probe.progressTimeout = kProbeTimeout;
    probe.freshConnection = true;
    step.count("requests_probes_total");
    step.emit(std::move(probe));
}

void onProbeFinished(requests_step &step, const upstream_id &id, const http_call_finished &result)
{
    const auto found = step.state.upstreams.find(id);
    if (found == step.state.upstreams.end()) {
        return;
    }
    upstream_record &upstream = found->second;
    upstream.probing = false;
    if (result.outcome == transfer_outcome::complete && result.status == kOk) {
        upstream.breaker.recordProbeSuccess();
        dispatchAllPools(step);
    } else {
        upstream.breaker.recordProbeFailure(step.ctx.now);
        step.emit(record_entry{"upstream-suspected", id.value,
                               "status probe on a new connection failed; circuit breaker opened"});
    }
}

void maintainUpstreams(requests_step &step)
{
    std::erase_if(step.state.upstreams, [](const auto &entry) {
        return entry.second.removed && entry.second.limiter.inFlight() == 0;
    });
    for (auto &[id, upstream] : step.state.upstreams) {
        if (upstream.breaker.isProbeDue(step.ctx.now)) {
            startProbe(step, upstream);
        }
    }
}

} // namespace jacinthvale
