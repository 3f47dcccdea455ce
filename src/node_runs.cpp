#include "node_placement.h"
#include "node_step.h"

#include <algorithm>
#include <range/v3/algorithm/all_of.hpp>
#include <range/v3/algorithm/none_of.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/range/primitives.hpp>
#include <range/v3/view/filter.hpp>
#include <range/v3/view/map.hpp>

namespace jacinthvale::node {

namespace {

/// Ejection time of an upstream that refused a run: its queue drains in the time of a few chunks.
constexpr milliseconds kRefusedRunEjection{250};

/// Ejection time after an incomplete run, multiplied by the number of consecutive failures up to the maximum.
constexpr milliseconds kIncompleteRunEjection{150};
constexpr unsigned kMaxFailureFactor = 8;

/// Ejection time after a run that timed out: a crashed upstream is back after some seconds.
constexpr milliseconds kTimedOutRunEjection{1500};

/// Ejection time of an upstream at whose address another server answered, or whose weights have a wrong
/// version, until its row is read again.
constexpr milliseconds kMisdirectedRunEjection{1000};

/// A run without a chunk for kProgressTimeoutChunks times the upstream's inter-chunk latency is abandoned,
/// within these bounds. A load of weights pauses runs for about a second.
constexpr double kProgressTimeoutChunks = 8;
constexpr milliseconds kMinProgressTimeout{2000};
constexpr milliseconds kMaxProgressTimeout{20'000};

/// Weight of a new sample in the smoothed inter-chunk latency: a slow upstream is detected after a few
/// chunks.
constexpr double kLatencySampleWeight = 0.2;

/// A run is moved if that saves at least this time and this share of its remaining time. A move costs a few
/// milliseconds: the prompt and the output so far are read again at some hundred tokens per millisecond.
constexpr double kMinMoveGainMs = 300;
constexpr double kMinMoveGainShare = 0.2;

/// Minimum time of a run on one upstream before it is moved, and maximum number of moves of an item. They
/// limit moves that only follow the fluctuation of the latencies.
constexpr milliseconds kMinTimeBeforeMove{250};
constexpr unsigned kMaxMoves = 6;

/// A run is stalled after this long without a chunk while other runs at its upstream progress; this is the
/// time of eight chunks at the usual latency. It pays to move such a run: its upstream frees memory for it
/// only when another run ends, a second or more later.
constexpr milliseconds kStallTimeout{400};

/// A run moves away from an upstream that is about to be taken away unless it is expected to end this long
/// before: the table tells the time some hundred ms late.
constexpr milliseconds kLeaveMargin{1000};

/// Time between two searches for runs to move.
constexpr milliseconds kMoveCheckInterval{100};

owned_item *runningItemOf(step &s, const run_operation &operation, op_id op)
{
    const auto found = s.state.owned.find(operation.batch);
    if (found == s.state.owned.end()) {
        return nullptr;
    }
    owned_item &item = found->second.items.at(operation.item);
    return item.phase == item_phase::running && item.run == op ? &item : nullptr;
}

/// Time between two status requests that ask which process answers at an upstream.
constexpr milliseconds kIdentityRetryDelay{200};

/// Longest wait of an item for an upstream that can continue its text.
constexpr milliseconds kMaxContinuationWait{1500};

void discardOutput(step &s, owned_item &item, const std::string &reason)
{
    s.log("output-discarded", item.item.id.value,
          std::to_string(item.chunkCount) + " chunks of " + toString(item.build) + ": " + reason);
    s.emit(count{"outputs_discarded"});
    item.text.clear();
    item.chunkCount = 0;
    item.versions.clear();
}

void releaseReservation(step &s, const owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    if (found != s.state.upstreams.end() && found->second.running > 0) {
        --found->second.running;
        found->second.reservedTokens
                = found->second.running == 0
                          ? 0
                          : std::max(0.0, found->second.reservedTokens - item.reservedTokens);
    }
}

/// The prompt of the run was read, or its run ended before.
void endReading(step &s, owned_item &item)
{
    if (const auto found = s.state.upstreams.find(item.upstream); found != s.state.upstreams.end()) {
        found->second.readingTokens = std::max(0.0, found->second.readingTokens - item.readingTokens);
    }
    item.readingTokens = 0;
}

/// Removes a run that ended or was stopped; its item returns to the waiting phase.
void detachRun(step &s, owned_item &item)
{
    endReading(s, item);
    if (const auto found = s.state.upstreams.find(item.upstream); found != s.state.upstreams.end()) {
        found->second.sharedTokens = std::max(0.0, found->second.sharedTokens - item.sharedTokens);
    }
    releaseReservation(s, item);
    s.state.ops.erase(item.run);
    item.run = {};
    item.stoppedAt = s.ctx.now;
    item.phase = item_phase::waiting;
    item.timeline.enter(item_stage::rerun, s.ctx.now);
}

/// @returns the longest time without a chunk for runs at an upstream; longer where chunks are known to be
/// slow.
milliseconds progressTimeoutOf(const upstream_view &view)
{
    const milliseconds expected{static_cast<std::int64_t>(kProgressTimeoutChunks * view.interChunkLatencyMs)};
    return std::clamp(expected, kMinProgressTimeout, kMaxProgressTimeout);
}

/// Counts the prompt of a run, and records that its upstream holds the shared part from now on.
void beginReading(step &s, upstream_view &view, owned_batch &batch, owned_item &item)
{
    const shared_prompt prompt = sharedPromptOf(batch.spec.model, item.item);
    const double held = view.heldPrompts.tokensHeld(prompt, view.entry.weights);
    const double tokens = promptTokensOf(item.item);
    item.readingTokens = std::max(0.0, tokens - held);
    view.readingTokens += item.readingTokens;
    const auto limits = s.state.config.engines.find(view.entry.service);
    const double memory = limits == s.state.config.engines.end() ? 0 : limits->second.memoryTokens;
    item.sharedTokens = prompt.tokens();
    view.sharedTokens += item.sharedTokens;
    const double ownTokens = std::max(0.0, view.reservedTokens - view.sharedTokens);
    view.heldPrompts.recordUse(prompt, view.entry.weights, std::max(0.0, memory - ownTokens));
    batch.promptTokensSent += tokens;
    batch.promptTokensHeld += tokens - item.readingTokens;
    s.emit(count{"prompt_tokens_sent_total", tokens});
    s.emit(count{"prompt_tokens_held_total", tokens - item.readingTokens});
}

void startRun(step &s, owned_batch &batch, std::size_t index, const upstream_id &target, double latestStart)
{
    owned_item &item = batch.items[index];
    upstream_view &view = s.state.upstreams.at(target);
    ++view.running;
    recordSent(s, view, item.firstStartedAt != instant{});
    item.reservedTokens = expectedTokens(s.state, view.entry.service, item);
    view.reservedTokens += item.reservedTokens;
    beginReading(s, view, batch, item);
    item.phase = item_phase::running;
    item.upstream = target;
    item.startedAt = s.ctx.now;
    if (item.firstStartedAt == instant{}) {
        item.firstStartedAt = s.ctx.now;
        item.timeline.enter(item_stage::prompt, s.ctx.now);
    }
    item.lastChunkAt = s.ctx.now;
    item.chunkCountAtStart = item.chunkCount;
    item.run = s.open(run_operation{batch.spec.id, index, target});
    if (item.chunkCount == 0) {
        item.build = buildOf(view.entry);
    } else {
        s.log("run-resumed", item.item.id.value,
              "after chunk " + std::to_string(item.chunkCount) + " of " + toString(item.build) + " at "
                      + target.value + " of " + toString(buildOf(view.entry)));
        s.emit(count{"runs_resumed_total"});
    }
    const double slack = latestStart - static_cast<double>(storeTime(s.state, s.ctx.now));
    s.emit(run_item{item.run, view.entry.address, target, batch.spec.host, item.item, item.chunkCount,
                    urgencyOf(slack, item.isSurplus), progressTimeoutOf(view),
                    accountForUpstream(s.state, batch.spec.account)});
}

/// Raises the reservation of a run that exceeds its estimated length.
void raiseReservation(step &s, owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    if (found == s.state.upstreams.end()) {
        return;
    }
    const double needed = expectedTokens(s.state, found->second.entry.service, item);
    if (needed > item.reservedTokens) {
        found->second.reservedTokens += needed - item.reservedTokens;
        item.reservedTokens = needed;
    }
}

/// True if the run makes no progress while others at its upstream do: it was preempted because the upstream
/// is out of memory, or it waits in the queue.
bool isStalled(const step &s, const owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    return found != s.state.upstreams.end() && !isLoading(s.state, item.upstream, s.ctx.now)
           && s.ctx.now - item.lastChunkAt >= kStallTimeout
           && found->second.lastChunkAt >= item.lastChunkAt + kStallTimeout;
}

void recordLatency(step &s, const upstream_id &id, double latencyMs)
{
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        return;
    }
    upstream_view &view = found->second;
    view.interChunkLatencyMs
            = view.interChunkLatencyMs > 0
                      ? view.interChunkLatencyMs
                                + kLatencySampleWeight * (latencyMs - view.interChunkLatencyMs)
                      : latencyMs;
    view.bestInterChunkLatencyMs = view.bestInterChunkLatencyMs > 0
                                           ? std::min(view.bestInterChunkLatencyMs, view.interChunkLatencyMs)
                                           : view.interChunkLatencyMs;
    view.latencyUpdatedAt = s.ctx.now;
    view.latencyMeasuredAt = s.ctx.now;
    view.consecutiveFailures = 0;
}

/// Updates the fastest run of an upstream; called for each chunk of a run.
void recordRunLatency(upstream_view &view, const owned_item &item, instant now)
{
    constexpr std::uint64_t kMinChunks = 20;
    const std::uint64_t chunks = item.chunkCount - item.chunkCountAtStart;
    if (chunks <= kMinChunks) {
        return;
    }
    const double meanMs
            = static_cast<double>((now - item.firstChunkAt).count()) / static_cast<double>(chunks - 1);
    double &fastest = view.fastestRunLatencyMs;
    fastest = fastest > 0 ? std::min(fastest, meanMs) : meanMs;
}

} // namespace

void onTextComplete(step &s, owned_batch &batch, std::size_t index)
{
    owned_item &item = batch.items[index];
    if (item.item.reward && item.score.empty()) {
        queueReward(s, item);
        return;
    }
    finishItem(s, batch, index, item_state::succeeded);
}

void finishItem(step &s, owned_batch &batch, std::size_t index, item_state outcome)
{
    owned_item &item = batch.items[index];
    item.phase = item_phase::finished;
    item.outcome = outcome;
    item.finishedAt = s.ctx.now;
    item.timeline.enter(item_stage::commit, s.ctx.now);
    batch.finished.push_back(index);
}

void ejectUpstream(step &s, const upstream_id &id, milliseconds duration, const std::string &reason)
{
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        return;
    }
    found->second.ejectedUntil = std::max(found->second.ejectedUntil, s.ctx.now + duration);
    s.log("upstream-ejected", id.value,
          reason + "; no new work for " + std::to_string(duration.count()) + " ms");
}

void markSurplus(owned_batch &batch)
{
    std::vector<batch_item> items;
    std::ranges::transform(batch.items, std::back_inserter(items), &owned_item::item);
    const std::set<std::string> surplus = surplusGroups(items, batch.spec.groupsWanted);
    for (owned_item &item : batch.items) {
        item.isSurplus = surplus.contains(item.item.group);
    }
}

namespace {

/// @returns why an item that never ran has no upstream; called where none can take it.
item_stage waitStageOf(const step &s, const placement_request &request)
{
    const auto hasWeights = [&](const auto &entry) {
        const auto &[id, view] = entry;
        return view.entry.service == request.service && !isLeaving(s.state, view)
               && versionOf(view, request.model) >= request.minVersion && !isLoading(s.state, id, s.ctx.now);
    };
    auto fitting = s.state.upstreams | ranges::views::filter(hasWeights) | ranges::views::values;
    if (ranges::empty(fitting)) {
        return item_stage::weights_wait;
    }
    const bool allEjected = ranges::all_of(
            fitting, [&](const upstream_view &view) { return view.ejectedUntil > s.ctx.now; });
    return allEjected ? item_stage::ejection_wait : item_stage::slot_wait;
}

/// An item that ran before stays in the stage of its next run.
void setWaitStage(const step &s, owned_item &item, item_stage stage)
{
    if (item.firstStartedAt == instant{} && item.timeline.stage() != stage) {
        item.timeline.enter(stage, s.ctx.now);
    }
}

/// Asks upstreams where a request failed whether their process is still the one in the table, if a waiting
/// item or stream could go on there.
void identifyUpstreams(step &s, const std::set<upstream_build> &waitingBuilds)
{
    for (auto &[id, view] : s.state.upstreams) {
        if (isConfirmed(view, s.ctx.now) || view.identityOp.value != 0
            || s.ctx.now - view.identityAskedAt < kIdentityRetryDelay || isLeaving(s.state, view)
            || !waitingBuilds.contains(buildOf(view.entry))) {
            continue;
        }
        view.identityAskedAt = s.ctx.now;
        view.identityOp = s.open(identity_operation{id});
        s.emit(request_upstream_status{view.identityOp, view.entry.address, id});
    }
}

/// Discards the text of a waiting item if no upstream can continue it, or if none has had room for so long
/// that the text could have been generated again meanwhile.
void discardUncontinuable(step &s, owned_item &item, const service_id &service,
                          const service_snapshot &snapshot)
{
    if (item.build.service != service || !isBuildServed(s.state, item.build)) {
        discardOutput(s, item, "no upstream of this build is left");
        return;
    }
    const milliseconds longestWait
            = std::min(kMaxContinuationWait, regenerationTime(item, snapshot.medianInterChunkLatencyMs));
    if (s.ctx.now - item.stoppedAt > longestWait) {
        discardOutput(s, item,
                      "no upstream of this build had room for "
                              + std::to_string((s.ctx.now - item.stoppedAt).count()) + " ms");
    }
}

/// @returns the expected time, in ms, until the last item that the trainer waits for ends.
double remainingMsOf(const node_state &state, const owned_batch &batch, const route &matchedRoute,
                     service_snapshot_cache &snapshots)
{
    return ranges::accumulate(batch.items, 0.0, [&](double longest, const owned_item &item) {
        if (item.isSurplus || !item.isGenerating()) {
            return longest;
        }
        const service_id service = pickService(matchedRoute, stableHash(item.item.id.value));
        return std::max(longest, expectedOutputMs(state, service, item,
                                                  snapshots.get(service).medianInterChunkLatencyMs));
    });
}

/// What the incomplete items of a batch need.
struct batch_outlook
{
    /// Longest expected output of an item that the trainer waits for.
    double remainingMs = 0;
    /// Number of waiting items, by the last part that they share.
    std::map<std::uint64_t, std::size_t> waitingItems;
};

/// @returns the rank of a batch among those of all accounts; 0 where requests need no key.
unsigned rankOfBatch(const node_state &state, const batch &spec, const route &matchedRoute)
{
    const auto &accounts = state.config.accounts;
    return accounts ? rankOf(accounts->find(spec.account), matchedRoute.priority) : 0;
}

} // namespace

void startRuns(step &s)
{
    node_state &state = s.state;
    if (state.stopping || !state.configKnown || state.path.lost) {
        return;
    }
    struct waiting_run
    {
        double latestStart;
        owned_batch *batch;
        std::size_t index;
        service_id service;
        double outputMs;
        shared_prompt prompt;
    };
    std::vector<waiting_run> waiting;
    service_snapshot_cache snapshots(state, s.ctx.now);
    std::map<batch_id, batch_outlook> outlooks;
    for (auto &[id, batch] : state.owned) {
        const route *matchedRoute = findRoute(state.config, batch.spec.host, batch.spec.path);
        if (matchedRoute == nullptr || batch.handingOver) {
            continue;
        }
        const unsigned rank = rankOfBatch(state, batch.spec, *matchedRoute);
        if (ranges::none_of(batch.items,
                            [](const owned_item &i) { return i.phase == item_phase::waiting; })) {
            continue;
        }
        batch_outlook &outlook = outlooks[id];
        outlook.remainingMs = remainingMsOf(state, batch, *matchedRoute, snapshots);
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            const owned_item &item = batch.items[i];
            if (item.phase == item_phase::waiting && !item.isUnsendable) {
                const service_id service = pickService(*matchedRoute, stableHash(item.item.id.value));
                const double median = snapshots.get(service).medianInterChunkLatencyMs;
                const double latestStart = latestStartMs(state, batch, item, *matchedRoute, service, median);
                const double outputMs = expectedOutputMs(state, service, item, median);
                shared_prompt prompt = sharedPromptOf(batch.spec.model, item.item);
                if (!prompt.parts.empty()) {
                    ++outlook.waitingItems[prompt.parts.back().id];
                }
                waiting.push_back(
                        {rankedStartMs(latestStart, rank), &batch, i, service, outputMs, std::move(prompt)});
            }
        }
    }
    // Continuing runs are placed first: only few upstreams can continue them, but any can begin the others.
    std::ranges::sort(waiting, {}, [](const waiting_run &run) {
        const owned_item &item = run.batch->items[run.index];
        return std::pair(item.chunkCount == 0 || item.isSurplus, run.latestStart);
    });
    std::set<upstream_build> waitingBuilds;
    for (const waiting_run &run : waiting) {
        if (const owned_item &item = run.batch->items[run.index]; item.chunkCount > 0) {
            waitingBuilds.insert(item.build);
        }
    }
    for (const auto &[exchange, stream] : state.streams) {
        if (stream.waitingSince) {
            const std::set<upstream_build> builds
                    = stream.build ? std::set{*stream.build}
                                   : findStreamOrigin(state, {}, stream.service, s.ctx.now).recentBuilds;
            waitingBuilds.insert(builds.begin(), builds.end());
        }
    }
    identifyUpstreams(s, waitingBuilds);
    std::map<std::tuple<service_id, model_id, weight_version, upstream_build>, item_stage> full;
    std::set<std::pair<batch_id, shared_prompt>> waitingForHolder;
    for (const waiting_run &run : waiting) {
        const batch &spec = run.batch->spec;
        owned_item &waitingItem = run.batch->items[run.index];
        if (waitingItem.chunkCount > 0) {
            discardUncontinuable(s, waitingItem, run.service, snapshots.get(run.service));
        }
        const bool continues = waitingItem.chunkCount > 0;
        batch_outlook &outlook = outlooks.at(spec.id);
        const bool canWait = !continues && !run.prompt.parts.empty()
                             && isLongToRead(run.prompt, snapshots.get(run.service).medianInterChunkLatencyMs)
                             && canWaitForHolder(run.outputMs, outlook.remainingMs);
        if (canWait && waitingForHolder.contains({spec.id, run.prompt})) {
            setWaitStage(s, waitingItem, item_stage::slot_wait);
            continue;
        }
        const auto key = std::make_tuple(run.service, spec.model, spec.minVersion,
                                         continues ? waitingItem.build : upstream_build{});
        if (const auto reason = full.find(key); reason != full.end()) {
            setWaitStage(s, waitingItem, reason->second);
            continue;
        }
        const batch_item &item = waitingItem.item;
        placement_request request{run.service,          spec.model,
                                  spec.minVersion,      &snapshots.get(run.service),
                                  expectedTokens(item), isShort(item)};
        request.build = continues ? &waitingItem.build : nullptr;
        request.prompt = &run.prompt;
        request.promptTokens = promptTokensOf(item);
        request.outputMs = run.outputMs;
        request.batchMs = outlook.remainingMs;
        request.waitingItems = canWait ? outlook.waitingItems.at(run.prompt.parts.back().id) : 0;
        const placement atHolder = canWait ? placeAtHolder(state, request, s.ctx.now) : placement();
        if (std::holds_alternative<wait_for_holder>(atHolder)) {
            waitingForHolder.emplace(spec.id, run.prompt);
            setWaitStage(s, waitingItem, item_stage::slot_wait);
            continue;
        }
        const auto *holder = std::get_if<upstream_id>(&atHolder);
        const auto target = holder != nullptr ? std::optional(*holder) : placeRun(state, request, s.ctx.now);
        if (!target) {
            setWaitStage(s, waitingItem, full.emplace(key, waitStageOf(s, request)).first->second);
            continue;
        }
        if (!run.prompt.parts.empty()) {
            --outlook.waitingItems.at(run.prompt.parts.back().id);
        }
        startRun(s, *run.batch, run.index, *target, run.latestStart);
    }
}

namespace {

/// @returns the upstream to which a run should move; none if it should stay.
std::optional<upstream_id> betterUpstream(const step &s, const owned_batch &batch, const owned_item &item,
                                          double remainingChunks, double batchMs, const service_id &service,
                                          service_snapshot_cache &snapshots)
{
    const service_snapshot &snapshot = snapshots.get(service);
    const auto current = s.state.upstreams.find(item.upstream);
    if (snapshot.medianInterChunkLatencyMs <= 0 || current == s.state.upstreams.end()) {
        return std::nullopt;
    }
    const double currentLatency
            = interChunkLatencyOf(current->second, snapshot.medianInterChunkLatencyMs, s.ctx.now);
    const bool stalled = isStalled(s, item);
    if (!stalled && remainingChunks * currentLatency < kMinMoveGainMs) {
        return std::nullopt;
    }
    const shared_prompt prompt = sharedPromptOf(batch.spec.model, item.item);
    if (!stalled && isLongToRead(prompt, snapshot.medianInterChunkLatencyMs)
        && canWaitForHolder(remainingChunks * currentLatency, batchMs)) {
        return std::nullopt;
    }
    placement_request request{service,
                              batch.spec.model,
                              batch.spec.minVersion,
                              &snapshot,
                              expectedTokens(s.state, service, item),
                              false,
                              true,
                              stalled,
                              true,
                              item.chunkCount > 0 ? &item.build : nullptr};
    request.prompt = &prompt;
    request.promptTokens = promptTokensOf(item.item);
    request.outputMs = remainingChunks * snapshot.medianInterChunkLatencyMs;
    const auto target = placeRun(s.state, request, s.ctx.now);
    if (!target || *target == item.upstream || stalled) {
        return target == item.upstream ? std::nullopt : target;
    }
    const double targetLatency = interChunkLatencyOf(s.state.upstreams.at(*target),
                                                     snapshot.medianInterChunkLatencyMs, s.ctx.now);
    const bool isWorthMoving = remainingChunks * (currentLatency - targetLatency) >= std::max(
                                       kMinMoveGainMs, kMinMoveGainShare * remainingChunks * currentLatency);
    return isWorthMoving ? target : std::nullopt;
}

/// Stops a run and starts it again at another upstream, after its last chunk.
void moveRun(step &s, owned_batch &batch, std::size_t index, const upstream_id &target, double latestStart)
{
    owned_item &item = batch.items[index];
    s.log("run-moved", item.item.id.value,
          item.upstream.value + " to " + target.value + " after chunk " + std::to_string(item.chunkCount));
    s.emit(count{"runs_moved"});
    ++item.moveCount;
    stopRun(s, item);
    startRun(s, batch, index, target, latestStart);
}

/// Moves the runs that won't end before their upstream is taken away, the longest first.
void leaveReclaimed(step &s, service_snapshot_cache &snapshots)
{
    struct leaving_run
    {
        double remainingChunks;
        owned_batch *batch;
        std::size_t index;
        const route *matchedRoute;
        service_id service;
    };
    std::vector<leaving_run> runs;
    for (auto &[id, batch] : s.state.owned) {
        const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
        if (matchedRoute == nullptr || batch.handingOver) {
            continue;
        }
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const owned_item &item = batch.items[index];
            const auto view = s.state.upstreams.find(item.upstream);
            if (item.phase != item_phase::running || view == s.state.upstreams.end()
                || !view->second.leavesAt) {
                continue;
            }
            const service_id service = pickService(*matchedRoute, stableHash(item.item.id.value));
            const double chunks = expectedRemainingChunks(s.state, service, item);
            const double median = snapshots.get(service).medianInterChunkLatencyMs;
            const double endMs
                    = chunks
                      * interChunkLatencyOf(view->second, median > 0 ? median : kDefaultInterChunkLatencyMs,
                                            s.ctx.now);
            if (endMs > static_cast<double>((*view->second.leavesAt - s.ctx.now - kLeaveMargin).count())) {
                runs.push_back({chunks, &batch, index, matchedRoute, service});
            }
        }
    }
    std::ranges::sort(runs, std::greater<>{}, &leaving_run::remainingChunks);
    for (const leaving_run &run : runs) {
        const owned_item &item = run.batch->items[run.index];
        const service_snapshot &snapshot = snapshots.get(run.service);
        placement_request request{run.service, run.batch->spec.model, run.batch->spec.minVersion, &snapshot,
                                  expectedTokens(s.state, run.service, item)};
        request.build = item.chunkCount > 0 ? &item.build : nullptr;
        if (const auto target = placeRun(s.state, request, s.ctx.now)) {
            s.emit(count{"runs_moved_before_reclaim_total"});
            moveRun(s, *run.batch, run.index, *target,
                    latestStartMs(s.state, *run.batch, item, *run.matchedRoute, run.service,
                                  snapshot.medianInterChunkLatencyMs));
        }
    }
}

} // namespace

void moveStragglers(step &s)
{
    node_state &state = s.state;
    if (state.nextMoveAt > s.ctx.now || state.owned.empty()) {
        return;
    }
    state.nextMoveAt = s.ctx.now + kMoveCheckInterval;
    service_snapshot_cache snapshots(state, s.ctx.now);
    if (std::ranges::any_of(state.upstreams,
                            [](const auto &entry) { return entry.second.leavesAt.has_value(); })) {
        leaveReclaimed(s, snapshots);
    }
    for (auto &[id, batch] : state.owned) {
        const route *matchedRoute = findRoute(state.config, batch.spec.host, batch.spec.path);
        if (matchedRoute == nullptr || batch.handingOver) {
            continue;
        }
        struct candidate
        {
            double remainingChunks;
            std::size_t index;
            service_id service;
        };
        std::vector<candidate> candidates;
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const owned_item &item = batch.items[index];
            if (item.phase == item_phase::running && item.moveCount < kMaxMoves
                && s.ctx.now - item.startedAt >= kMinTimeBeforeMove) {
                const service_id service = pickService(*matchedRoute, stableHash(item.item.id.value));
                candidates.push_back({expectedRemainingChunks(state, service, item), index, service});
            }
        }
        std::ranges::sort(candidates, std::greater<>{}, &candidate::remainingChunks);
        const double batchMs = remainingMsOf(state, batch, *matchedRoute, snapshots);
        for (const auto &[remainingChunks, index, service] : candidates) {
            owned_item &item = batch.items[index];
            const auto target = betterUpstream(s, batch, item, remainingChunks, batchMs, service, snapshots);
            if (!target) {
                continue;
            }
            moveRun(s, batch, index, *target,
                    latestStartMs(state, batch, item, *matchedRoute, service,
                                  snapshots.get(service).medianInterChunkLatencyMs));
        }
    }
}

void stopRun(step &s, owned_item &item)
{
    if (item.phase == item_phase::running) {
        s.emit(cancel_call{item.run});
        detachRun(s, item);
    }
}

void onUpstreamIdentified(step &s, const identity_operation &operation,
                          const upstream_status_received &report)
{
    const auto found = s.state.upstreams.find(operation.upstream);
    if (found == s.state.upstreams.end() || found->second.identityOp != report.op) {
        return;
    }
    upstream_view &view = found->second;
    view.identityOp = {};
    const bool same = report.answered && report.startedAtMs == view.entry.startedAtMs;
    s.log("upstream-identified", operation.upstream.value,
          !report.answered ? "no answer"
          : same           ? "the process in the table answers"
                           : "another process answers, started at " + std::to_string(report.startedAtMs));
    if (same) {
        view.confirmedAt = view.identityAskedAt;
        startRuns(s);
    }
}

void recordBreak(step &s, const upstream_id &id)
{
    if (const auto view = s.state.upstreams.find(id); view != s.state.upstreams.end()) {
        view->second.brokeAt = s.ctx.now;
    }
}

void dropOutputOf(step &s, const upstream_id &id)
{
    for (auto &[batchId, batch] : s.state.owned) {
        for (owned_item &item : batch.items) {
            if (item.phase == item_phase::running && item.upstream == id) {
                stopRun(s, item);
                discardOutput(s, item, id.value + " started again with other software");
            }
        }
    }
}

void endSilentRuns(step &s)
{
    std::vector<run_operation> silent;
    for (const auto &[id, batch] : s.state.owned) {
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const owned_item &item = batch.items[index];
            if (item.phase != item_phase::running) {
                continue;
            }
            const auto view = s.state.upstreams.find(item.upstream);
            // The connection reports a run without any byte; the reducer leaves it a tick for that.
            if (view != s.state.upstreams.end()
                && s.ctx.now - item.lastChunkAt > progressTimeoutOf(view->second) + kTickPeriod) {
                silent.push_back({id, index, item.upstream});
            }
        }
    }
    for (const run_operation &run : silent) {
        const owned_item &item = s.state.owned.at(run.batch).items.at(run.item);
        s.log("run-silent", item.item.id.value,
              run.upstream.value + " sent no complete chunk for "
                      + std::to_string((s.ctx.now - item.lastChunkAt).count()) + " ms");
        s.emit(cancel_call{item.run});
        onRunEnded(s, run, call_end::timed_out);
    }
}

void onRunProgress(step &s, const run_operation &operation, const run_progressed &progress)
{
    recordHeard(s);
    owned_item *item = runningItemOf(s, operation, progress.op);
    if (item == nullptr) {
        return;
    }
    owned_batch &batch = s.state.owned.at(operation.batch);
    const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
    for (const run_chunk &chunk : progress.chunks) {
        const bool stale = chunk.version < batch.spec.minVersion.value;
        const bool mixesVersions = matchedRoute != nullptr && matchedRoute->singleVersion
                                   && !item->versions.empty() && !item->versions.contains(chunk.version);
        if (chunk.number != item->chunkCount + 1 || stale || mixesVersions) {
            s.log("run-output-rejected", item->item.id.value,
                  "rejected chunk " + std::to_string(chunk.number) + " after chunk "
                          + std::to_string(item->chunkCount) + ", weight version "
                          + std::to_string(chunk.version));
            if (stale || mixesVersions) {
                discardOutput(s, *item, "wrong weight version");
                ejectUpstream(s, operation.upstream, kMisdirectedRunEjection, "wrong weight version");
            }
            stopRun(s, *item);
            return;
        }
        if (item->chunkCount > 0) {
            item->text += '\n';
        }
        item->text += chunk.data;
        item->versions.insert(chunk.version);
        ++item->chunkCount;
    }
    const bool isFirstOfRun = item->chunkCount - progress.chunks.size() == item->chunkCountAtStart;
    item->timeline.enterAfter(isFirstOfRun                                     ? item->timeline.stage()
                              : s.ctx.now - item->lastChunkAt >= kStallTimeout ? item_stage::stall
                                                                               : item_stage::generation,
                              item_stage::generation, s.ctx.now);
    // The time of the first chunk includes the queue and the prompt; only later ones measure the latency.
    if (item->chunkCount - progress.chunks.size() > item->chunkCountAtStart && !progress.chunks.empty()) {
        recordLatency(s, operation.upstream,
                      static_cast<double>((s.ctx.now - item->lastChunkAt).count())
                              / static_cast<double>(progress.chunks.size()));
    }
    item->lastChunkAt = s.ctx.now;
    if (isFirstOfRun) {
        item->firstChunkAt = s.ctx.now;
        endReading(s, *item);
    }
    raiseReservation(s, *item);
    if (const auto view = s.state.upstreams.find(operation.upstream); view != s.state.upstreams.end()) {
        view->second.lastChunkAt = s.ctx.now;
        if (item->startedAt < view->second.brokeAt) {
            // A connection from before the failure still delivers, so the process was not replaced.
            view->second.confirmedAt = s.ctx.now;
        }
        recordRunLatency(view->second, *item, s.ctx.now);
    }
}

void onRunEnded(step &s, const run_operation &operation, call_end end)
{
    countUpstreamRequest(s, end);
    const auto found = s.state.owned.find(operation.batch);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    owned_item &item = batch.items.at(operation.item);
    const std::string id = item.item.id.value;
    detachRun(s, item);
    if (end == call_end::unreachable) {
        recordBreak(s, operation.upstream);
        recordUnreachable(s, operation.upstream);
    } else if (end == call_end::incomplete || end == call_end::timed_out) {
        recordBreak(s, operation.upstream);
        recordSilence(s, operation.upstream);
    } else if (end == call_end::malformed) {
        recordBreak(s, operation.upstream);
    }
    switch (end) {
    case call_end::complete:
        s.emit(observe{"item_run_ms", static_cast<double>((s.ctx.now - item.startedAt).count())});
        onTextComplete(s, batch, operation.item);
        startRewards(s);
        commitFinished(s, batch);
        break;
    case call_end::not_run:
    case call_end::unreachable:
        ejectUpstream(s, operation.upstream, kRefusedRunEjection,
                      end == call_end::not_run ? "run refused" : "no connection");
        break;
    case call_end::unsendable:
        item.isUnsendable = true;
        s.log("item-unsendable", id,
              "request to " + operation.upstream.value + " cannot be written as HTTP; not run again");
        break;
    case call_end::misdirected:
        ejectUpstream(s, operation.upstream, kMisdirectedRunEjection,
                      "another server responds at its address");
        break;
    case call_end::failed: {
        const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
        ++item.failures;
        s.log("run-failed", id,
              operation.upstream.value + " answered with an error, failure " + std::to_string(item.failures));
        if (matchedRoute != nullptr && item.failures >= matchedRoute->maxAttempts) {
            finishItem(s, batch, operation.item, item_state::lost);
            commitFinished(s, batch);
        }
        break;
    }
    case call_end::permanently_rejected:
        s.log("item-impossible", id, operation.upstream.value);
        finishItem(s, batch, operation.item, item_state::lost);
        commitFinished(s, batch);
        break;
    case call_end::displaced:
        s.log("run-displaced", id, "no memory for the answer of " + operation.upstream.value);
        break;
    case call_end::incomplete:
    case call_end::timed_out:
    case call_end::malformed: {
        s.log("run-broken", id,
              operation.upstream.value + " " + std::string(howItBroke(end)) + " after chunk "
                      + std::to_string(item.chunkCount));
        const auto view = s.state.upstreams.find(operation.upstream);
        if (view != s.state.upstreams.end()) {
            view->second.consecutiveFailures
                    = std::min(view->second.consecutiveFailures + 1, kMaxFailureFactor);
            ejectUpstream(s, operation.upstream,
                          end == call_end::timed_out
                                  ? kTimedOutRunEjection
                                  : kIncompleteRunEjection * view->second.consecutiveFailures,
                          "run did not complete");
        }
        break;
    }
    }
    startRuns(s);
}

} // namespace jacinthvale::node
