#include "node_placement.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// A repeatable call goes to a second upstream when the first has not answered by this share of the route's
/// objective: the second still has time to answer within it.
constexpr double kHedgeShare = 0.45;

/// Rest of an upstream that broke a call; short, since single answers get lost at sound upstreams.
constexpr milliseconds kBrokenCallRest{100};
constexpr milliseconds kRefusedCallRest{100};
constexpr milliseconds kMisdirectedCallRest{1000};

/// Told to callers whose request has not run: an upstream's place is free again within a few calls' time.
constexpr milliseconds kComeBack{100};

/// Answers must leave this long before the caller's time is up: the way to it.
constexpr milliseconds kReturnTime{20};

constexpr milliseconds kNoLimit{60'000};

constexpr double kCallWeight = 0.2;

void countCall(step &s, const std::string &how)
{
    s.emit(count{"calls_total{end=\"" + how + "\"}"});
}

/// Takes an attempt that is over from the books of its upstream.
void release(step &s, const upstream_id &id)
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
        release(s, attempt.upstream);
    }
    call.running.clear();
}

void refuse(step &s, exchange_id exchange, refusal why, const std::string &reason)
{
    const auto found = s.state.calls.find(exchange);
    cancelAttempts(s, found->second);
    s.log("call-refused", found->second.call.id.value, reason);
    countCall(s, "refused");
    s.emit(refuse_call{exchange, why, why == refusal::not_run ? kComeBack : milliseconds{0}});
    s.state.calls.erase(found);
}

bool tryUpstream(step &s, call_state &call)
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
                             kHedgeShare * static_cast<double>(call.matchedRoute.objective.count()))};
    s.emit(forward_call{op, view.entry.address, *target, call.call,
                        std::max(milliseconds{1}, call.deadline - s.ctx.now)});
    return true;
}

/// No attempt runs any more: tries another upstream or gives the final answer.
void goOn(step &s, exchange_id exchange)
{
    call_state &call = s.state.calls.at(exchange);
    const bool mayRepeat = call.matchedRoute.kind == route_kind::repeatable || !call.mayHaveRun;
    if (mayRepeat && s.ctx.now < call.deadline && tryUpstream(s, call)) {
        return;
    }
    refuse(s, exchange, call.mayHaveRun ? refusal::may_have_run : refusal::not_run,
           call.sent == 0 ? "no upstream" : "attempts used up");
}

} // namespace

void onCallReceived(step &s, const call_received &what)
{
    node_state &state = s.state;
    const client_call &call = what.call;
    const exchange_id exchange = call.exchange;
    if (!state.configKnown) {
        s.log("call-refused", call.id.value, "no configuration yet");
        s.emit(refuse_call{exchange, refusal::not_run, kComeBack});
        return;
    }
    const route *by = findRoute(state.config, call.host, call.target);
    if (by == nullptr) {
        s.log("call-unknown", call.id.value, "no route in version " + std::to_string(state.config.version));
        s.emit(refuse_call{exchange, refusal::not_found, {}});
        return;
    }
    call_state next;
    next.call = call;
    next.matchedRoute = *by;
    next.arrivedAt = s.ctx.now;
    milliseconds limit = kNoLimit;
    if (by->timeout.count() > 0) {
        limit = std::min(limit, by->timeout);
    }
    if (call.remainingTimeout.count() > 0) {
        limit = std::min(limit, call.remainingTimeout);
    }
    next.deadline = s.ctx.now + std::max(milliseconds{1}, limit - kReturnTime);
    state.calls.insert_or_assign(exchange, std::move(next));
    goOn(s, exchange);
}

void onCallEnded(step &s, const call_operation &what, const call_ended &end)
{
    release(s, what.upstream);
    const auto found = s.state.calls.find(what.exchange);
    if (found == s.state.calls.end()) {
        return;
    }
    call_state &call = found->second;
    const auto attempt = std::ranges::find(call.running, end.op, &call_attempt::op);
    if (attempt == call.running.end()) {
        return;
    }
    const auto took = static_cast<double>((s.ctx.now - attempt->startedAt).count());
    call.running.erase(attempt);
    switch (end.end) {
    case call_end::complete:
    case call_end::failed:
    case call_end::permanently_rejected: {
        if (const auto view = s.state.upstreams.find(what.upstream); view != s.state.upstreams.end()) {
            double &smoothed = view->second.callMs;
            smoothed = smoothed > 0 ? smoothed + kCallWeight * (took - smoothed) : took;
        }
        const bool again = end.end == call_end::failed && call.matchedRoute.kind == route_kind::repeatable
                           && (!call.running.empty() || call.sent < call.matchedRoute.maxAttempts);
        if (again) {
            call.mayHaveRun = true;
            break;
        }
        cancelAttempts(s, call);
        s.emit(observe{"call_ms", static_cast<double>((s.ctx.now - call.arrivedAt).count())});
        countCall(s, "answered");
        s.emit(answer_call{what.exchange, end.status, end.headers, end.body});
        s.state.calls.erase(found);
        return;
    }
    case call_end::not_run:
        ejectUpstream(s, what.upstream, kRefusedCallRest, "refused a call");
        // Nothing ran: the send does not count against the route's limit.
        --call.sent;
        break;
    case call_end::misdirected:
        ejectUpstream(s, what.upstream, kMisdirectedCallRest, "another server at its address");
        --call.sent;
        break;
    case call_end::incomplete:
    case call_end::timed_out:
        call.mayHaveRun = true;
        s.log("call-broken", call.call.id.value, what.upstream.value);
        ejectUpstream(s, what.upstream, kBrokenCallRest, "call broken");
        break;
    }
    if (call.running.empty()) {
        goOn(s, what.exchange);
    }
}

void watchCalls(step &s)
{
    std::vector<exchange_id> late;
    for (auto &[exchange, call] : s.state.calls) {
        if (call.deadline <= s.ctx.now) {
            late.push_back(exchange);
        } else if (call.matchedRoute.kind == route_kind::repeatable && call.nextTryAt <= s.ctx.now) {
            tryUpstream(s, call);
            call.nextTryAt = call.deadline;
        }
    }
    for (const exchange_id exchange : late) {
        const call_state &call = s.state.calls.at(exchange);
        refuse(s, exchange,
               call.mayHaveRun || !call.running.empty() ? refusal::deadline_exceeded : refusal::not_run,
               "out of time");
    }
}

void onCallerGone(step &s, const caller_disconnected &what)
{
    if (const auto found = s.state.calls.find(what.exchange); found != s.state.calls.end()) {
        s.log("caller-gone", found->second.call.id.value);
        countCall(s, "abandoned");
        cancelAttempts(s, found->second);
        s.state.calls.erase(found);
    }
    s.state.pages.erase(what.exchange);
    for (auto &[id, batch] : s.state.owned) {
        std::erase_if(batch.readers, [&](const waiting_reader &r) { return r.exchange == what.exchange; });
    }
}

} // namespace jacinthvale::node
