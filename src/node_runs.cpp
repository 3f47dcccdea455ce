#include "node_placement.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Rest of an upstream that refused a run: its queue drains in the time of a few pieces.
constexpr milliseconds kFullRest{250};

/// Rest after a broken run, times the number of breaks in a row, up to the longest.
constexpr milliseconds kBrokenRest{150};
constexpr unsigned kMostStrikes = 8;

/// Rest of an upstream that fell silent: a crash lasts some seconds.
constexpr milliseconds kSilentRest{1500};

/// Rest of an address where another server answered, until its row is read anew.
constexpr milliseconds kMisdirectedRest{1000};

/// A run that brings no piece for this long is given up. A change of weights holds runs for about a second.
constexpr milliseconds kRunSilence{2000};

/// Weight of a new reading in the smoothed pace: a slow upstream shows after a few pieces.
constexpr double kPaceWeight = 0.2;

/// A run moves where that saves this much of its time, and this share of what is left. A move costs a few
/// milliseconds: the prompt and what was made are read again at some hundred tokens a millisecond.
constexpr double kWorthMovingMs = 300;
constexpr double kWorthMovingShare = 0.2;

/// A run stays where it is for at least this long, and moves this often at most: a pace wavers.
constexpr milliseconds kLeastStay{250};
constexpr unsigned kMostMoves = 6;

/// A run without a piece for this long, while others at its upstream make theirs, is stalled: eight pieces at
/// the usual pace. Memory comes free there only when another run ends, a second or more later.
constexpr milliseconds kStallTime{400};

/// Pause between two looks for runs that are better off elsewhere.
constexpr milliseconds kMovePause{100};

owned_item *itemOf(step &s, const for_run &what, op_id op)
{
    const auto found = s.state.owned.find(what.batch);
    if (found == s.state.owned.end()) {
        return nullptr;
    }
    owned_item &item = found->second.items.at(what.item);
    return item.phase == item_phase::running && item.run == op ? &item : nullptr;
}

void forget(owned_item &item)
{
    item.text.clear();
    item.pieces = 0;
    item.versions.clear();
}

void release(step &s, const owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    if (found != s.state.upstreams.end() && found->second.running > 0) {
        --found->second.running;
        found->second.booked
                = found->second.running == 0 ? 0 : std::max(0.0, found->second.booked - item.booked);
    }
}

/// Ends the books of a run that is over or was stopped; the item waits again.
void leave(step &s, owned_item &item)
{
    release(s, item);
    s.state.ops.erase(item.run);
    item.run = {};
    item.phase = item_phase::waiting;
}

void startRun(step &s, owned_batch &batch, std::size_t index, const upstream_id &target, double latestStart)
{
    owned_item &item = batch.items[index];
    upstream_view &view = s.state.upstreams.at(target);
    ++view.running;
    item.booked = expectedTokens(s.state, view.entry.service, item);
    view.booked += item.booked;
    item.phase = item_phase::running;
    item.upstream = target;
    item.startedAt = s.at.now;
    if (item.firstStartedAt == instant{}) {
        item.firstStartedAt = s.at.now;
    }
    item.lastPieceAt = s.at.now;
    item.piecesAtStart = item.pieces;
    item.run = s.open(for_run{batch.what.id, index, target});
    const double slack = latestStart - static_cast<double>(storeTime(s.state, s.at.now));
    s.emit(run_item{item.run, view.entry.address, target, batch.what.host, item.item, item.pieces,
                    urgencyOf(slack, item.spare), kRunSilence});
}

/// Books what a run that goes on beyond its guess will need.
void rebook(step &s, owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    if (found == s.state.upstreams.end()) {
        return;
    }
    const double needed = expectedTokens(s.state, found->second.entry.service, item);
    if (needed > item.booked) {
        found->second.booked += needed - item.booked;
        item.booked = needed;
    }
}

/// True where the run stands still while others at its upstream go on: it was put back for want of memory, or
/// waits in the queue.
bool isStalled(const step &s, const owned_item &item)
{
    const auto found = s.state.upstreams.find(item.upstream);
    return found != s.state.upstreams.end() && !isLoading(s.state, item.upstream, s.at.now)
           && s.at.now - item.lastPieceAt >= kStallTime
           && found->second.lastPieceAt >= item.lastPieceAt + kStallTime;
}

void notePace(step &s, const upstream_id &id, double milliseconds)
{
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        return;
    }
    upstream_view &view = found->second;
    view.paceMs = view.paceMs > 0 ? view.paceMs + kPaceWeight * (milliseconds - view.paceMs) : milliseconds;
    view.bestPaceMs = view.bestPaceMs > 0 ? std::min(view.bestPaceMs, view.paceMs) : view.paceMs;
    view.paceAt = s.at.now;
    view.paceMeasuredAt = s.at.now;
    view.strikes = 0;
}

} // namespace

void finish(step &s, owned_batch &batch, std::size_t index, item_state outcome)
{
    owned_item &item = batch.items[index];
    item.phase = item_phase::finished;
    item.outcome = outcome;
    item.finishedAt = s.at.now;
    batch.finished.push_back(index);
}

void rest(step &s, const upstream_id &id, milliseconds time, const std::string &why)
{
    const auto found = s.state.upstreams.find(id);
    if (found == s.state.upstreams.end()) {
        return;
    }
    found->second.restUntil = std::max(found->second.restUntil, s.at.now + time);
    s.log("upstream-rests", id.value, why + ", " + std::to_string(time.count()) + " ms");
}

void markSpare(owned_batch &batch)
{
    std::vector<batch_item> items;
    std::ranges::transform(batch.items, std::back_inserter(items), &owned_item::item);
    const std::set<std::string> spare = spareGroups(items, batch.what.groupsWanted);
    for (owned_item &item : batch.items) {
        item.spare = spare.contains(item.item.group);
    }
}

void startRuns(step &s)
{
    node_state &state = s.state;
    if (state.stopping || !state.configKnown) {
        return;
    }
    struct candidate
    {
        double latest;
        owned_batch *batch;
        std::size_t index;
        service_id service;
    };
    std::vector<candidate> waiting;
    outlook_cache outlooks(state, s.at.now);
    for (auto &[id, batch] : state.owned) {
        const route *by = findRoute(state.config, batch.what.host, batch.what.path);
        if (by == nullptr || batch.handingOver) {
            continue;
        }
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            const owned_item &item = batch.items[i];
            if (item.phase == item_phase::waiting) {
                const service_id service = drawService(*by, stableHash(item.item.id.value));
                const double median = outlooks.of(service).medianPaceMs;
                waiting.push_back(
                        {latestStartMs(state, batch, item, *by, service, median), &batch, i, service});
            }
        }
    }
    std::ranges::sort(waiting, {}, &candidate::latest);
    std::set<std::tuple<service_id, model_id, weight_version>> full;
    for (const candidate &next : waiting) {
        const batch &what = next.batch->what;
        const auto key = std::make_tuple(next.service, what.model, what.minVersion);
        if (full.contains(key)) {
            continue;
        }
        const batch_item &item = next.batch->items[next.index].item;
        const auto target = placeRun(state,
                                     {next.service, what.model, what.minVersion, &outlooks.of(next.service),
                                      expectedTokens(item), isShort(item), false},
                                     s.at.now);
        if (!target) {
            full.insert(key);
            continue;
        }
        startRun(s, *next.batch, next.index, *target, next.latest);
    }
}

namespace {

/// Upstream that a run is better off at; none where it should stay.
std::optional<upstream_id> betterPlace(const step &s, const owned_batch &batch, const owned_item &item,
                                       double left, const service_id &service, outlook_cache &outlooks)
{
    const service_outlook &outlook = outlooks.of(service);
    const auto here = s.state.upstreams.find(item.upstream);
    if (outlook.medianPaceMs <= 0 || here == s.state.upstreams.end()) {
        return std::nullopt;
    }
    const double pace = paceOf(here->second, outlook.medianPaceMs, s.at.now);
    const bool stalled = isStalled(s, item);
    if (!stalled && left * pace < kWorthMovingMs) {
        return std::nullopt;
    }
    const auto target = placeRun(s.state,
                                 {service, batch.what.model, batch.what.minVersion, &outlook,
                                  expectedTokens(s.state, service, item), false, true, stalled},
                                 s.at.now);
    if (!target || *target == item.upstream || stalled) {
        return target == item.upstream ? std::nullopt : target;
    }
    const double there = paceOf(s.state.upstreams.at(*target), outlook.medianPaceMs, s.at.now);
    const bool worthIt = left * (pace - there) >= std::max(kWorthMovingMs, kWorthMovingShare * left * pace);
    return worthIt ? target : std::nullopt;
}

} // namespace

void moveStragglers(step &s)
{
    node_state &state = s.state;
    if (state.nextMoveAt > s.at.now || state.owned.empty()) {
        return;
    }
    state.nextMoveAt = s.at.now + kMovePause;
    outlook_cache outlooks(state, s.at.now);
    for (auto &[id, batch] : state.owned) {
        const route *by = findRoute(state.config, batch.what.host, batch.what.path);
        if (by == nullptr || batch.handingOver) {
            continue;
        }
        struct candidate
        {
            double left;
            std::size_t index;
            service_id service;
        };
        std::vector<candidate> candidates;
        for (std::size_t index = 0; index < batch.items.size(); ++index) {
            const owned_item &item = batch.items[index];
            if (item.phase == item_phase::running && item.moves < kMostMoves
                && s.at.now - item.startedAt >= kLeastStay) {
                const service_id service = drawService(*by, stableHash(item.item.id.value));
                candidates.push_back({expectedPiecesLeft(state, service, item), index, service});
            }
        }
        std::ranges::sort(candidates, std::greater<>{}, &candidate::left);
        for (const auto &[left, index, service] : candidates) {
            owned_item &item = batch.items[index];
            const auto target = betterPlace(s, batch, item, left, service, outlooks);
            if (!target) {
                continue;
            }
            s.log("run-moved", item.item.id.value,
                  item.upstream.value + " to " + target->value + " after piece "
                          + std::to_string(item.pieces));
            s.emit(count{"runs_moved"});
            ++item.moves;
            stopRun(s, item);
            startRun(s, batch, index, *target,
                     latestStartMs(state, batch, item, *by, service, outlooks.of(service).medianPaceMs));
        }
    }
}

void stopRun(step &s, owned_item &item)
{
    if (item.phase == item_phase::running) {
        s.emit(cancel_call{item.run});
        leave(s, item);
    }
}

void onRunProgress(step &s, const for_run &what, const run_progressed &progress)
{
    owned_item *item = itemOf(s, what, progress.op);
    if (item == nullptr) {
        return;
    }
    owned_batch &batch = s.state.owned.at(what.batch);
    const route *by = findRoute(s.state.config, batch.what.host, batch.what.path);
    for (const run_piece &piece : progress.pieces) {
        const bool stale = piece.version < batch.what.minVersion.value;
        const bool mixed = by != nullptr && by->singleVersion && !item->versions.empty()
                           && !item->versions.contains(piece.version);
        if (piece.number != item->pieces + 1 || stale || mixed) {
            s.log("run-unfit", item->item.id.value,
                  "piece " + std::to_string(piece.number) + " after " + std::to_string(item->pieces)
                          + ", version " + std::to_string(piece.version));
            if (stale || mixed) {
                forget(*item);
                rest(s, what.upstream, kMisdirectedRest, "weights do not fit");
            }
            stopRun(s, *item);
            return;
        }
        if (item->pieces > 0) {
            item->text += '\n';
        }
        item->text += piece.data;
        item->versions.insert(piece.version);
        ++item->pieces;
    }
    // The first piece waits for its place and the prompt: only later ones tell the pace.
    if (item->pieces - progress.pieces.size() > item->piecesAtStart && !progress.pieces.empty()) {
        notePace(s, what.upstream,
                 static_cast<double>((s.at.now - item->lastPieceAt).count())
                         / static_cast<double>(progress.pieces.size()));
    }
    item->lastPieceAt = s.at.now;
    rebook(s, *item);
    if (const auto view = s.state.upstreams.find(what.upstream); view != s.state.upstreams.end()) {
        view->second.lastPieceAt = s.at.now;
    }
}

void onRunEnded(step &s, const for_run &what, call_end end)
{
    const auto found = s.state.owned.find(what.batch);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    owned_item &item = batch.items.at(what.item);
    const std::string id = item.item.id.value;
    leave(s, item);
    switch (end) {
    case call_end::complete:
        s.emit(observe{"item_run_ms", static_cast<double>((s.at.now - item.startedAt).count())});
        finish(s, batch, what.item, item_state::succeeded);
        commitFinished(s, batch);
        break;
    case call_end::not_run:
        rest(s, what.upstream, kFullRest, "refused a run");
        break;
    case call_end::misdirected:
        rest(s, what.upstream, kMisdirectedRest, "another server at its address");
        break;
    case call_end::failed: {
        const route *by = findRoute(s.state.config, batch.what.host, batch.what.path);
        ++item.failures;
        s.log("run-failed", id, what.upstream.value + ", failure " + std::to_string(item.failures));
        if (by != nullptr && item.failures >= by->maxAttempts) {
            finish(s, batch, what.item, item_state::lost);
            commitFinished(s, batch);
        }
        break;
    }
    case call_end::impossible:
        s.log("item-impossible", id, what.upstream.value);
        finish(s, batch, what.item, item_state::lost);
        commitFinished(s, batch);
        break;
    case call_end::broken:
    case call_end::silent: {
        s.log("run-broken", id,
              what.upstream.value + (end == call_end::silent ? " silent" : " broken") + " after piece "
                      + std::to_string(item.pieces));
        const auto view = s.state.upstreams.find(what.upstream);
        if (view != s.state.upstreams.end()) {
            view->second.strikes = std::min(view->second.strikes + 1, kMostStrikes);
            rest(s, what.upstream, end == call_end::silent ? kSilentRest : kBrokenRest * view->second.strikes,
                 "run broken");
        }
        break;
    }
    }
    startRuns(s);
}

} // namespace jacinthvale::node
