// Answers to recipients, deadlines, and disconnected callers.
#include "requests_completion.h"
#include "requests_keyed.h"
#include "requests_peers.h"
#include "requests_step.h"

#include "overloaded.h"

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kGatewayTimeout = 504;
constexpr int kServiceUnavailable = 503;

http_headers answerHeaders(const final_answer &answer)
{
    http_headers headers = {{"Jacinthvale-Verdict", std::string(toString(answer.outcome))}};
    if (!answer.contentType.empty()) {
        headers["Content-Type"] = answer.contentType;
    }
    if (answer.retryAfterSeconds > 0) {
        headers["Retry-After"] = std::to_string(answer.retryAfterSeconds);
    }
    return headers;
}

request_error deadlineError(const call_record &call)
{
    const bool claimIndeterminate = call.phase == call_phase::claiming && !call.request.isNewKey;
    const bool runIndeterminate
            = call.phase == call_phase::running || call.phase == call_phase::awaiting_owner;
    if (runIndeterminate || claimIndeterminate || call.outcome != verdict::not_run) {
        return {kGatewayTimeout, "deadline", "No whole answer came before the deadline.",
                verdict::may_have_run, 1};
    }
    return {kServiceUnavailable, "deadline", "The deadline passed before the request was sent.",
            verdict::not_run, 1};
}

/// Ends an incomplete streamed answer with an error event, and aborts the connection.
void abortStream(requests_step &step, exchange_id exchange, const request_error &error)
{
    step.emit(reply_chunk{exchange, streamErrorEvent(error)});
    step.emit(end_reply{exchange, true});
}

void expireRecipient(requests_step &step, const call_record &call, const answer_recipient &recipient)
{
    const request_error error = deadlineError(call);
    const auto *exchange = std::get_if<exchange_id>(&recipient.destination);
    step.count("requests_deadline_total");
    if (exchange != nullptr && call.replyStarted) {
        abortStream(step, *exchange, error);
        step.state.exchanges.erase(*exchange);
    } else {
        sendAnswer(step, recipient, toAnswer(error));
    }
}

} // namespace

void sendAnswer(requests_step &step, const answer_recipient &recipient, const final_answer &answer)
{
    std::visit(
            overloaded{[&](const exchange_id &exchange) {
                           step.emit(reply_http{exchange, answer.status, answerHeaders(answer), answer.body});
                           step.state.exchanges.erase(exchange);
                       },
                       [&](const remote_recipient &remote) { sendRunAnswer(step, remote, answer); }},
            recipient.destination);
    step.count("requests_answered_total");
    if (answer.outcome != verdict::ran) {
        step.count(answer.outcome == verdict::not_run ? "requests_not_run_total"
                                                      : "requests_may_have_run_total");
    }
}

void finishCall(requests_step &step, call_number number, const final_answer &answer)
{
    const auto removed = step.state.calls.extract(number);
    if (removed.empty()) {
        return;
    }
    const call_record &call = removed.mapped();
    for (const answer_recipient &recipient : call.recipients) {
        const auto *exchange = std::get_if<exchange_id>(&recipient.destination);
        if (exchange == nullptr || !call.replyStarted) {
            sendAnswer(step, recipient, answer);
            continue;
        }
        step.state.exchanges.erase(*exchange);
        if (answer.outcome == verdict::ran) {
            step.emit(reply_chunk{*exchange, streamEndEvent()});
            step.emit(end_reply{*exchange, false});
        } else {
            abortStream(
                    step, *exchange,
                    {answer.status, "stream-broken", "The stream could not be resumed.", answer.outcome, 0});
        }
    }
    finishRun(step, call, answer);
}

void removeCall(requests_step &step, call_number number)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end()) {
        return;
    }
    for (const answer_recipient &recipient : found->second.recipients) {
        if (const auto *exchange = std::get_if<exchange_id>(&recipient.destination)) {
            step.state.exchanges.erase(*exchange);
        }
    }
    step.state.calls.erase(found);
}

void abandonCall(requests_step &step, call_number number)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end()) {
        return;
    }
    call_record &call = found->second;
    const std::string pool = poolName(call.request.kind, call.request.target);
    if (call.phase == call_phase::queued) {
        step.state.pools[pool].queue.remove(number);
        finishCall(step, number,
                   toAnswer({kServiceUnavailable, "abandoned", "The caller went away.", call.outcome, 0}));
    } else if (call.phase == call_phase::awaiting_owner) {
        removeCall(step, number);
    } else if (call.phase == call_phase::running && call.request.repeatable && call.runName.empty()) {
        cancelAttempt(step, call);
        removeCall(step, number);
        dispatchPool(step, pool);
    }
    // A claim in flight, and a run that is not repeatable or has a key or ticket, continue without
    // recipients.
}

void abandonExchange(requests_step &step, exchange_id exchange)
{
    const auto found = step.state.exchanges.find(exchange);
    if (found == step.state.exchanges.end()) {
        return;
    }
    const call_number number = found->second;
    step.state.exchanges.erase(found);
    step.count("requests_abandoned_total");
    call_record &call = step.state.calls.at(number);
    std::erase_if(call.recipients, [&](const answer_recipient &recipient) {
        const auto *local = std::get_if<exchange_id>(&recipient.destination);
        return local != nullptr && *local == exchange;
    });
    if (call.recipients.empty()) {
        abandonCall(step, number);
    }
}

void expireRecipients(requests_step &step)
{
    std::vector<call_number> abandoned;
    for (auto &[number, record] : step.state.calls) {
        call_record &call = record;
        const auto firstExpired
                = std::stable_partition(call.recipients.begin(), call.recipients.end(),
                                        [&](const answer_recipient &r) { return step.ctx.now < r.deadline; });
        if (firstExpired == call.recipients.end()) {
            continue;
        }
        std::for_each(firstExpired, call.recipients.end(),
                      [&](const answer_recipient &r) { expireRecipient(step, call, r); });
        call.recipients.erase(firstExpired, call.recipients.end());
        if (call.recipients.empty()) {
            abandoned.push_back(number);
        }
    }
    for (const call_number number : abandoned) {
        abandonCall(step, number);
    }
}

} // namespace jacinthvale
