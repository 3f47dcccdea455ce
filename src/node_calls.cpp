#include "node_call_policy.h"
#include "node_placement.h"
#include "node_step.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace jacinthvale::node {

namespace {

/// A repeatable call is hedged to a second upstream when the first has not responded within this share of the
/// route's objective, so that the second can still respond within the objective.
constexpr double kHedgeDelayShare = 0.45;

/// Transfer time of a response to the caller; responses are sent this long before the caller's timeout.
constexpr milliseconds kResponseTransferTime{20};

/// Upper bound of the timeout of a call; applies alone where neither the route nor the caller sets a timeout.
constexpr milliseconds kMaxCallTimeout{60'000};

constexpr int kServerError = 500;

/// Weights of a new sample in the smoothed call durations of an upstream and of a route.
constexpr double kCallDurationWeight = 0.2;
constexpr double kRouteDurationWeight = 0.05;

/// Time until a hedge is tried again if no other upstream was available.
constexpr milliseconds kHedgeRetryInterval{100};

/// @returns the route's smoothed call duration; its latency objective until one is measured.
double expectedCallDuration(const node_state &state, const route &matchedRoute)
{
    return measuredDuration(state, matchedRoute)
            .value_or(static_cast<double>(matchedRoute.objective.count()));
}

/// Updates the speed of an upstream. Durations are compared within a route, because the work of a call
/// differs by route.
void recordRelativeDuration(step &s, const upstream_id &id, const route &matchedRoute, double durationMs)
{
    const auto view = s.state.upstreams.find(id);
    if (view == s.state.upstreams.end()) {
        return;
    }
    const double sample = durationMs / std::max(1.0, expectedCallDuration(s.state, matchedRoute));
    double &smoothed = view->second.relativeCallDuration;
    smoothed = smoothed > 0 ? smoothed + kCallDurationWeight * (sample - smoothed) : sample;
}

void recordCallDuration(step &s, const upstream_id &id, const route &matchedRoute, double durationMs)
{
    recordRelativeDuration(s, id, matchedRoute, durationMs);
    recordRouteDuration(s, matchedRoute, durationMs);
}

/// Records that attempts which lost against a faster one took at least as long as they have been running.
void recordSlowAttempts(step &s, const call_state &call)
{
    for (const call_attempt &attempt : call.running) {
        const auto elapsed = static_cast<double>((s.ctx.now - attempt.startedAt).count());
        if (elapsed > expectedCallDuration(s.state, call.matchedRoute)) {
            recordRelativeDuration(s, attempt.upstream, call.matchedRoute, elapsed);
        }
    }
}

void cancelAttempts(step &s, call_state &call)
{
    for (const call_attempt &attempt : call.running) {
        s.emit(cancel_call{attempt.op});
        s.state.ops.erase(attempt.op);
        releaseSlot(s, attempt.upstream);
    }
    call.running.clear();
}

/// Ends a call without an answer of an upstream.
void refuseCall(step &s, const call_origin &origin, refusal kind, const std::string &reason,
                milliseconds retryAfter = kRetryAfter)
{
    auto ended = s.state.calls.extract(origin);
    call_state &call = ended.mapped();
    cancelAttempts(s, call);
    std::visit(overloaded{[&](exchange_id exchange) {
                              s.log("call-refused", call.call.id.value, reason, contentField(call.content));
                              countCallOutcome(s, "refused");
                              s.emit(refuse_call{exchange, kind,
                                                 kind == refusal::not_run ? retryAfter : milliseconds{0}});
                          },
                          [&](const reward_origin &reward) { onRewardUnanswered(s, reward, call, reason); }},
               origin);
}

/// Ends a call with the answer of an upstream.
void answerCall(step &s, const call_origin &origin, const call_ended &ended)
{
    auto finished = s.state.calls.extract(origin);
    call_state &call = finished.mapped();
    recordSlowAttempts(s, call);
    cancelAttempts(s, call);
    const auto durationMs = static_cast<double>((s.ctx.now - call.arrivedAt).count());
    std::visit(overloaded{[&](exchange_id exchange) {
                              s.emit(observe{"call_ms", durationMs});
                              countCallOutcome(s, "answered");
                              s.emit(answer_call{exchange, ended.status, ended.headers, ended.body});
                          },
                          [&](const reward_origin &reward) { onRewardAnswered(s, reward, call, ended); }},
               origin);
}

/// Items and their reward calls are owed whatever happens to the upstreams that run them.
bool mayCrashUpstreams(const call_origin &origin)
{
    return std::holds_alternative<exchange_id>(origin);
}

milliseconds hedgeDelay(const call_state &call)
{
    const auto objective = static_cast<double>(call.matchedRoute.objective.count());
    return milliseconds{static_cast<std::int64_t>(kHedgeDelayShare * objective)};
}

/// @returns the verdict on a client's call as of now: its key may have been taken away while it waited. The
/// daemon that relayed a call has decided on it.
access_verdict currentAccess(const step &s, const call_origin &origin, const call_state &call)
{
    if (std::holds_alternative<reward_origin>(origin) || call.call.isRelayed) {
        return access_granted{};
    }
    return accessOf(s.state, call.call.key, call.matchedRoute.isPublic, s.ctx.now);
}

/// Sends a call to another daemon, because this one may have no path to the upstreams. The other one may send
/// it to a single upstream.
bool relayAttempt(step &s, const call_origin &origin, call_state &call)
{
    // Attempts that reached no upstream do not count against the route's limit.
    const auto unreached = std::ranges::count_if(call.running, [&](const call_attempt &attempt) {
        return !attempt.upstream.empty() && !mayHaveArrived(s.state, attempt.startedAt);
    });
    const unsigned used = call.relayed + call.sent - static_cast<unsigned>(unreached);
    const bool mayRelay = std::holds_alternative<exchange_id>(origin) && !call.call.isRelayed
                          && (call.repeatable || !call.mayHaveRun) && used < call.matchedRoute.maxAttempts;
    const auto peer = mayRelay ? relayPeer(s, call.relayedTo) : std::nullopt;
    if (!peer) {
        return false;
    }
    const auto &[host, address] = *peer;
    const op_id op = s.open(relay_operation{origin, host});
    call.relayedTo.insert(host);
    ++call.relayed;
    call.running.push_back({op, {}, s.ctx.now});
    call.nextTryAt = s.ctx.now + hedgeDelay(call);
    s.log("call-relayed", call.call.id.value,
          "to " + host.value
                  + (s.state.path.lost ? ", no path to the upstreams" : ", no response of any upstream"));
    s.emit(count{"calls_relayed"});
    const milliseconds remaining = std::max(milliseconds{1}, call.deadline - s.ctx.now);
    s.emit(relay_call{
            op, address, call.call, 1, remaining, false, {call.tried.begin(), call.tried.end()}, remaining});
    return true;
}

bool startAttempt(step &s, const call_origin &origin, call_state &call)
{
    if (!std::holds_alternative<access_granted>(currentAccess(s, origin, call))) {
        return false;
    }
    if (isPathDoubtful(s.state) && (s.state.path.lost || !call.tried.empty())
        && relayAttempt(s, origin, call)) {
        return true;
    }
    if (call.sent + call.relayed >= call.matchedRoute.maxAttempts
        || (mayCrashUpstreams(origin) && isQuarantined(s.state, call.content))) {
        return false;
    }
    const service_id service = pickService(call.matchedRoute, stableHash(call.call.id.value));
    const auto priority = std::holds_alternative<reward_origin>(origin) ? call_priority::background
                                                                        : call_priority::interactive;
    std::set<upstream_id> excluded = call.tried;
    if (!call.running.empty()) {
        // A hedge must not use the share of another call in the limit of an upstream.
        excluded.merge(limitedUpstreams(s.state, service));
    }
    const auto target = placeCall(s.state, service, excluded, priority, s.ctx.now);
    if (!target) {
        return false;
    }
    upstream_view &view = s.state.upstreams.at(*target);
    const op_id op = s.open(call_operation{origin, *target});
    ++view.running;
    recordSent(s, view, !call.tried.empty());
    ++call.sent;
    call.tried.insert(*target);
    call.running.push_back({op, *target, s.ctx.now});
    call.nextTryAt = s.ctx.now + hedgeDelay(call);
    if (!call.usageWindow && std::holds_alternative<exchange_id>(origin)) {
        call.usageWindow = countUsage(s, call.call);
    }
    s.emit(forward_call{op, view.entry.address, *target, call.call,
                        std::max(milliseconds{1}, call.deadline - s.ctx.now), call.repeatable});
    return true;
}

/// Called when no attempt is running: starts an attempt at another upstream, or sends the final response.
void retryOrRefuse(step &s, const call_origin &origin)
{
    call_state &call = s.state.calls.at(origin);
    const bool mayRepeat = call.repeatable || !call.mayHaveRun;
    if (mayRepeat && s.ctx.now < call.deadline && startAttempt(s, origin, call)) {
        return;
    }
    const refusal kind = call.mayHaveRun ? refusal::may_have_run : refusal::not_run;
    const access_verdict access = currentAccess(s, origin, call);
    if (const auto *undecided = std::get_if<access_undecided>(&access)) {
        refuseCall(s, origin, kind, "the key may have been taken away meanwhile", undecided->retryAfter);
        return;
    }
    if (std::holds_alternative<access_denied>(access)) {
        refuseCall(s, origin, call.mayHaveRun ? kind : refusal::unauthorized,
                   "the key was taken away meanwhile");
        return;
    }
    if (mayCrashUpstreams(origin) && isQuarantined(s.state, call.content)) {
        s.emit(count{"calls_quarantined"});
        refuseCall(s, origin, kind, "upstreams crash under this content", kQuarantineRetryAfter);
        return;
    }
    refuseCall(s, origin, kind,
               call.sent == 0 ? "no upstream available, or those that are limit their requests"
                              : "route allows no further attempt, or no other upstream available");
}

/// An attempt ended that did not run: without another one that may have, the request does not count as usage.
void takeBackUsage(step &s, call_state &call)
{
    const bool mayRun = call.mayHaveRun || std::ranges::any_of(call.running, [](const call_attempt &attempt) {
                            return !attempt.upstream.empty();
                        });
    if (call.usageWindow && !mayRun) {
        uncountUsage(s, call.call, *call.usageWindow);
        call.usageWindow.reset();
    }
}

/// True if a failed attempt may be followed by another one.
bool mayRetryFailure(const call_origin &origin, const call_state &call)
{
    return std::visit(
            overloaded{[&](exchange_id) {
                           return call.repeatable
                                  && (!call.running.empty() || call.sent < call.matchedRoute.maxAttempts);
                       },
                       // A round without attempts left is followed by another round.
                       [&](const reward_origin &) { return call.failures < call.matchedRoute.maxAttempts; }},
            origin);
}

/// Starts a call or stream of a client. @param attempts limit in addition to that of the route. @param tried
/// upstreams that the call has been sent to elsewhere.
void startClientCall(step &s, const client_call &call, std::optional<unsigned> attempts,
                     std::set<upstream_id> tried)
{
    node_state &state = s.state;
    const exchange_id exchange = call.exchange;
    if (!state.configKnown) {
        s.log("call-refused", call.id.value, "no configuration received yet");
        s.emit(refuse_call{exchange, refusal::not_run, kRetryAfter});
        return;
    }
    const route *matched = findRoute(state.config, call.host, call.target);
    if (matched == nullptr) {
        s.log("call-unknown", call.id.value,
              "no matching route in configuration version " + std::to_string(state.config.version));
        s.emit(refuse_call{exchange, refusal::not_found, {}});
        return;
    }
    client_call admitted = call;
    if (call.isRelayed) {
        if (!call.account && state.config.accounts && !matched->isPublic) {
            s.log("call-refused", call.id.value, "relayed without the account of its key");
            s.emit(refuse_call{exchange, refusal::not_run, kRetryAfter});
            return;
        }
        admitted.account = accountForUpstream(state, call.account.value_or(account_id{}));
    } else {
        const auto account = admitRequest(s, exchange, call.id.value, call.key, matched->isPublic);
        if (!account) {
            return;
        }
        admitted.account = accountForUpstream(state, *account);
    }
    route limited = *matched;
    limited.maxAttempts = std::min(limited.maxAttempts, attempts.value_or(limited.maxAttempts));
    if (!takesWhileStopping(s, exchange, call.id.value, callDeadline(call, limited, s.ctx.now),
                            measuredDuration(state, limited))) {
        return;
    }
    if (limited.kind == route_kind::stream) {
        onStreamRequested(s, admitted, limited);
        return;
    }
    call_state newCall;
    newCall.call = std::move(admitted);
    newCall.content = contentOf(call);
    newCall.tried = std::move(tried);
    recordDemand(s, pickService(limited, stableHash(call.id.value)), 1);
    newCall.repeatable = limited.kind == route_kind::repeatable;
    newCall.matchedRoute = std::move(limited);
    startCall(s, exchange, std::move(newCall));
}

} // namespace

void recordRouteDuration(step &s, const route &matchedRoute, double durationMs)
{
    const auto [found, first] = s.state.callDurations.try_emplace(matchedRoute.name, durationMs);
    if (!first) {
        found->second += kRouteDurationWeight * (durationMs - found->second);
    }
}

std::optional<double> measuredDuration(const node_state &state, const route &matchedRoute)
{
    const auto found = state.callDurations.find(matchedRoute.name);
    return found == state.callDurations.end() ? std::nullopt : std::optional(found->second);
}

void countCallOutcome(step &s, const std::string &outcome)
{
    s.emit(count{"calls_total{end=\"" + outcome + "\"}"});
}

std::string_view howItBroke(call_end end)
{
    return end == call_end::timed_out   ? "timed out"
           : end == call_end::malformed ? "sent what is no answer"
                                        : "broke off";
}

void countUpstreamRequest(step &s, call_end end)
{
    const auto word = [&] {
        switch (end) {
        case call_end::complete:
            return "complete";
        case call_end::not_run:
            return "notRun";
        case call_end::unreachable:
            return "unreachable";
        case call_end::unsendable:
            return "unsendable";
        case call_end::misdirected:
            return "misdirected";
        case call_end::failed:
            return "failed";
        case call_end::permanently_rejected:
            return "rejected";
        case call_end::incomplete:
            return "incomplete";
        case call_end::malformed:
            return "malformed";
        case call_end::displaced:
            return "displaced";
        case call_end::timed_out:
            break;
        }
        return "timedOut";
    };
    s.emit(count{std::string("upstream_requests_total{end=\"") + word() + "\"}"});
    if (end != call_end::unreachable && end != call_end::unsendable && end != call_end::incomplete
        && end != call_end::timed_out) {
        recordHeard(s);
    }
}

void releaseSlot(step &s, const upstream_id &id)
{
    const auto view = s.state.upstreams.find(id);
    if (view != s.state.upstreams.end() && view->second.running > 0) {
        --view->second.running;
    }
}

instant callDeadline(const client_call &call, const route &matchedRoute, instant now)
{
    milliseconds timeout = kMaxCallTimeout;
    if (matchedRoute.timeout.count() > 0) {
        timeout = std::min(timeout, matchedRoute.timeout);
    }
    if (call.remainingTimeout.count() > 0) {
        timeout = std::min(timeout, call.remainingTimeout);
    }
    return now + std::max(milliseconds{1}, timeout - kResponseTransferTime);
}

void startCall(step &s, const call_origin &origin, call_state call)
{
    call.arrivedAt = s.ctx.now;
    call.deadline = endBeforeExit(s.state, callDeadline(call.call, call.matchedRoute, s.ctx.now));
    s.state.calls.insert_or_assign(origin, std::move(call));
    retryOrRefuse(s, origin);
}

void cancelCall(step &s, const call_origin &origin)
{
    auto cancelled = s.state.calls.extract(origin);
    if (!cancelled.empty()) {
        cancelAttempts(s, cancelled.mapped());
    }
}

double expectedRewardDuration(const node_state &state, const reward_call &reward)
{
    const route *matchedRoute = findRoute(state.config, reward.host, reward.path);
    return matchedRoute == nullptr ? 0 : expectedCallDuration(state, *matchedRoute);
}

void onCallReceived(step &s, const call_received &received)
{
    startClientCall(s, received.call, std::nullopt, {});
}

bool isNotRun(const relayed_call_ended &ended)
{
    if (!ended.answer) {
        return ended.end == call_end::unreachable || ended.end == call_end::unsendable;
    }
    const refusal reason = ended.answer->reason;
    return !ended.answer->answered
           && (reason == refusal::not_run || reason == refusal::not_found || reason == refusal::malformed
               || reason == refusal::unauthorized);
}

void leaveLostPath(step &s)
{
    std::vector<call_origin> relayed;
    for (auto &[origin, call] : s.state.calls) {
        call.nextTryAt = s.ctx.now;
        if (call.call.isRelayed) {
            relayed.push_back(origin);
        }
    }
    for (const call_origin &origin : relayed) {
        const call_state &call = s.state.calls.at(origin);
        refuseCall(s, origin,
                   call.mayHaveRun || !call.running.empty() ? refusal::may_have_run : refusal::not_run,
                   "this daemon has no path to the upstreams");
    }
    leaveLostStreams(s);
}

void onRelayedCallReceived(step &s, const relayed_call_received &received)
{
    client_call call = received.call;
    call.isRelayed = true;
    if (s.state.path.lost) {
        s.log("call-refused", call.id.value, "relayed here, but this daemon has no path to the upstreams");
        s.emit(refuse_call{call.exchange, refusal::not_run, kRetryAfter});
        return;
    }
    s.log("call-taken-for-peer", call.id.value, "attempts left " + std::to_string(received.attempts));
    startClientCall(s, call, received.attempts, {received.tried.begin(), received.tried.end()});
}

void onRelayedCallEnded(step &s, const relay_operation &operation, const relayed_call_ended &ended)
{
    const auto found = s.state.calls.find(operation.origin);
    if (found == s.state.calls.end()) {
        if (const auto *exchange = std::get_if<exchange_id>(&operation.origin)) {
            onRelayedStreamEnded(s, *exchange, ended);
        }
        return;
    }
    call_state &call = found->second;
    const auto attempt = std::ranges::find(call.running, ended.op, &call_attempt::op);
    if (attempt == call.running.end()) {
        return;
    }
    call.running.erase(attempt);
    if (ended.answer && ended.answer->answered) {
        answerCall(s, operation.origin,
                   {ended.op, call_end::complete, ended.answer->status, ended.answer->headers,
                    ended.answer->body});
        return;
    }
    const bool notRun = isNotRun(ended);
    call.mayHaveRun |= !notRun;
    const bool withoutPath = ended.answer && ended.answer->withoutPath;
    if (withoutPath) {
        s.state.peerAdvisories[operation.host].withoutUpstreams = true;
    }
    call.relayed -= notRun || withoutPath ? 1 : 0;
    s.log("relay-ended", call.call.id.value,
          operation.host.value + (ended.answer ? " refused" : " gave no answer")
                  + (notRun ? ", not run" : ", may have run"));
    if (call.running.empty()) {
        retryOrRefuse(s, operation.origin);
    }
}

void onCallEnded(step &s, const call_operation &operation, const call_ended &ended)
{
    releaseSlot(s, operation.upstream);
    countUpstreamRequest(s, ended.end);
    const auto found = s.state.calls.find(operation.origin);
    if (found == s.state.calls.end()) {
        return;
    }
    call_state &call = found->second;
    const auto attempt = std::ranges::find(call.running, ended.op, &call_attempt::op);
    if (attempt == call.running.end()) {
        return;
    }
    const instant sentAt = attempt->startedAt;
    const auto durationMs = static_cast<double>((s.ctx.now - sentAt).count());
    call.running.erase(attempt);
    switch (ended.end) {
    case call_end::complete:
    case call_end::failed:
    case call_end::permanently_rejected: {
        recordCallDuration(s, operation.upstream, call.matchedRoute, durationMs);
        recordSignOfLife(s, operation.upstream, sentAt);
        recordContentAnswered(s, call.content);
        if (ended.end == call_end::failed && ended.status == kServerError) {
            ++call.failures;
        }
        if (ended.end == call_end::failed && mayRetryFailure(operation.origin, call)) {
            call.mayHaveRun = true;
            s.log("call-failed", call.call.id.value,
                  operation.upstream.value + " answered with status " + std::to_string(ended.status)
                          + ", failure " + std::to_string(call.failures));
            break;
        }
        answerCall(s, operation.origin, ended);
        return;
    }
    case call_end::unreachable:
        recordBreak(s, operation.upstream);
        recordUnreachable(s, operation.upstream);
        [[fallthrough]];
    case call_end::not_run:
        ejectUpstream(s, operation.upstream, kRefusedCallEjection,
                      ended.end == call_end::not_run ? "call refused" : "no connection");
        // The request did not run, so this attempt does not count against the route's limit.
        --call.sent;
        takeBackUsage(s, call);
        break;
    case call_end::unsendable:
        // A hedged attempt may run: it went to another upstream, whose fields can be written.
        call.mayHaveRun |= !call.running.empty();
        takeBackUsage(s, call);
        refuseCall(s, operation.origin, call.mayHaveRun ? refusal::may_have_run : refusal::malformed,
                   "request to " + operation.upstream.value + " cannot be written as HTTP");
        return;
    case call_end::misdirected:
        ejectUpstream(s, operation.upstream, kMisdirectedCallEjection,
                      "another server responds at its address");
        --call.sent;
        takeBackUsage(s, call);
        break;
    case call_end::incomplete:
    case call_end::timed_out:
    case call_end::malformed:
        call.mayHaveRun = true;
        recordBreak(s, operation.upstream);
        if (ended.end != call_end::malformed) {
            recordSilence(s, operation.upstream);
        }
        s.log("call-broken", call.call.id.value,
              operation.upstream.value + " " + std::string(howItBroke(ended.end)) + " after "
                      + std::to_string(static_cast<std::int64_t>(durationMs)) + " ms, attempt "
                      + std::to_string(call.tried.size()) + ", others in progress "
                      + std::to_string(call.running.size()),
              contentField(call.content));
        ejectUpstream(s, operation.upstream, kBrokenCallEjection, "call did not complete");
        // A process that sends bytes has not ended under the call.
        if (ended.end != call_end::malformed && mayCrashUpstreams(operation.origin)) {
            suspectCrash(s, call.content, operation.upstream);
        }
        break;
    case call_end::displaced:
        call.mayHaveRun = true;
        s.log("call-displaced", call.call.id.value,
              "no memory for the answer of " + operation.upstream.value);
        break;
    }
    if (call.running.empty()) {
        retryOrRefuse(s, operation.origin);
    }
}

void hedgeAndExpireCalls(step &s)
{
    std::vector<call_origin> expired;
    for (auto &[origin, call] : s.state.calls) {
        if (call.deadline <= s.ctx.now) {
            expired.push_back(origin);
        } else if (call.repeatable && call.nextTryAt <= s.ctx.now && !call.running.empty()
                   && (s.state.path.lost || call.sent + call.relayed < call.matchedRoute.maxAttempts)) {
            const call_attempt &first = call.running.front();
            if (!first.upstream.empty() && s.state.path.heardAt < first.startedAt) {
                recordSilence(s, first.upstream);
            }
            // A further hedge follows after the whole time so far: most calls that are this late are long
            // themselves, so that more upstreams would not answer sooner.
            call.nextTryAt = startAttempt(s, origin, call) ? s.ctx.now + (s.ctx.now - call.arrivedAt)
                                                           : s.ctx.now + kHedgeRetryInterval;
        }
    }
    for (const call_origin &origin : expired) {
        const call_state &call = s.state.calls.at(origin);
        refuseCall(s, origin,
                   call.mayHaveRun || !call.running.empty() ? refusal::deadline_exceeded : refusal::not_run,
                   "deadline exceeded");
    }
}

void onCallerDisconnected(step &s, const caller_disconnected &disconnected)
{
    if (const auto found = s.state.calls.find(disconnected.exchange); found != s.state.calls.end()) {
        s.log("caller-gone", found->second.call.id.value);
        countCallOutcome(s, "abandoned");
        cancelAttempts(s, found->second);
        s.state.calls.erase(found);
    }
    cancelStream(s, disconnected.exchange);
    if (const auto page = s.state.pages.extract(disconnected.exchange); !page.empty()) {
        logPageLost(s, "page-abandoned", page.mapped(), "the reader closed the connection");
    }
    for (auto &[id, batch] : s.state.owned) {
        std::erase_if(batch.readers,
                      [&](const waiting_reader &reader) { return reader.exchange == disconnected.exchange; });
    }
}

} // namespace jacinthvale::node
