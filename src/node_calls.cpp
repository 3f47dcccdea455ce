#include "node_placement.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// A repeatable call is hedged to a second upstream when the first has not responded within this share of the
/// route's objective, so that the second can still respond within the objective.
constexpr double kHedgeDelayShare = 0.45;

/// Time for which an upstream is ejected after a broken call. Short, because healthy upstreams also lose
/// single responses.
constexpr milliseconds kBrokenCallEjection{100};

/// Time for which an upstream is ejected after it refused a call.
constexpr milliseconds kRefusedCallEjection{100};

/// Time for which an upstream is ejected when another server responds at its address.
constexpr milliseconds kMisdirectedCallEjection{1000};

/// Retry-after delay for callers whose request has not run: a slot of an upstream becomes free within the
/// duration of a few calls.
constexpr milliseconds kRetryAfter{100};

/// Transfer time of a response to the caller; responses are sent this long before the caller's timeout.
constexpr milliseconds kResponseTransferTime{20};

/// Upper bound of the timeout of a call; applies alone where neither the route nor the caller sets a timeout.
constexpr milliseconds kMaxCallTimeout{60'000};

/// Weight of a new sample in the smoothed call duration of an upstream.
constexpr double kCallDurationWeight = 0.2;

void countCallOutcome(step &s, const std::string &outcome)
{
    s.emit(count{"calls_total{end=\"" + outcome + "\"}"});
}

/// Releases the upstream slot of an attempt that ended.
void releaseSlot(step &s, const upstream_id &id)
{
    const auto view = s.state.upstreams.find(id);
    if (view != s.state.upstreams.end() && view->second.running > 0) {
        --view->second.running;
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

void refuseCall(step &s, exchange_id exchange, refusal kind, const std::string &reason)
{
    const auto found = s.state.calls.find(exchange);
    cancelAttempts(s, found->second);
    s.log("call-refused", found->second.call.id.value, reason);
    countCallOutcome(s, "refused");
    s.emit(refuse_call{exchange, kind, kind == refusal::not_run ? kRetryAfter : milliseconds{0}});
    s.state.calls.erase(found);
}

bool startAttempt(step &s, call_state &call)
{
    if (call.sent >= call.matchedRoute.maxAttempts) {
        return false;
    }
    const service_id service = pickService(call.matchedRoute, stableHash(call.call.id.value));
    const auto target = placeCall(s.state, service, call.tried, s.ctx.now);
    if (!target) {
        return false;
    }
    upstream_view &view = s.state.upstreams.at(*target);
    const op_id op = s.open(call_operation{call.call.exchange, *target});
    ++view.running;
    ++call.sent;
    call.tried.insert(*target);
    call.running.push_back({op, *target, s.ctx.now});
    call.nextTryAt = s.ctx.now
                     + milliseconds{static_cast<std::int64_t>(
                             kHedgeDelayShare * static_cast<double>(call.matchedRoute.objective.count()))};
    s.emit(forward_call{op, view.entry.address, *target, call.call,
                        std::max(milliseconds{1}, call.deadline - s.ctx.now)});
    return true;
}

/// Called when no attempt is running: starts an attempt at another upstream, or sends the final response.
void retryOrRefuse(step &s, exchange_id exchange)
{
    call_state &call = s.state.calls.at(exchange);
    const bool mayRepeat = call.matchedRoute.kind == route_kind::repeatable || !call.mayHaveRun;
    if (mayRepeat && s.ctx.now < call.deadline && startAttempt(s, call)) {
        return;
    }
    refuseCall(s, exchange, call.mayHaveRun ? refusal::may_have_run : refusal::not_run,
               call.sent == 0 ? "no upstream available"
                              : "route allows no further attempt, or no other upstream available");
}

} // namespace

void onCallReceived(step &s, const call_received &received)
{
    node_state &state = s.state;
    const client_call &call = received.call;
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
    call_state newCall;
    newCall.call = call;
    newCall.matchedRoute = *matched;
    newCall.arrivedAt = s.ctx.now;
    milliseconds timeout = kMaxCallTimeout;
    if (matched->timeout.count() > 0) {
        timeout = std::min(timeout, matched->timeout);
    }
    if (call.remainingTimeout.count() > 0) {
        timeout = std::min(timeout, call.remainingTimeout);
    }
    newCall.deadline = s.ctx.now + std::max(milliseconds{1}, timeout - kResponseTransferTime);
    state.calls.insert_or_assign(exchange, std::move(newCall));
    retryOrRefuse(s, exchange);
}

void onCallEnded(step &s, const call_operation &operation, const call_ended &ended)
{
    releaseSlot(s, operation.upstream);
    const auto found = s.state.calls.find(operation.exchange);
    if (found == s.state.calls.end()) {
        return;
    }
    call_state &call = found->second;
    const auto attempt = std::ranges::find(call.running, ended.op, &call_attempt::op);
    if (attempt == call.running.end()) {
        return;
    }
    const auto durationMs = static_cast<double>((s.ctx.now - attempt->startedAt).count());
    call.running.erase(attempt);
    switch (ended.end) {
    case call_end::complete:
    case call_end::failed:
    case call_end::permanently_rejected: {
        if (const auto view = s.state.upstreams.find(operation.upstream); view != s.state.upstreams.end()) {
            double &smoothed = view->second.callMs;
            smoothed = smoothed > 0 ? smoothed + kCallDurationWeight * (durationMs - smoothed) : durationMs;
        }
        const bool mayRetry = ended.end == call_end::failed
                              && call.matchedRoute.kind == route_kind::repeatable
                              && (!call.running.empty() || call.sent < call.matchedRoute.maxAttempts);
        if (mayRetry) {
            call.mayHaveRun = true;
            break;
        }
        cancelAttempts(s, call);
        s.emit(observe{"call_ms", static_cast<double>((s.ctx.now - call.arrivedAt).count())});
        countCallOutcome(s, "answered");
        s.emit(answer_call{operation.exchange, ended.status, ended.headers, ended.body});
        s.state.calls.erase(found);
        return;
    }
    case call_end::not_run:
        ejectUpstream(s, operation.upstream, kRefusedCallEjection, "call refused");
        // The request did not run, so this attempt does not count against the route's limit.
        --call.sent;
        break;
    case call_end::misdirected:
        ejectUpstream(s, operation.upstream, kMisdirectedCallEjection,
                      "another server responds at its address");
        --call.sent;
        break;
    case call_end::incomplete:
    case call_end::timed_out:
        call.mayHaveRun = true;
        s.log("call-broken", call.call.id.value, operation.upstream.value);
        ejectUpstream(s, operation.upstream, kBrokenCallEjection, "call did not complete");
        break;
    }
    if (call.running.empty()) {
        retryOrRefuse(s, operation.exchange);
    }
}

void hedgeAndExpireCalls(step &s)
{
    std::vector<exchange_id> expired;
    for (auto &[exchange, call] : s.state.calls) {
        if (call.deadline <= s.ctx.now) {
            expired.push_back(exchange);
        } else if (call.matchedRoute.kind == route_kind::repeatable && call.nextTryAt <= s.ctx.now) {
            startAttempt(s, call);
            call.nextTryAt = call.deadline;
        }
    }
    for (const exchange_id exchange : expired) {
        const call_state &call = s.state.calls.at(exchange);
        refuseCall(s, exchange,
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
    s.state.pages.erase(disconnected.exchange);
    for (auto &[id, batch] : s.state.owned) {
        std::erase_if(batch.readers,
                      [&](const waiting_reader &reader) { return reader.exchange == disconnected.exchange; });
    }
}

} // namespace jacinthvale::node
