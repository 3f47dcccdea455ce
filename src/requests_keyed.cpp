// State transitions of keyed runs at the process that owns them.
#include "requests_keyed.h"

#include "overloaded.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr milliseconds kAnswerRetention{60'000};
constexpr milliseconds kIndeterminateRetention{60'000};
constexpr milliseconds kWriteRetryDelay{1000};
constexpr milliseconds kClaimWriteTimeout{5000};

request_error keyReusedError()
{
    return {kConflict, "key-reused", "The key or ticket was used with another body.", verdict::not_run, 0};
}

std::string runNameOf(const call_record &call)
{
    return claimRowKey(poolName(call.request.kind, call.request.target), call.request.idempotencyKey);
}

std::uint64_t requestHashOf(const call_record &call)
{
    const caller_request &request = call.request;
    return stableHash(request.body, stableHash(poolName(request.kind, request.target)));
}

claim_record recordOf(const requests_state &state, const keyed_run &run)
{
    return {state.self.incarnation, state.self.peer, run.claimNumber, run.requestHash, run.answer};
}

/// Moves the recipients of a call to the call that already claims or runs the same request, and removes the
/// former.
void mergeIntoRun(requests_step &step, call_number from, call_number to)
{
    auto joining = step.state.calls.extract(from);
    const auto target = step.state.calls.find(to);
    if (joining.empty() || target == step.state.calls.end()) {
        return;
    }
    target->second.request.isNewKey = false;
    for (answer_recipient &recipient : joining.mapped().recipients) {
        if (const auto *exchange = std::get_if<exchange_id>(&recipient.destination)) {
            step.state.exchanges[*exchange] = to;
        }
        const bool alreadyWaits
                = std::ranges::any_of(target->second.recipients, [&](const answer_recipient &r) {
                      return r.destination == recipient.destination;
                  });
        if (!alreadyWaits) {
            target->second.recipients.push_back(std::move(recipient));
        }
    }
    step.count("requests_joined_total");
}

/// Handles a call whose key or ticket already has a run in this process.
void handleExistingRun(requests_step &step, call_number number, const std::string &name, keyed_run &run)
{
    if (run.requestHash != requestHashOf(step.state.calls.at(number))) {
        finishCall(step, number, toAnswer(keyReusedError()));
        return;
    }
    switch (run.phase) {
    case run_phase::answered:
        step.count("requests_replayed_total");
        finishCall(step, number, *run.answer);
        return;
    case run_phase::releasing:
        finishCall(step, number, keyReleasedAnswer());
        return;
    case run_phase::indeterminate:
        step.state.calls.at(number).phase = call_phase::claiming;
        step.state.calls.at(number).runName = name;
        run.call = number.value;
        submitClaim(step, name, run);
        return;
    case run_phase::claiming:
        if (run.call == 0) {
            step.state.calls.at(number).phase = call_phase::claiming;
            step.state.calls.at(number).runName = name;
            run.call = number.value;
            return;
        }
        [[fallthrough]];
    case run_phase::running:
        mergeIntoRun(step, number, {run.call});
        return;
    }
}

void writeAnswer(requests_step &step, const std::string &name, keyed_run &run)
{
    run.answerUnwritten = true;
    run.retryWriteAt = instant::max();
    step.state.claimWrites.add({name, run.rowVersion, encodeClaim(recordOf(step.state, run)), false});
    flushClaimWrites(step);
}

void removeRow(requests_step &step, const std::string &name, keyed_run &run)
{
    run.phase = run_phase::releasing;
    run.call = 0;
    run.retryWriteAt = instant::max();
    step.state.claimWrites.add({name, run.rowVersion, "", true});
    flushClaimWrites(step);
}

void onClaimWon(requests_step &step, const std::string &name, keyed_run &run, std::uint64_t version)
{
    run.rowVersion = version;
    const call_number number{run.call};
    const auto call = step.state.calls.find(number);
    if (call == step.state.calls.end() || call->second.recipients.empty()
        || step.ctx.now >= call->second.deadline) {
        // No recipient is left, or the deadline has passed: releases the key instead of running the request
        // late.
        removeRow(step, name, run);
        finishCall(step, number, keyReleasedAnswer());
        return;
    }
    step.emit(record_entry{"claim-won", name, absl::StrCat(number.value)});
    run.phase = run_phase::running;
    admitCall(step, number);
}

void onClaimLost(requests_step &step, const std::string &name, const keyed_run &run, const store_row &row)
{
    const call_number number{run.call};
    step.state.runs.erase(name);
    step.emit(record_entry{"claim-lost", name, absl::StrCat(number.value)});
    if (step.state.calls.contains(number)) {
        step.state.calls.at(number).runName.clear();
        followClaimRow(step, number, row);
    }
}

/// Handles an unknown outcome of a claim: nothing ran here, but the key may have run elsewhere.
void onClaimIndeterminate(requests_step &step, keyed_run &run)
{
    const call_number number{run.call};
    run.phase = run_phase::indeterminate;
    run.call = 0;
    run.keepUntil = step.ctx.now + kIndeterminateRetention;
    const auto call = step.state.calls.find(number);
    if (call == step.state.calls.end()) {
        return;
    }
    step.count("requests_claim_unknown_total");
    const bool isNewKey = call->second.request.isNewKey;
    finishCall(step, number,
               toAnswer({isNewKey ? kUnavailable : kGatewayTimeout, "claim-unavailable",
                         "The store did not confirm the key; nothing ran here. Retry with the same key.",
                         isNewKey ? verdict::not_run : verdict::may_have_run, 1}));
}

void onClaimResult(requests_step &step, const std::string &name, keyed_run &run,
                   const claim_batcher::write_outcome &outcome)
{
    if (const auto *committed = std::get_if<claim_batcher::committed>(&outcome)) {
        onClaimWon(step, name, run, committed->version);
        return;
    }
    const auto *conflict = std::get_if<claim_batcher::conflict>(&outcome);
    if (conflict == nullptr || !conflict->row) {
        onClaimIndeterminate(step, run);
        return;
    }
    const auto record = decodeClaim(conflict->row->value);
    const bool isOwn = record && record->incarnation == step.state.self.incarnation
                       && record->number == run.claimNumber;
    if (isOwn) {
        // An earlier transmission of this claim took effect, but its answer was lost.
        onClaimWon(step, name, run, conflict->row->version);
    } else {
        onClaimLost(step, name, run, *conflict->row);
    }
}

bool isDefinite(const claim_batcher::write_outcome &outcome)
{
    return std::holds_alternative<claim_batcher::committed>(outcome)
           || std::holds_alternative<claim_batcher::conflict>(outcome);
}

void onRecordResult(requests_step &step, keyed_run &run, const claim_batcher::write_outcome &outcome)
{
    if (!isDefinite(outcome)) {
        run.retryWriteAt = step.ctx.now + kWriteRetryDelay;
        return;
    }
    // A conflict means that an earlier transmission of this write took effect, since no other process writes
    // this row.
    run.answerUnwritten = false;
    run.keepUntil = step.ctx.now + kAnswerRetention;
}

void onReleaseResult(requests_step &step, const std::string &name, keyed_run &run,
                     const claim_batcher::write_outcome &outcome)
{
    if (isDefinite(outcome)) {
        step.state.runs.erase(name);
    } else {
        run.retryWriteAt = step.ctx.now + kWriteRetryDelay;
    }
}

void onWriteDecided(requests_step &step, const claim_batcher::result &result)
{
    const std::string &name = result.write.key;
    const auto found = step.state.runs.find(name);
    if (found == step.state.runs.end()) {
        return;
    }
    keyed_run &run = found->second;
    if (run.phase == run_phase::claiming) {
        onClaimResult(step, name, run, result.outcome);
    } else if (run.phase == run_phase::answered) {
        onRecordResult(step, run, result.outcome);
    } else if (run.phase == run_phase::releasing) {
        onReleaseResult(step, name, run, result.outcome);
    }
}

} // namespace

final_answer keyReleasedAnswer()
{
    return toAnswer({kUnavailable, "key-released", "The request was given up before it ran. Retry.",
                     verdict::not_run, 1});
}

void beginClaim(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    const std::string name = runNameOf(call);
    const auto existing = step.state.runs.find(name);
    if (existing != step.state.runs.end()) {
        handleExistingRun(step, number, name, existing->second);
        return;
    }
    keyed_run &run = step.state.runs[name];
    run.requestHash = requestHashOf(call);
    run.claimNumber = step.nextNumber();
    run.call = number.value;
    call.runName = name;
    call.phase = call_phase::claiming;
    submitClaim(step, name, run);
}

void submitClaim(requests_step &step, const std::string &name, keyed_run &run)
{
    run.phase = run_phase::claiming;
    run.keepUntil = instant::max();
    step.state.claimWrites.add({name, 0, encodeClaim(recordOf(step.state, run)), false});
    flushClaimWrites(step);
}

void flushClaimWrites(requests_step &step, bool sendNow)
{
    for (;;) {
        const std::uint64_t operation = step.state.lastNumber + 1;
        const std::string writeId
                = absl::StrCat(absl::Hex(step.state.self.incarnation.value), "-", operation);
        const auto transaction = step.state.claimWrites.nextTransaction(operation, writeId, sendNow);
        if (!transaction) {
            return;
        }
        const operation_id id = step.startOperation(claim_write_operation{});
        step.count("requests_claim_transactions_total");
        step.count("requests_claim_writes_total", static_cast<double>(transaction->writes.size()));
        step.emit(call_store{id, *transaction, kClaimWriteTimeout});
    }
}

void onClaimWritesFinished(requests_step &step, std::uint64_t operation, const store_outcome &outcome)
{
    for (const claim_batcher::result &result : step.state.claimWrites.finishTransaction(operation, outcome)) {
        onWriteDecided(step, result);
    }
    flushClaimWrites(step);
}

void finishRun(requests_step &step, const call_record &call, const final_answer &answer)
{
    const auto found = step.state.runs.find(call.runName);
    if (call.runName.empty() || found == step.state.runs.end() || found->second.call != call.number.value) {
        return;
    }
    keyed_run &run = found->second;
    if (run.phase != run_phase::running) {
        return;
    }
    const bool isTicket = run.rowVersion == 0;
    if (answer.outcome == verdict::not_run && !isTicket) {
        removeRow(step, call.runName, run);
        return;
    }
    run.phase = run_phase::answered;
    run.call = 0;
    run.answer = answer;
    if (isTicket) {
        run.keepUntil = step.ctx.now + kAnswerRetention;
    } else {
        writeAnswer(step, call.runName, run);
    }
}

void maintainRuns(requests_step &step)
{
    flushClaimWrites(step, true);
    for (auto &[name, run] : step.state.runs) {
        if (step.ctx.now < run.retryWriteAt) {
            continue;
        }
        if (run.phase == run_phase::answered) {
            writeAnswer(step, name, run);
        } else if (run.phase == run_phase::releasing) {
            removeRow(step, name, run);
        }
    }
    std::erase_if(step.state.runs, [&](const auto &entry) { return step.ctx.now >= entry.second.keepUntil; });
    step.state.tickets.removeExpired(step.ctx.now, kAnswerRetention);
}

bool hasUnwrittenRuns(const requests_state &state)
{
    return std::ranges::any_of(state.runs, [](const auto &entry) {
        return entry.second.answerUnwritten || entry.second.phase == run_phase::releasing;
    });
}

void redeemLocally(requests_step &step, call_number number, const ticket_fields &ticket)
{
    call_record &call = step.state.calls.at(number);
    const std::string name = absl::StrCat("ticket/", ticket.number);
    const redemption_result redeemed = step.state.tickets.redeem(ticket, step.ctx.now);
    const auto existing = step.state.runs.find(name);
    if (redeemed == redemption_result::granted) {
        keyed_run &run = step.state.runs[name];
        run.phase = run_phase::running;
        run.requestHash = requestHashOf(call);
        run.call = number.value;
        call.runName = name;
        if (step.state.stopping) {
            finishCall(step, number, keyReleasedAnswer());
            return;
        }
        admitCall(step, number);
    } else if (redeemed == redemption_result::used && existing != step.state.runs.end()) {
        handleExistingRun(step, number, name, existing->second);
    } else if (redeemed == redemption_result::expired) {
        finishCall(step, number,
                   toAnswer({kConflict, "ticket-expired", "The ticket expired without use; get a new one.",
                             verdict::not_run, 0}));
    } else {
        finishCall(step, number,
                   toAnswer({kBadGateway, "ticket-forgotten", "Nothing is known of this ticket any more.",
                             verdict::may_have_run, 0}));
    }
}

} // namespace jacinthvale
