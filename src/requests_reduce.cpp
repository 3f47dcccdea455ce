// Event handling of the requests domain: dispatches each event to its handler.
#include "requests_keyed.h"
#include "requests_parse.h"
#include "requests_peers.h"
#include "requests_step.h"

#include "overloaded.h"

namespace jacinthvale {

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMethodNotAllowed = 405;
/// Maximum time that a shutdown waits for the store to confirm the recorded answers and released keys.
constexpr milliseconds kMaxStopWait{30'000};
constexpr std::string_view kTicketsPath = "/v1/tickets";

request_error unavailableError(const requests_state &state, bool mayHaveRunEarlier)
{
    const bool isStopping = state.stopping;
    return {mayHaveRunEarlier ? kGatewayTimeout : kUnavailable, isStopping ? "stopping" : "isolated",
            isStopping ? "This process is stopping." : "This process hears neither the store nor any peer.",
            mayHaveRunEarlier ? verdict::may_have_run : verdict::not_run, 1};
}

/// Refuses a new call in a stopping process, and a call that is not repeatable in an isolated one. Calls for
/// known runs are still answered. Tickets issued earlier are still redeemed, since they expire soon.
/// @returns true if the call was refused.
bool refuseIfUnavailable(requests_step &step, call_number number)
{
    const call_record &call = step.state.calls.at(number);
    const bool unavailable = step.state.stopping || (step.state.isolated && !call.request.repeatable);
    if (!unavailable) {
        return false;
    }
    const bool hasKey = !call.request.idempotencyKey.empty();
    const bool hasTicket = !call.request.ticket.empty();
    const std::string runName
            = claimRowKey(poolName(call.request.kind, call.request.target), call.request.idempotencyKey);
    if (hasTicket || (hasKey && step.state.runs.contains(runName))) {
        return false;
    }
    finishCall(step, number, toAnswer(unavailableError(step.state, hasKey && !call.request.isNewKey)));
    return true;
}

void beginCall(requests_step &step, exchange_id exchange, caller_request request)
{
    const call_number number{step.nextNumber()};
    call_record &call = step.state.calls[number];
    call.number = number;
    call.request = std::move(request);
    call.receivedAt = step.ctx.now;
    call.deadline = step.ctx.now + call.request.timeLeft;
    call.recipients = {{exchange, call.deadline}};
    step.state.exchanges[exchange] = number;
    step.count("requests_received_total");
    if (refuseIfUnavailable(step, number)) {
        return;
    }
    if (!call.request.ticket.empty()) {
        beginTicket(step, number);
    } else if (!call.request.idempotencyKey.empty()) {
        beginClaim(step, number);
    } else {
        admitCall(step, number);
    }
}

void onTicketRequest(requests_step &step, const http_request_received &received)
{
    if (received.method != "POST") {
        sendAnswer(step, {received.exchange, {}},
                   toAnswer(invalidRequest(kMethodNotAllowed, "wrong-method", "Use POST.")));
    } else if (step.state.stopping || step.state.isolated) {
        sendAnswer(step, {received.exchange, {}}, toAnswer(unavailableError(step.state, false)));
    } else {
        issueTicket(step, received.exchange);
    }
}

void onRequest(requests_step &step, const http_request_received &received)
{
    if (received.path == kTicketsPath) {
        onTicketRequest(step, received);
        return;
    }
    const milliseconds timeLeft{step.setting("requests.defaultDeadlineMs")};
    auto parsed = parseCallerRequest(received, timeLeft);
    if (const auto *error = std::get_if<request_error>(&parsed)) {
        step.count("requests_wrong_total");
        sendAnswer(step, {received.exchange, {}}, toAnswer(*error));
        return;
    }
    beginCall(step, received.exchange, std::get<caller_request>(std::move(parsed)));
}

void onDomainEvent(requests_step &step, const domain_event &raised)
{
    std::visit(overloaded{
                       [&](const config_activated &e) { step.state.config = e.document; },
                       [&](const upstream_changed &e) { onUpstreamChanged(step, e); },
                       [&](const peer_changed &e) { onPeerChanged(step, e.view); },
                       [&](const isolation_changed &e) { step.state.isolated = e.isolated; },
                       [&](const shutdown_started &) {
                           step.state.stopping = true;
                           step.state.stoppingSince = step.ctx.now;
                       },
                       [](const auto &) {},
               },
               raised);
}

void onTick(requests_step &step)
{
    expireRecipients(step);
    maintainUpstreams(step);
    pollOwners(step);
    maintainRuns(step);
    dispatchAllPools(step);
    removeIdlePools(step);
    step.emit(gauge_metric{"requests_in_flight", static_cast<double>(step.state.calls.size())});
}

void onHttpFinished(requests_step &step, const http_call_finished &result)
{
    const auto operation = step.state.operations.extract(result.operation.number);
    if (operation.empty()) {
        return;
    }
    if (const auto *attempt = std::get_if<attempt_operation>(&operation.mapped())) {
        onAttemptFinished(step, attempt->call, result);
    } else if (const auto *probe = std::get_if<probe_operation>(&operation.mapped())) {
        onProbeFinished(step, probe->upstream, result);
    }
}

void onStoreCallFinished(requests_step &step, const store_call_finished &result)
{
    const auto operation = step.state.operations.extract(result.operation.number);
    if (operation.empty()) {
        return;
    }
    if (std::holds_alternative<claim_write_operation>(operation.mapped())) {
        onClaimWritesFinished(step, result.operation.number, result.outcome);
    } else if (const auto *read = std::get_if<claim_read_operation>(&operation.mapped())) {
        onClaimRowRead(step, read->call, result.outcome);
    }
}

/// @returns the number of the call that the operation attempts, or 0 if the operation is not an attempt.
call_number callOf(const requests_state &state, operation_id operation)
{
    const auto found = state.operations.find(operation.number);
    const auto *attempt
            = found == state.operations.end() ? nullptr : std::get_if<attempt_operation>(&found->second);
    return attempt == nullptr ? call_number{} : attempt->call;
}

void reportDrained(requests_step &step)
{
    requests_state &state = step.state;
    if (!state.stopping || state.drained || !state.calls.empty()
        || state.tickets.hasRedeemable(step.ctx.now)) {
        return;
    }
    const bool timedOut = step.ctx.now >= state.stoppingSince + kMaxStopWait;
    if (timedOut || (state.claimWrites.pending() == 0 && !hasUnwrittenRuns(state))) {
        state.drained = true;
        step.emit(raise_domain_event{domain_drained{domain::requests}});
    }
}

} // namespace

effects reduceRequests(requests_state &state, const event &incoming, const context &ctx)
{
    requests_step step{state, ctx, {}};
    std::visit(
            overloaded{
                    [&](const tick &) { onTick(step); },
                    [&](const http_request_received &e) { onRequest(step, e); },
                    [&](const http_exchange_abandoned &e) { abandonExchange(step, e.exchange); },
                    [&](const http_response_head &e) { onResponseHead(step, callOf(state, e.operation), e); },
                    [&](const http_response_chunk &e) {
                        onResponseChunk(step, callOf(state, e.operation), e);
                    },
                    [&](const http_call_finished &e) { onHttpFinished(step, e); },
                    [&](const store_call_finished &e) { onStoreCallFinished(step, e); },
                    [&](const peer_message_received &e) { onPeerMessage(step, e); },
                    [&](const domain_event_raised &e) { onDomainEvent(step, e.payload); },
                    [](const auto &) {},
            },
            incoming);
    reportDrained(step);
    return std::move(step.out);
}

} // namespace jacinthvale
