// Collects what the number of upstreams is decided from, and orders what was decided.
#include "node_placement.h"
#include "node_step.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <range/v3/algorithm/any_of.hpp>
#include <range/v3/algorithm/count_if.hpp>
#include <range/v3/algorithm/equal.hpp>
#include <range/v3/algorithm/sort.hpp>
#include <range/v3/algorithm/transform.hpp>
#include <range/v3/iterator/insert_iterators.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

constexpr milliseconds kDecisionInterval{500};

/// A decision that changes nothing is logged this often.
constexpr milliseconds kUnchangedLogInterval{10'000};

/// Work is told again when it has changed by this share of the batch.
constexpr double kToldChangeShare = 0.1;

/// Time for which the most slots that calls used are told.
constexpr milliseconds kCallPeakTime{8000};

/// Work of batches that were accepted longer ago is forgotten.
constexpr std::uint64_t kWorkKeptMs = 120'000;

/// A model that no trainer has asked for within this time after the first decision has no trainer.
constexpr milliseconds kTrainersExpectedTime{30'000};

/// An accepted order that did not take within this time after the boot time is sent again.
constexpr milliseconds kOrderSettleTime{6000};

constexpr int kNoneAvailableStatus = 409;

bool isScaled(const node_state &state, const service_id &service)
{
    return state.config.scaling.contains(service);
}

bool decidesNumbers(const node_state &state)
{
    return state.self.duties && state.self.duties->scalesServices && !state.config.scaling.empty();
}

batch_work workOf(const node_state &state, const owned_batch &batch, const route &matchedRoute)
{
    batch_work work;
    for (const owned_item &item : batch.items) {
        const service_id service = pickService(matchedRoute, stableHash(item.item.id.value));
        const auto limits = state.config.engines.find(service);
        const double chunkTokens
                = limits == state.config.engines.end() ? 1 : std::max(1U, limits->second.tokensPerChunk);
        work.totalTokens += chunkTokens * static_cast<double>(item.chunkCount);
        if (item.isGenerating() && !item.isSurplus) {
            const double remaining = chunkTokens * expectedRemainingChunks(state, service, item);
            ++work.openItems;
            work.remainingTokens += remaining;
            work.totalTokens += remaining;
        }
    }
    return work;
}

bool differs(const batch_work &told, const batch_work &now)
{
    const double threshold = kToldChangeShare * std::max(told.totalTokens, now.totalTokens);
    return std::abs(told.remainingTokens - now.remainingTokens) > threshold
           || (told.openItems == 0) != (now.openItems == 0);
}

/// @returns the slots that calls and streams of this daemon use now.
std::uint64_t callSlotsOf(const node_state &state, const service_id &service)
{
    const auto isService = [&](const upstream_id &id) {
        const auto view = state.upstreams.find(id);
        return view != state.upstreams.end() && view->second.entry.service == service;
    };
    std::uint64_t slots = 0;
    for (const auto &[origin, call] : state.calls) {
        slots += static_cast<std::uint64_t>(
                ranges::count_if(call.running, isService, &call_attempt::upstream));
    }
    return slots
           + static_cast<std::uint64_t>(
                   ranges::count_if(state.streams | ranges::views::values,
                                    [&](const stream_state &stream) { return stream.service == service; }));
}

scaling_advisory ownWork(step &s)
{
    scaling_advisory advisory;
    std::vector<std::pair<std::uint64_t, std::pair<std::string, batch_work>>> batches;
    for (const auto &[id, batch] : s.state.owned) {
        const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
        if (matchedRoute != nullptr
            && ranges::any_of(matchedRoute->services,
                              [&](const service_share &share) { return isScaled(s.state, share.service); })) {
            batches.push_back({batch.acceptedAtMs, {id.value, workOf(s.state, batch, *matchedRoute)}});
        }
    }
    ranges::sort(batches);
    batches.resize(std::min(batches.size(), kMaxToldBatches));
    for (auto &[acceptedAtMs, batch] : batches) {
        advisory.batches.insert(std::move(batch));
    }
    for (const auto &[service, limits] : s.state.config.scaling) {
        call_peak &peak = s.state.scaling.callPeaks[service];
        const std::uint64_t slots = callSlotsOf(s.state, service);
        if (slots >= peak.slots || s.ctx.now - peak.since > kCallPeakTime) {
            peak = {slots, s.ctx.now};
        }
        if (peak.slots > 0) {
            advisory.callSlots.emplace(service.value, peak.slots);
        }
    }
    return advisory;
}

/// @returns the steps of the service's trainers that are known, with the service's share of their work.
std::vector<trainer_step> stepsOf(const node_state &state, const service_id &service)
{
    std::vector<trainer_step> steps;
    std::map<std::string, batch_work> lastWork;
    std::vector<std::pair<batch_id, const batch_head *>> heads;
    for (const auto &[id, head] : state.heads) {
        heads.emplace_back(id, &head);
    }
    ranges::sort(heads, {}, [](const auto &head) { return head.second->acceptedAtMs; });
    for (const auto &[id, head] : heads) {
        const route *matchedRoute = findRoute(state.config, head->spec.host, head->spec.path);
        if (matchedRoute == nullptr) {
            continue;
        }
        const auto weightOf = [&](bool ofService) {
            return ranges::accumulate(matchedRoute->services, 0.0, {}, [&](const service_share &share) {
                return ofService && share.service != service ? 0U : share.weight;
            });
        };
        const double share = weightOf(true) / std::max(1.0, weightOf(false));
        const std::string &trainer = head->spec.model.value;
        const auto told = state.scaling.work.find(id);
        if (told != state.scaling.work.end()) {
            lastWork[trainer] = told->second;
        }
        const auto last = lastWork.find(trainer);
        if (share <= 0 || last == lastWork.end()) {
            continue;
        }
        // Until its owner has told its work, a batch counts as large as the trainer's last one.
        batch_work work = told != state.scaling.work.end() ? told->second
                                                           : batch_work{head->total, last->second.totalTokens,
                                                                        last->second.totalTokens};
        work.remainingTokens *= share;
        work.totalTokens *= share;
        steps.push_back({trainer, head->acceptedAtMs,
                         head->acceptedAtMs + static_cast<std::uint64_t>(matchedRoute->due.count()),
                         head->ended, work});
    }
    return steps;
}

/// @returns the trainers that are to be expected: one for each model.
std::vector<std::string> trainersOf(const step &s, const service_id &service)
{
    const auto engine = s.state.config.engines.find(service);
    const bool isLongKnown = s.ctx.now - *s.state.scaling.heldSince > kTrainersExpectedTime;
    std::vector<std::string> trainers;
    if (engine != s.state.config.engines.end() && !isLongKnown) {
        ranges::transform(engine->second.models, ranges::back_inserter(trainers), &model_id::value);
    }
    return trainers;
}

/// True if the upstream serves some model at its named version, or the one before it.
bool isReady(const node_state &state, const upstream_view &view)
{
    const auto engine = state.config.engines.find(view.entry.service);
    return engine == state.config.engines.end()
           || ranges::any_of(engine->second.models, [&](const model_id &model) {
                  const auto named = state.namedVersions.find(model);
                  return named == state.namedVersions.end()
                         || versionOf(view, model).value + 1 >= named->second.value;
              });
}

scaling_input inputOf(step &s, const service_id &service, scaled_service &scaled)
{
    const node_state &state = s.state;
    scaling_input input;
    input.nowMs = storeTime(state, s.ctx.now);
    input.limits = state.config.scaling.at(service);
    input.orders = scaled.orders;
    input.steps = stepsOf(state, service);
    input.trainers = trainersOf(s, service);
    for (const auto &[id, view] : state.upstreams) {
        if (view.entry.service != service) {
            continue;
        }
        pool_supply &supply = input.supply[{view.entry.zone, view.entry.reclaimable}];
        const bool leaves = isLeaving(state, view);
        (leaves ? supply.leaving : supply.serving) += 1;
        supply.ready += !leaves && isReady(state, view) ? 1 : 0;
        input.slotsPerUpstream = std::max(input.slotsPerUpstream, view.entry.slots);
    }
    input.callSlots = ranges::accumulate(
            state.peerAdvisories | ranges::views::values
                    | ranges::views::transform([&](const daemon_advisory &advisory) {
                          const auto told = advisory.scaling.callSlots.find(service.value);
                          return told == advisory.scaling.callSlots.end() ? 0 : told->second;
                      }),
            callSlotsOf(state, service));
    const auto engine = state.config.engines.find(service);
    const double chunkTokens
            = engine == state.config.engines.end() ? 1 : std::max(1U, engine->second.tokensPerChunk);
    const double latencyMs = medianInterChunkLatency(state, service, s.ctx.now);
    if (latencyMs > 0 || scaled.tokensPerMs <= 0) {
        scaled.tokensPerMs = chunkTokens / (latencyMs > 0 ? latencyMs : kDefaultInterChunkLatencyMs);
    }
    input.tokensPerMs = scaled.tokensPerMs;
    return input;
}

std::string describe(const scaling_input &input, const scaling_decision &decision)
{
    std::string pools;
    for (const auto &[pool, count] : decision.orders) {
        const auto supply = input.supply.find(pool);
        const pool_supply present = supply == input.supply.end() ? pool_supply{} : supply->second;
        absl::StrAppend(&pools, ", ", pool.zone.value, pool.reclaimable ? " reclaimable" : "", ": ", count,
                        " of ", present.serving, " (", present.ready, " ready, ", present.leaving,
                        " leaving)");
    }
    return absl::StrCat(decision.reason, "; slots for open work ", static_cast<int>(decision.openSlots),
                        ", expected ", static_cast<int>(decision.expectedSlots), ", calls ", input.callSlots,
                        "; needed ", decision.needed, pools);
}

void logDecision(step &s, const service_id &service, scaled_service &scaled, const scaling_input &input,
                 const scaling_decision &decision)
{
    const bool isChanged = decision.orders != scaled.last.orders || decision.reason != scaled.last.reason;
    if (!isChanged && s.ctx.now - scaled.loggedAt < kUnchangedLogInterval) {
        return;
    }
    scaled.loggedAt = s.ctx.now;
    s.log("upstreams-decided", service.value, describe(input, decision));
}

/// Puts the orders that differ from what the record holds into the record.
void recordOrders(step &s, const service_id &service, const scaled_service &scaled)
{
    const auto isService = [&](const upstream_order &order) { return order.service == service; };
    std::vector<upstream_order> orders = s.state.duties.wanted.orders;
    std::erase_if(orders, isService);
    for (const auto &[pool, count] : scaled.orders) {
        orders.push_back({service, pool.zone, count, pool.reclaimable});
    }
    ranges::sort(orders);
    if (orders != s.state.duties.wanted.orders) {
        dutyRecord(s).orders = std::move(orders);
    }
}

/// Calls for each committed order that the platform has not accepted yet, or that did not take.
void sendOrders(step &s, const service_id &service, scaled_service &scaled)
{
    const milliseconds boot = s.state.config.scaling.at(service).boot;
    for (const upstream_order &order : committedDutyRecord(s.state).orders) {
        if (order.service != service) {
            continue;
        }
        const upstream_pool pool{order.zone, order.reclaimable};
        const auto decided = scaled.orders.find(pool);
        if (decided == scaled.orders.end() || decided->second != order.count) {
            continue;
        }
        const auto supply = scaled.supply.find(pool);
        const unsigned present = supply == scaled.supply.end() ? 0 : supply->second.serving;
        const auto sent = scaled.sent.find(pool);
        const bool isSent = sent != scaled.sent.end() && sent->second.count == order.count;
        if (isSent && (present == order.count || s.ctx.now - sent->second.sentAt < boot + kOrderSettleTime)) {
            continue;
        }
        if (callDuty(s, order)) {
            scaled.sent[pool] = {order.count, s.ctx.now};
            s.emit(count{"upstream_orders_total"});
        }
    }
}

void startHolding(step &s)
{
    scaling_state &scaling = s.state.scaling;
    scaling.services.clear();
    for (const upstream_order &order : committedDutyRecord(s.state).orders) {
        scaling.services[order.service].orders[{order.zone, order.reclaimable}] = order.count;
    }
}

void decideFor(step &s, const service_id &service)
{
    scaled_service &scaled = s.state.scaling.services[service];
    const scaling_input input = inputOf(s, service, scaled);
    const scaling_decision decision = decideUpstreams(input, scaled.memory);
    scaled.memory = decision.memory;
    for (const auto &[pool, count] : decision.orders) {
        const auto supply = input.supply.find(pool);
        const unsigned present = supply == input.supply.end() ? 0 : supply->second.serving;
        if (scaled.orders.contains(pool) || count != present) {
            scaled.orders[pool] = count;
        }
    }
    logDecision(s, service, scaled, input, decision);
    const std::string label = "{service=\"" + service.value + "\"}";
    s.emit(gauge{"upstreams_needed" + label, static_cast<double>(decision.needed)});
    s.emit(gauge{"upstreams_ordered" + label,
                 static_cast<double>(ranges::accumulate(decision.orders | ranges::views::values, 0U))});
    scaled.last = decision;
    scaled.supply = input.supply;
    recordOrders(s, service, scaled);
}

} // namespace

bool updateOwnWork(step &s)
{
    if (!decidesNumbers(s.state)) {
        return false;
    }
    scaling_advisory work = ownWork(s);
    recordToldWork(s, work);
    scaling_advisory &told = s.state.ownAdvisory.scaling;
    const bool sameBatches
            = ranges::equal(told.batches, work.batches, [](const auto &left, const auto &right) {
                  return left.first == right.first && !differs(left.second, right.second);
              });
    if (sameBatches && told.callSlots == work.callSlots) {
        return false;
    }
    told = std::move(work);
    return true;
}

void recordToldWork(step &s, const scaling_advisory &advisory)
{
    for (const auto &[id, work] : advisory.batches) {
        s.state.scaling.work[{id}] = work;
    }
    const std::uint64_t nowMs = storeTime(s.state, s.ctx.now);
    std::erase_if(s.state.scaling.work, [&](const auto &entry) {
        const auto head = s.state.heads.find(entry.first);
        return head != s.state.heads.end() && head->second.acceptedAtMs + kWorkKeptMs < nowMs;
    });
}

void decideNumbersOfUpstreams(step &s)
{
    node_state &state = s.state;
    scaling_state &scaling = state.scaling;
    if (!decidesNumbers(state) || !isDutyHolder(s) || !feedOf(state, table_id::upstreams).synced) {
        scaling.heldSince.reset();
        return;
    }
    if (!scaling.heldSince) {
        scaling.heldSince = s.ctx.now;
        startHolding(s);
    }
    const bool isDue = scaling.nextDecisionAt <= s.ctx.now;
    if (isDue) {
        scaling.nextDecisionAt = s.ctx.now + kDecisionInterval;
    }
    for (const auto &[service, limits] : state.config.scaling) {
        if (isDue) {
            decideFor(s, service);
        }
        sendOrders(s, service, scaling.services[service]);
    }
}

void onUpstreamsOrdered(step &s, const upstream_order &order, const call_ended &ended)
{
    s.log("upstreams-ordered", absl::StrCat(order.service.value, " in ", order.zone.value),
          absl::StrCat(order.count, order.reclaimable ? " reclaimable" : "", " wanted, status ",
                       ended.status));
    scaled_service &scaled = s.state.scaling.services[order.service];
    const upstream_pool pool{order.zone, order.reclaimable};
    if (ended.status == kNoneAvailableStatus) {
        scaled.memory = afterRefusal(scaled.memory, pool, storeTime(s.state, s.ctx.now));
        scaled.orders.erase(pool);
        scaled.sent.erase(pool);
        s.emit(count{"upstream_orders_refused_total"});
    } else if (ended.end != call_end::complete) {
        // The outcome is unknown; the same order may be sent again.
        scaled.sent.erase(pool);
    }
}

} // namespace jacinthvale::node
