// Events of the requests domain, handed to the part that each concerns.
#include "requests_keyed.h"
#include "requests_parse.h"
#include "requests_peers.h"
#include "requests_step.h"

#include "overloaded.h"

namespace jacinthvale {

namespace {

constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kWrongMethod = 405;
/// Longest that a stop waits for the store to take answers and releases.
constexpr milliseconds kMaxStoreWait{30'000};
constexpr std::string_view kTicketsPath = "/v1/tickets";

request_error closedError(const requests_state &state, bool mayHaveRunEarlier)
{
    const bool stops = state.stopping;
    return {mayHaveRunEarlier ? kGatewayTimeout : kUnavailable, stops ? "stopping" : "isolated",
            stops ? "This process is stopping." : "This process hears neither the store nor any peer.",
            mayHaveRunEarlier ? verdict::may_have_run : verdict::not_run, 1};
}

/// @returns true where a stopping process, or one that is cut off, refuses the call. Runs that it knows are
/// still answered, and tickets that it gave out, which expire soon, are still redeemed.
bool refuseWhenClosed(requests_step &step, call_number number)
{
    const call_record &call = step.state.calls.at(number);
    const bool closed = step.state.stopping || (step.state.isolated && !call.request.repeatable);
    if (!closed) {
        return false;
    }
    const bool keyed = !call.request.idempotencyKey.empty();
    const bool ticket = !call.request.ticket.empty();
    const std::string run
            = claimRowKey(poolName(call.request.kind, call.request.target), call.request.idempotencyKey);
    if (ticket || (keyed && step.state.runs.contains(run))) {
        return false;
    }
    finishCall(step, number, toAnswer(closedError(step.state, keyed && !call.request.firstTry)));
    return true;
}

void beginCall(requests_step &step, exchange_id exchange, caller_request request)
{
    const call_number number{step.nextNumber()};
    call_record &call = step.state.calls[number];
    call.number = number;
    call.request = std::move(request);
    call.receivedAt = step.at.now;
    call.deadline = step.at.now + call.request.timeLeft;
    call.recipients = {{exchange, call.deadline}};
    step.state.exchanges[exchange] = number;
    step.count("requests_received_total");
    if (refuseWhenClosed(step, number)) {
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
                   toAnswer(wrongRequest(kWrongMethod, "wrong-method", "Use POST.")));
    } else if (step.state.stopping || step.state.isolated) {
        sendAnswer(step, {received.exchange, {}}, toAnswer(closedError(step.state, false)));
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
    if (const auto *wrong = std::get_if<request_error>(&parsed)) {
        step.count("requests_wrong_total");
        sendAnswer(step, {received.exchange, {}}, toAnswer(*wrong));
        return;
    }
    beginCall(step, received.exchange, std::get<caller_request>(std::move(parsed)));
}

void onNotice(requests_step &step, const domain_event &what)
{
    std::visit(overloaded{
                       [&](const config_activated &n) { step.state.config = n.document; },
                       [&](const upstream_changed &n) { onUpstreamChanged(step, n); },
                       [&](const peer_changed &n) { onPeerChanged(step, n.view); },
                       [&](const isolation_changed &n) { step.state.isolated = n.isolated; },
                       [&](const shutdown_started &) {
                           step.state.stopping = true;
                           step.state.stoppingSince = step.at.now;
                       },
                       [](const auto &) {},
               },
               what);
}

void onTick(requests_step &step)
{
    expireRecipients(step);
    maintainUpstreams(step);
    remindOwners(step);
    maintainRuns(step);
    dispatchAllPools(step);
    forgetIdlePools(step);
    step.emit(gauge_metric{"requests_in_flight", static_cast<double>(step.state.calls.size())});
}

void onHttpFinished(requests_step &step, const http_call_finished &result)
{
    const auto node = step.state.operations.extract(result.operation.number);
    if (node.empty()) {
        return;
    }
    if (const auto *attempt = std::get_if<attempt_operation>(&node.mapped())) {
        onAttemptFinished(step, attempt->call, result);
    } else if (const auto *probe = std::get_if<probe_operation>(&node.mapped())) {
        onProbeFinished(step, probe->upstream, result);
    }
}

void onStoreAnswered(requests_step &step, const store_call_finished &answered)
{
    const auto node = step.state.operations.extract(answered.operation.number);
    if (node.empty()) {
        return;
    }
    if (std::holds_alternative<ledger_operation>(node.mapped())) {
        onLedgerAnswered(step, answered.operation.number, answered.outcome);
    } else if (const auto *read = std::get_if<row_read_operation>(&node.mapped())) {
        onRowRead(step, read->call, answered.outcome);
    }
}

/// @returns the call that an attempt's event belongs to; 0 for none.
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
    if (!state.stopping || state.drained || !state.calls.empty() || state.tickets.anyValid(step.at.now)) {
        return;
    }
    const bool waited = step.at.now >= state.stoppingSince + kMaxStoreWait;
    if (waited || (state.ledger.pending() == 0 && !anyRunUnsettled(state))) {
        state.drained = true;
        step.emit(raise_domain_event{domain_drained{domain::requests}});
    }
}

} // namespace

effects reduceRequests(requests_state &state, const event &what, const context &at)
{
    requests_step step{state, at, {}};
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
                    [&](const store_call_finished &e) { onStoreAnswered(step, e); },
                    [&](const peer_message_received &e) { onPeerMessage(step, e); },
                    [&](const domain_event_raised &e) { onNotice(step, e.payload); },
                    [](const auto &) {},
            },
            what);
    reportDrained(step);
    return std::move(step.out);
}

} // namespace jacinthvale
