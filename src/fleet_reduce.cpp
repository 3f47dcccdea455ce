#include "fleet_reducer.h"

#include "overloaded.h"

#include <jacinthvale/delivery.h>

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr milliseconds kStopTime{5000};

bool isHolderRole(const fleet_state &state)
{
    return state.self.role == process_role::fleet;
}

void beginScan(fleet_run &run, row_scan &scan, std::string_view prefix, milliseconds period)
{
    if (scan.call || run.at.now < scan.next) {
        return;
    }
    scan.call = run.nextOperation();
    scan.askedAt = run.at.now;
    scan.next = run.at.now + jittered(period, mixRandom(run.at.random, scan.call->number));
    run.out.emplace_back(
            call_store{*scan.call, store_scan{std::string(prefix), "", 1000}, milliseconds{2000}});
}

void advanceScans(fleet_run &run)
{
    constexpr milliseconds kShardPeriod{2000};
    constexpr milliseconds kWeightPeriod{2000};
    constexpr milliseconds kDrainPeriod{5000};
    beginScan(run, run.state.shardScan, "fleet/shards/", kShardPeriod);
    beginScan(run, run.state.drainScan, "drains/", kDrainPeriod);
    const bool holds = std::ranges::any_of(
            run.state.shards, [&](const fleet_shard &shard) { return shard.holding.mayAct(run.at.now); });
    if (holds) {
        beginScan(run, run.state.weightScan, kHeadPrefix, kWeightPeriod);
    }
}

bool hasOrders(const fleet_state &state)
{
    return std::ranges::any_of(state.upstreams, [](const auto &entry) {
        return entry.second.order.has_value() || entry.second.drainCall.has_value();
    });
}

/// Orders in flight end first; then the leases are handed over.
void advanceStop(fleet_run &run)
{
    fleet_state &state = run.state;
    const bool late = run.at.now >= state.stopDeadline;
    if (!hasOrders(state) || late) {
        releaseShards(run);
    }
    const bool owns = std::ranges::any_of(state.shards, [](const fleet_shard &shard) {
        return shard.holding.ownsRow() || shard.holding.busy();
    });
    const bool waits = hasOrders(state) || owns || !state.drainExchanges.empty();
    if (!state.drained && (!waits || late)) {
        state.drained = true;
        run.out.emplace_back(raise_domain_event{domain_drained{domain::fleet}});
    }
}

void onTick(fleet_run &run)
{
    if (isHolderRole(run.state) && !run.state.stopping) {
        advanceScans(run);
        advanceShards(run);
        advancePolls(run);
        advanceOrders(run);
        advanceDrains(run);
    }
    if (run.state.stopping) {
        advanceStop(run);
    }
}

void onStart(fleet_run &run)
{
    if (!isHolderRole(run.state)) {
        return;
    }
    for (std::size_t i = 0; i < kFleetShards; ++i) {
        run.state.shards.push_back({lease{"fleet/shards/" + std::to_string(i), run.state.self.host,
                                          run.state.self.incarnation, lease_terms{}},
                                    std::nullopt, std::nullopt});
    }
}

void onStoreAnswered(fleet_run &run, const store_call_finished &answer)
{
    fleet_state &state = run.state;
    if (state.shardScan.call == answer.operation) {
        state.shardScan.call.reset();
        takeShardRows(run, answer.outcome);
    } else if (state.weightScan.call == answer.operation) {
        state.weightScan.call.reset();
        takeWeightRows(run, answer.outcome);
    } else if (state.drainScan.call == answer.operation) {
        state.drainScan.call.reset();
        takeDrainRows(run, answer.outcome);
    } else if (const auto found = state.leaseCalls.find(answer.operation.number);
               found != state.leaseCalls.end()) {
        const std::size_t shard = found->second;
        state.leaseCalls.erase(found);
        settleLease(run, shard, answer.outcome);
    } else {
        settleDrain(run, answer.operation, answer.outcome);
    }
}

void onUpstreamChanged(fleet_run &run, const upstream_changed &change)
{
    if (change.removed) {
        run.state.upstreams.erase(change.view.id);
        return;
    }
    run.state.upstreams[change.view.id].view = change.view;
}

void onStopping(fleet_run &run)
{
    run.state.stopping = true;
    run.state.stopDeadline = run.at.now + kStopTime + milliseconds{run.setting("fleet.swapTimeoutMs")};
    advanceStop(run);
}

void onNotice(fleet_run &run, const domain_event &what)
{
    std::visit(overloaded{
                       [&](const config_activated &e) { run.state.config = e.document; },
                       [&](const upstream_changed &e) { onUpstreamChanged(run, e); },
                       [&](const peer_changed &e) {
                           run.state.peers[{e.view.host, e.view.role}] = e.view;
                       },
                       [&](const weights_published &e) { takePublished(run, e); },
                       [&](const shutdown_started &) { onStopping(run); },
                       [](const auto &) {},
               },
               what);
}

void onCallFinished(fleet_run &run, const http_call_finished &result)
{
    if (!finishPoll(run, result) && !finishOrder(run, result)) {
        finishDrainOrder(run, result);
    }
}

} // namespace

std::size_t shardOf(const upstream_id &upstream)
{
    return stableHash(upstream.value) % kFleetShards;
}

effects reduceFleet(fleet_state &state, const event &what, const context &at)
{
    fleet_run run{state, at, {}};
    std::visit(overloaded{
                       [&](const process_started &) { onStart(run); },
                       [&](const tick &) { onTick(run); },
                       [&](const store_call_finished &e) { onStoreAnswered(run, e); },
                       [&](const http_call_finished &e) { onCallFinished(run, e); },
                       [&](const http_request_received &e) { answerUpstreamRequest(run, e); },
                       [&](const peer_message_received &e) { takeFleetMessage(run, e); },
                       [&](const domain_event_raised &e) { onNotice(run, e.payload); },
                       [](const auto &) {},
               },
               what);
    return std::move(run.out);
}

} // namespace jacinthvale
