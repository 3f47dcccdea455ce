// Streams of events that are forwarded to callers as they arrive.
//
// A stream goes on only at upstreams of the build that began it, within one answer as well as when a caller
// takes it up again at a daemon that has not seen it.
#include "node_call_policy.h"
#include "node_placement.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Time that other daemons have to confirm that they keep the origin of a stream. Its first event waits for
/// one of them.
constexpr milliseconds kOriginShareTimeout{150};

/// Time that other daemons have to tell the origin of a stream.
constexpr milliseconds kOriginQueryTimeout{400};

/// Longest wait of a stream for an upstream that can take it: after its first event, and before.
constexpr milliseconds kMaxStreamWait{1500};
constexpr double kStartWaitShare = 0.25;

/// An upstream is silent after this multiple of the route's objective, within these bounds.
constexpr int kSilenceObjectives = 4;
constexpr milliseconds kMinSilence{2000};
constexpr milliseconds kMaxSilence{20'000};

void findOrigin(step &s, exchange_id exchange);

stream_state *findStream(step &s, exchange_id exchange)
{
    const auto found = s.state.streams.find(exchange);
    return found == s.state.streams.end() ? nullptr : &found->second;
}

void cancelRun(step &s, stream_state &stream)
{
    if (stream.op.value != 0) {
        s.emit(cancel_call{stream.op});
        s.state.ops.erase(stream.op);
        releaseSlot(s, stream.upstream);
        stream.op = {};
    }
}

void forgetStream(step &s, exchange_id exchange)
{
    stream_state &stream = s.state.streams.at(exchange);
    cancelRun(s, stream);
    for (const op_id op : stream.originOps) {
        s.state.ops.erase(op);
    }
    s.state.streams.erase(exchange);
}

/// Ends a stream that cannot go on. Where its caller has events the connection is closed, so that the caller
/// takes it up again.
void failStream(step &s, exchange_id exchange, refusal kind, const std::string &reason,
                milliseconds retryAfter = kRetryAfter)
{
    const stream_state &stream = s.state.streams.at(exchange);
    s.log(stream.begun ? "stream-broken" : "call-refused", stream.call.id.value,
          reason + ", after event " + std::to_string(stream.lastEvent), contentField(stream.content));
    countCallOutcome(s, stream.begun ? "broken" : "refused");
    if (stream.begun) {
        s.emit(end_stream{exchange, false});
    } else {
        s.emit(refuse_call{exchange, kind, kind == refusal::not_run ? retryAfter : milliseconds{0}});
    }
    forgetStream(s, exchange);
}

/// Hands held events over, and ends the stream if it is complete.
void releaseEvents(step &s, exchange_id exchange)
{
    stream_state &stream = s.state.streams.at(exchange);
    if (!stream.released || !stream.headReceived) {
        return;
    }
    if (!stream.begun && (!stream.held.empty() || stream.complete)) {
        stream.begun = true;
        s.emit(observe{"stream_start_ms", static_cast<double>((s.ctx.now - stream.arrivedAt).count())});
        s.emit(begin_stream{exchange, stream.headers});
    }
    if (!stream.held.empty()) {
        s.emit(send_stream{exchange, std::exchange(stream.held, {})});
    }
    if (stream.complete) {
        countCallOutcome(s, "answered");
        recordRouteDuration(s, stream.matchedRoute,
                            static_cast<double>((s.ctx.now - stream.arrivedAt).count()));
        s.emit(end_stream{exchange, true});
        forgetStream(s, exchange);
    }
}

/// Tells other daemons the origin of a stream. Its events wait until one of them has confirmed it.
void shareOrigin(step &s, exchange_id exchange, stream_state &stream)
{
    recordStreamOrigin(s, stream.stream, *stream.build);
    const std::vector<endpoint> keepers = originKeepers(s.state, stream.stream, s.ctx.now);
    stream.originAskedAt = s.ctx.now;
    for (std::size_t i = 0; i < std::min(kOriginCopies, keepers.size()); ++i) {
        const op_id op = s.open(stream_origin_operation{exchange});
        stream.originOps.insert(op);
        s.emit(share_stream_origin{op, keepers[i], stream.stream, *stream.build});
    }
    stream.released = stream.originOps.empty();
}

milliseconds silenceTimeout(const stream_state &stream, milliseconds remaining)
{
    if (!stream.matchedRoute.resumable) {
        return remaining;
    }
    return std::min(remaining,
                    std::clamp(stream.matchedRoute.objective * kSilenceObjectives, kMinSilence, kMaxSilence));
}

bool mayRun(const stream_state &stream)
{
    // Events without numbers cannot be told from those of a second run.
    const bool isNumbered = stream.lastEvent > 0 || !stream.begun;
    return isNumbered && stream.sent + stream.relayed < stream.matchedRoute.maxAttempts
           && (stream.matchedRoute.resumable || !stream.mayHaveRun);
}

/// @returns the upstreams that were tried, and for a stream that may be resumed those of which the build is
/// not sure.
std::set<upstream_id> excludedUpstreams(const step &s, const stream_state &stream)
{
    std::set<upstream_id> excluded = stream.tried;
    if (stream.matchedRoute.resumable) {
        for (const auto &[id, view] : s.state.upstreams) {
            if (!isConfirmed(view, s.ctx.now)) {
                excluded.insert(id);
            }
        }
    }
    return excluded;
}

/// Sends a stream to another daemon, because this one may have no path to the upstreams.
bool relayStream(step &s, exchange_id exchange, stream_state &stream)
{
    const bool mayRepeat = stream.matchedRoute.resumable || !stream.mayHaveRun;
    // Attempts that reached no upstream do not count against the route's limit.
    const unsigned used = stream.relayed + (mayHaveArrived(s.state, stream.startedAt) ? stream.sent : 0);
    const bool isNumbered = stream.lastEvent > 0 || !stream.begun;
    if (!isPathDoubtful(s.state) || !(s.state.path.lost || !stream.tried.empty()) || !mayRepeat || !isNumbered
        || stream.call.isRelayed || used >= stream.matchedRoute.maxAttempts) {
        return false;
    }
    const auto peer = relayPeer(s, stream.relayedTo);
    if (!peer) {
        return false;
    }
    const auto &[host, address] = *peer;
    stream.relayedTo.insert(host);
    ++stream.relayed;
    stream.waitingSince.reset();
    stream.upstream = {};
    stream.startedAt = s.ctx.now;
    stream.op = s.open(relay_operation{exchange, host});
    const milliseconds remaining = std::max(milliseconds{1}, stream.deadline - s.ctx.now);
    client_call call = stream.call;
    if (stream.lastEvent > 0) {
        call.resumeAfter = stream.lastEvent;
        call.resumes = stream.stream;
    }
    s.log("call-relayed", call.id.value,
          "to " + host.value + " after event " + std::to_string(stream.lastEvent));
    s.emit(count{"calls_relayed"});
    s.emit(relay_call{
            stream.op, address, std::move(call), 1, remaining, true, {}, silenceTimeout(stream, remaining)});
    return true;
}

/// Starts the stream, or goes on with it, at an upstream that can take it. Otherwise it waits for one, or
/// ends if there will be none.
void startStream(step &s, exchange_id exchange)
{
    stream_state &stream = s.state.streams.at(exchange);
    const refusal kind = stream.mayHaveRun ? refusal::may_have_run : refusal::not_run;
    if (!stream.call.isRelayed && !stream.mayHaveRun && stream.build == std::nullopt) {
        // Its key may have been taken away while the stream waited. One that has run goes on.
        const access_verdict access
                = accessOf(s.state, stream.call.key, stream.matchedRoute.isPublic, s.ctx.now);
        if (const auto *undecided = std::get_if<access_undecided>(&access)) {
            failStream(s, exchange, kind, "the key may have been taken away meanwhile",
                       undecided->retryAfter);
            return;
        }
        if (std::holds_alternative<access_denied>(access)) {
            failStream(s, exchange, refusal::unauthorized, "the key was taken away meanwhile");
            return;
        }
    }
    if (isQuarantined(s.state, stream.content)) {
        s.emit(count{"calls_quarantined"});
        failStream(s, exchange, kind, "upstreams crash under this content", kQuarantineRetryAfter);
        return;
    }
    if (relayStream(s, exchange, stream)) {
        return;
    }
    if (stream.lastEvent > 0 && !stream.build) {
        // Another daemon forwarded the events so far.
        findOrigin(s, exchange);
        return;
    }
    if (!mayRun(stream)) {
        failStream(s, exchange, kind, "route allows no further attempt");
        return;
    }
    if (stream.build && !isBuildServed(s.state, *stream.build)) {
        failStream(s, exchange, kind, "no upstream of " + toString(*stream.build) + " is left");
        return;
    }
    const upstream_build *build = stream.build ? &*stream.build : nullptr;
    auto target = placeCall(s.state, stream.service, excludedUpstreams(s, stream), call_priority::interactive,
                            s.ctx.now, build);
    if (!target && build != nullptr) {
        // Few upstreams are of this build; one that broke off before may be well again.
        target = placeCall(s.state, stream.service, {}, call_priority::interactive, s.ctx.now, build);
    }
    if (!target) {
        if (!stream.waitingSince) {
            stream.waitingSince = s.ctx.now;
        }
        return;
    }
    stream.waitingSince.reset();
    upstream_view &view = s.state.upstreams.at(*target);
    ++view.running;
    recordSent(s, view, !stream.tried.empty());
    ++stream.sent;
    stream.tried.insert(*target);
    stream.upstream = *target;
    stream.upstreamBuild = buildOf(view.entry);
    stream.startedAt = s.ctx.now;
    stream.op = s.open(stream_operation{exchange, *target});
    if (stream.lastEvent > 0) {
        s.log("stream-resumed", stream.call.id.value,
              "after event " + std::to_string(stream.lastEvent) + " of " + toString(*stream.build) + " at "
                      + target->value + " of " + toString(stream.upstreamBuild));
        s.emit(count{"streams_resumed_total"});
    }
    const milliseconds remaining = std::max(milliseconds{1}, stream.deadline - s.ctx.now);
    s.emit(forward_stream{stream.op, view.entry.address, *target, stream.call, stream.lastEvent, remaining,
                          silenceTimeout(stream, remaining), stream.matchedRoute.resumable});
}

/// True if `recentBuilds` is complete: another daemon has answered, or there is none. A daemon that has just
/// started knows only the builds that its table lists now.
bool knowsRecentBuilds(step &s, const stream_state &stream)
{
    return stream.originAnswered
           || (feedOf(s.state, table_id::daemons).synced && feedOf(s.state, table_id::upstreams).synced
               && s.state.members.size() <= 1);
}

/// All daemons that were asked have answered, or their time is over.
void continueWithOrigin(step &s, exchange_id exchange, std::optional<upstream_build> build)
{
    stream_state &stream = s.state.streams.at(exchange);
    stream.findingOrigin = false;
    for (const op_id op : stream.originOps) {
        s.state.ops.erase(op);
    }
    stream.originOps.clear();
    if (!build && stream.recentBuilds.size() == 1 && knowsRecentBuilds(s, stream)) {
        build = *stream.recentBuilds.begin();
    }
    if (!build) {
        failStream(s, exchange, refusal::not_run,
                   "no daemon knows which of " + std::to_string(stream.recentBuilds.size())
                           + " builds began the stream " + stream.stream.value);
        return;
    }
    if (std::ranges::find(stream.matchedRoute.services, build->service, &service_share::service)
        == stream.matchedRoute.services.end()) {
        failStream(s, exchange, refusal::not_run,
                   "the route no longer leads to the service of " + toString(*build));
        return;
    }
    stream.build = std::move(build);
    stream.service = stream.build->service;
    // Whoever takes the stream up next finds its origin at the same daemons; nothing waits for them.
    shareOrigin(s, exchange, stream);
    stream.released = true;
    startStream(s, exchange);
}

void findOrigin(step &s, exchange_id exchange)
{
    stream_state &stream = s.state.streams.at(exchange);
    const stream_origin own = findStreamOrigin(s.state, stream.stream, stream.service, s.ctx.now);
    stream.recentBuilds = own.recentBuilds;
    if (own.build) {
        continueWithOrigin(s, exchange, own.build);
        return;
    }
    std::vector<endpoint> peers = originKeepers(s.state, stream.stream, s.ctx.now);
    peers.resize(std::min(peers.size(), kOriginQueries));
    stream.findingOrigin = true;
    stream.originAskedAt = s.ctx.now;
    for (const endpoint &peer : peers) {
        const op_id op = s.open(stream_origin_operation{exchange});
        stream.originOps.insert(op);
        s.emit(find_stream_origin{op, peer, stream.stream, stream.service});
    }
    if (peers.empty()) {
        continueWithOrigin(s, exchange, std::nullopt);
    }
}

/// A run ended early: the stream goes on elsewhere if it may.
void onRunBroken(step &s, exchange_id exchange, call_end end, const std::string &reason)
{
    stream_state &stream = s.state.streams.at(exchange);
    stream.mayHaveRun = true;
    s.log("call-broken", stream.call.id.value,
          stream.upstream.value + " " + reason + " after event " + std::to_string(stream.lastEvent)
                  + ", attempt " + std::to_string(stream.sent),
          contentField(stream.content));
    recordBreak(s, stream.upstream);
    ejectUpstream(s, stream.upstream, kBrokenCallEjection, "stream did not complete");
    // A process that sends bytes has not ended under the call.
    if (end != call_end::malformed) {
        recordSilence(s, stream.upstream);
        suspectCrash(s, stream.content, stream.upstream);
    }
    startStream(s, exchange);
}

} // namespace

void onStreamRequested(step &s, const client_call &call, const route &matchedRoute)
{
    stream_state stream;
    stream.call = call;
    stream.content = contentOf(call);
    stream.matchedRoute = matchedRoute;
    stream.arrivedAt = s.ctx.now;
    stream.deadline = endBeforeExit(s.state, callDeadline(call, matchedRoute, s.ctx.now));
    const bool resumes = matchedRoute.resumable && call.resumeAfter > 0;
    stream.stream = resumes ? call.resumes : call.id;
    stream.lastEvent = resumes ? call.resumeAfter : 0;
    stream.service = pickService(matchedRoute, stableHash(stream.stream.value));
    recordDemand(s, stream.service, 1);
    s.state.streams.insert_or_assign(call.exchange, std::move(stream));
    if (resumes) {
        findOrigin(s, call.exchange);
    } else {
        startStream(s, call.exchange);
    }
}

void onStreamStarted(step &s, exchange_id exchange, const stream_started &started)
{
    stream_state *stream = findStream(s, exchange);
    if (stream != nullptr && !stream->headReceived) {
        stream->headReceived = true;
        stream->headers = started.headers;
        stream->released |= !stream->matchedRoute.resumable;
    }
}

void onStreamProgress(step &s, exchange_id exchange, const stream_progressed &progress)
{
    stream_state *stream = findStream(s, exchange);
    if (stream == nullptr || stream->op != progress.op) {
        return;
    }
    bool inOrder = true;
    for (const run_chunk &event : progress.events) {
        inOrder = event.number == 0 || event.number == stream->lastEvent + 1;
        if (!inOrder) {
            break;
        }
        stream->lastEvent = std::max(stream->lastEvent, event.number);
        stream->held += event.event;
    }
    if (const auto view = s.state.upstreams.find(stream->upstream);
        view != s.state.upstreams.end() && stream->startedAt < view->second.brokeAt) {
        // A connection from before the failure still delivers, so the process was not replaced.
        view->second.confirmedAt = s.ctx.now;
    }
    if (stream->upstream.empty()) {
        // The daemon that forwards the stream here has told its origin to others.
        stream->released = true;
    } else {
        recordHeard(s);
        if (!stream->isCounted && stream->call.resumeAfter == 0) {
            stream->isCounted = true;
            countUsage(s, stream->call);
        }
    }
    if (!stream->upstream.empty() && !stream->build && !progress.events.empty()) {
        stream->build = stream->upstreamBuild;
        if (stream->matchedRoute.resumable && stream->lastEvent > 0) {
            shareOrigin(s, exchange, *stream);
        } else {
            stream->released = true;
        }
    }
    releaseEvents(s, exchange);
    if (!inOrder) {
        cancelRun(s, *stream);
        onRunBroken(s, exchange, call_end::incomplete, "sent an event out of order");
    }
}

void onStreamEnded(step &s, const stream_operation &operation, const call_ended &ended)
{
    releaseSlot(s, operation.upstream);
    countUpstreamRequest(s, ended.end);
    stream_state *stream = findStream(s, operation.exchange);
    if (stream == nullptr || stream->op != ended.op) {
        return;
    }
    const exchange_id exchange = operation.exchange;
    const instant sentAt = stream->startedAt;
    stream->op = {};
    constexpr int kOk = 200;
    switch (ended.end) {
    case call_end::complete:
        recordSignOfLife(s, operation.upstream, sentAt);
        recordContentAnswered(s, stream->content);
        if (ended.status == kOk && stream->headReceived) {
            stream->complete = true;
            stream->released |= stream->lastEvent == 0;
            releaseEvents(s, exchange);
            return;
        }
        [[fallthrough]];
    case call_end::failed:
    case call_end::permanently_rejected:
        if (stream->headReceived
            || (ended.end == call_end::failed && mayRun(*stream) && stream->matchedRoute.resumable)) {
            onRunBroken(s, exchange, ended.end, "answered with status " + std::to_string(ended.status));
            return;
        }
        countCallOutcome(s, "answered");
        s.emit(answer_call{exchange, ended.status, ended.headers, ended.body});
        forgetStream(s, exchange);
        return;
    case call_end::unreachable:
        recordBreak(s, operation.upstream);
        recordUnreachable(s, operation.upstream);
        [[fallthrough]];
    case call_end::not_run:
        ejectUpstream(s, operation.upstream, kRefusedCallEjection,
                      ended.end == call_end::not_run ? "stream refused" : "no connection");
        --stream->sent;
        break;
    case call_end::unsendable:
        failStream(s, exchange, stream->mayHaveRun ? refusal::may_have_run : refusal::malformed,
                   "request to " + operation.upstream.value + " cannot be written as HTTP");
        return;
    case call_end::misdirected:
        ejectUpstream(s, operation.upstream, kMisdirectedCallEjection,
                      "another server responds at its address");
        --stream->sent;
        break;
    case call_end::incomplete:
    case call_end::timed_out:
    case call_end::malformed:
        onRunBroken(s, exchange, ended.end, std::string(howItBroke(ended.end)));
        return;
    case call_end::displaced:
        stream->mayHaveRun = true;
        s.log("call-displaced", stream->call.id.value,
              "no memory for the answer of " + operation.upstream.value);
        break;
    }
    startStream(s, exchange);
}

void onRelayedStreamEnded(step &s, exchange_id exchange, const relayed_call_ended &ended)
{
    stream_state *stream = findStream(s, exchange);
    if (stream == nullptr || stream->op != ended.op) {
        return;
    }
    stream->op = {};
    if (!ended.answer && ended.end == call_end::complete && stream->headReceived) {
        stream->complete = true;
        stream->released = true;
        releaseEvents(s, exchange);
        return;
    }
    if (ended.answer && ended.answer->answered && !stream->headReceived) {
        countCallOutcome(s, "answered");
        s.emit(answer_call{exchange, ended.answer->status, ended.answer->headers, ended.answer->body});
        forgetStream(s, exchange);
        return;
    }
    const bool notRun = isNotRun(ended);
    stream->mayHaveRun |= !notRun;
    stream->relayed -= notRun || (ended.answer && ended.answer->withoutPath) ? 1 : 0;
    s.log("relay-ended", stream->call.id.value,
          std::string(ended.answer ? "refused" : "broke off") + " after event "
                  + std::to_string(stream->lastEvent));
    startStream(s, exchange);
}

void leaveLostStreams(step &s)
{
    std::vector<exchange_id> running;
    for (const auto &[exchange, stream] : s.state.streams) {
        if (stream.op.value != 0 && !stream.upstream.empty()) {
            running.push_back(exchange);
        }
    }
    for (const exchange_id exchange : running) {
        stream_state &stream = s.state.streams.at(exchange);
        if (stream.call.isRelayed) {
            failStream(s, exchange, refusal::may_have_run, "this daemon has no path to the upstreams");
        } else if (stream.matchedRoute.resumable) {
            cancelRun(s, stream);
            stream.mayHaveRun = true;
            startStream(s, exchange);
        }
    }
}

void advanceStreams(step &s)
{
    std::vector<exchange_id> exchanges;
    for (const auto &[exchange, stream] : s.state.streams) {
        exchanges.push_back(exchange);
    }
    for (const exchange_id exchange : exchanges) {
        stream_state &stream = s.state.streams.at(exchange);
        if (stream.deadline <= s.ctx.now) {
            failStream(s, exchange,
                       stream.mayHaveRun || stream.op.value != 0 ? refusal::deadline_exceeded
                                                                 : refusal::not_run,
                       "deadline exceeded");
            continue;
        }
        if (stream.findingOrigin) {
            if (s.ctx.now - stream.originAskedAt >= kOriginQueryTimeout) {
                continueWithOrigin(s, exchange, std::nullopt);
            }
            continue;
        }
        if (stream.build && !stream.released && s.ctx.now - stream.originAskedAt >= kOriginShareTimeout) {
            s.log("stream-origin-unconfirmed", stream.call.id.value,
                  "no daemon confirmed that it keeps the origin; the events are sent all the same");
            stream.released = true;
            releaseEvents(s, exchange);
            continue;
        }
        if (!stream.waitingSince) {
            continue;
        }
        const milliseconds waited = s.ctx.now - *stream.waitingSince;
        const auto objective = static_cast<double>(stream.matchedRoute.objective.count());
        const milliseconds longest
                = stream.build ? kMaxStreamWait
                               : milliseconds{static_cast<std::int64_t>(kStartWaitShare * objective)};
        if (waited >= longest) {
            failStream(s, exchange, stream.mayHaveRun ? refusal::may_have_run : refusal::not_run,
                       "no upstream could take the stream for " + std::to_string(waited.count()) + " ms");
            continue;
        }
        startStream(s, exchange);
    }
}

void cancelStream(step &s, exchange_id exchange)
{
    if (const stream_state *stream = findStream(s, exchange)) {
        s.log("caller-gone", stream->call.id.value, "after event " + std::to_string(stream->lastEvent));
        countCallOutcome(s, "abandoned");
        forgetStream(s, exchange);
    }
}

void onStreamOriginShared(step &s, const stream_origin_shared &shared)
{
    recordStreamOrigin(s, shared.stream, shared.build);
    s.emit(answer_stream_origin{shared.exchange, {shared.build, {}}});
}

void onStreamOriginRequested(step &s, const stream_origin_requested &request)
{
    s.emit(answer_stream_origin{request.exchange,
                                findStreamOrigin(s.state, request.stream, request.service, s.ctx.now)});
}

void onStreamOriginReceived(step &s, const stream_origin_operation &operation,
                            const stream_origin_received &received)
{
    stream_state *stream = findStream(s, operation.exchange);
    if (stream == nullptr) {
        return;
    }
    stream->originOps.erase(received.op);
    if (!stream->findingOrigin) {
        if (received.origin && !stream->released) {
            stream->released = true;
            releaseEvents(s, operation.exchange);
        }
        return;
    }
    if (received.origin) {
        stream->originAnswered = true;
        stream->recentBuilds.insert(received.origin->recentBuilds.begin(),
                                    received.origin->recentBuilds.end());
    }
    if ((received.origin && received.origin->build) || stream->originOps.empty()) {
        continueWithOrigin(s, operation.exchange, received.origin ? received.origin->build : std::nullopt);
    }
}

} // namespace jacinthvale::node
