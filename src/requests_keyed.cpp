// Life of a keyed run at the process that owns it.
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
constexpr milliseconds kKeepAnswered{60'000};
constexpr milliseconds kKeepDoubtful{60'000};
constexpr milliseconds kWriteAgainAfter{1000};
constexpr milliseconds kLedgerDeadline{5000};

request_error keyReused()
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

claim_record makeRecord(const requests_state &state, const keyed_run &run)
{
    return {state.self.incarnation, state.self.peer, run.claimNumber, run.requestHash, run.answer};
}

/// Hands the recipients of a call over to the call that runs.
void joinRun(requests_step &step, call_number from, call_number to)
{
    auto node = step.state.calls.extract(from);
    const auto target = step.state.calls.find(to);
    if (node.empty() || target == step.state.calls.end()) {
        return;
    }
    target->second.request.firstTry = false;
    for (answer_recipient &recipient : node.mapped().recipients) {
        if (const auto *exchange = std::get_if<exchange_id>(&recipient.to)) {
            step.state.exchanges[*exchange] = to;
        }
        const bool waits = std::ranges::any_of(
                target->second.recipients, [&](const answer_recipient &r) { return r.to == recipient.to; });
        if (!waits) {
            target->second.recipients.push_back(std::move(recipient));
        }
    }
    step.count("requests_joined_total");
}

/// Answers a call from a run that this process already knows.
void followRun(requests_step &step, call_number number, const std::string &name, keyed_run &run)
{
    if (run.requestHash != requestHashOf(step.state.calls.at(number))) {
        finishCall(step, number, toAnswer(keyReused()));
        return;
    }
    switch (run.phase) {
    case run_phase::answered:
        step.count("requests_replayed_total");
        finishCall(step, number, *run.answer);
        return;
    case run_phase::releasing:
        finishCall(step, number, releasedAnswer());
        return;
    case run_phase::doubtful:
        step.state.calls.at(number).phase = call_phase::claiming;
        step.state.calls.at(number).runName = name;
        run.call = number.value;
        resumeClaim(step, name, run);
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
        joinRun(step, number, {run.call});
        return;
    }
}

void writeAnswer(requests_step &step, const std::string &name, keyed_run &run)
{
    run.recording = true;
    run.writeAgainAt = instant::max();
    step.state.ledger.add({name, run.rowVersion, encodeClaim(makeRecord(step.state, run)), false});
    flushLedger(step);
}

void removeRow(requests_step &step, const std::string &name, keyed_run &run)
{
    run.phase = run_phase::releasing;
    run.call = 0;
    run.writeAgainAt = instant::max();
    step.state.ledger.add({name, run.rowVersion, "", true});
    flushLedger(step);
}

void onClaimWon(requests_step &step, const std::string &name, keyed_run &run, std::uint64_t version)
{
    run.rowVersion = version;
    const call_number number{run.call};
    const auto call = step.state.calls.find(number);
    if (call == step.state.calls.end() || call->second.recipients.empty()
        || step.at.now >= call->second.deadline) {
        // Nobody waits any more: give the key back instead of running it late.
        removeRow(step, name, run);
        finishCall(step, number, releasedAnswer());
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
        followRow(step, number, row);
    }
}

/// Nothing ran here, but whether the key ran elsewhere is not known either.
void onClaimDoubtful(requests_step &step, keyed_run &run)
{
    const call_number number{run.call};
    run.phase = run_phase::doubtful;
    run.call = 0;
    run.keepUntil = step.at.now + kKeepDoubtful;
    const auto call = step.state.calls.find(number);
    if (call == step.state.calls.end()) {
        return;
    }
    step.count("requests_claim_unknown_total");
    const bool first = call->second.request.firstTry;
    finishCall(step, number,
               toAnswer({first ? kUnavailable : kGatewayTimeout, "claim-unavailable",
                         "The store did not confirm the key; nothing ran here. Retry with the same key.",
                         first ? verdict::not_run : verdict::may_have_run, 1}));
}

void onClaimResult(requests_step &step, const std::string &name, keyed_run &run,
                   const claim_batcher::outcome &how)
{
    if (const auto *done = std::get_if<claim_batcher::committed>(&how)) {
        onClaimWon(step, name, run, done->version);
        return;
    }
    const auto *met = std::get_if<claim_batcher::conflict>(&how);
    if (met == nullptr || !met->row) {
        onClaimDoubtful(step, run);
        return;
    }
    const auto record = decodeClaim(met->row->value);
    const bool own = record && record->incarnation == step.state.self.incarnation
                     && record->number == run.claimNumber;
    if (own) {
        // An earlier copy of this claim took effect although its answer was lost.
        onClaimWon(step, name, run, met->row->version);
    } else {
        onClaimLost(step, name, run, *met->row);
    }
}

bool hasProof(const claim_batcher::outcome &how)
{
    return std::holds_alternative<claim_batcher::committed>(how)
           || std::holds_alternative<claim_batcher::conflict>(how);
}

void onRecordResult(requests_step &step, keyed_run &run, const claim_batcher::outcome &how)
{
    if (!hasProof(how)) {
        run.writeAgainAt = step.at.now + kWriteAgainAfter;
        return;
    }
    // A conflict shows an earlier copy of this write: nobody else writes this row.
    run.recording = false;
    run.keepUntil = step.at.now + kKeepAnswered;
}

void onReleaseResult(requests_step &step, const std::string &name, keyed_run &run,
                     const claim_batcher::outcome &how)
{
    if (hasProof(how)) {
        step.state.runs.erase(name);
    } else {
        run.writeAgainAt = step.at.now + kWriteAgainAfter;
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
        onClaimResult(step, name, run, result.how);
    } else if (run.phase == run_phase::answered) {
        onRecordResult(step, run, result.how);
    } else if (run.phase == run_phase::releasing) {
        onReleaseResult(step, name, run, result.how);
    }
}

} // namespace

final_answer releasedAnswer()
{
    return toAnswer({kUnavailable, "key-released", "The request was given up before it ran. Retry.",
                     verdict::not_run, 1});
}

void beginClaim(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    const std::string name = runNameOf(call);
    const auto known = step.state.runs.find(name);
    if (known != step.state.runs.end()) {
        followRun(step, number, name, known->second);
        return;
    }
    keyed_run &run = step.state.runs[name];
    run.requestHash = requestHashOf(call);
    run.claimNumber = step.nextNumber();
    run.call = number.value;
    call.runName = name;
    call.phase = call_phase::claiming;
    resumeClaim(step, name, run);
}

void resumeClaim(requests_step &step, const std::string &name, keyed_run &run)
{
    run.phase = run_phase::claiming;
    run.keepUntil = instant::max();
    step.state.ledger.add({name, 0, encodeClaim(makeRecord(step.state, run)), false});
    flushLedger(step);
}

void flushLedger(requests_step &step)
{
    for (;;) {
        const std::uint64_t operation = step.state.lastNumber + 1;
        const std::string writeId
                = absl::StrCat(absl::Hex(step.state.self.incarnation.value), "-", operation);
        const auto transaction = step.state.ledger.next(operation, writeId);
        if (!transaction) {
            return;
        }
        const operation_id id = step.startOperation(ledger_operation{});
        step.count("requests_claim_transactions_total");
        step.count("requests_claim_writes_total", static_cast<double>(transaction->writes.size()));
        step.emit(call_store{id, *transaction, kLedgerDeadline});
    }
}

void onLedgerAnswered(requests_step &step, std::uint64_t operation, const store_outcome &how)
{
    for (const claim_batcher::result &result : step.state.ledger.finished(operation, how)) {
        onWriteDecided(step, result);
    }
    flushLedger(step);
}

void settleRun(requests_step &step, const call_record &call, const final_answer &answer)
{
    const auto found = step.state.runs.find(call.runName);
    if (call.runName.empty() || found == step.state.runs.end() || found->second.call != call.number.value) {
        return;
    }
    keyed_run &run = found->second;
    if (run.phase != run_phase::running) {
        return;
    }
    const bool ticket = run.rowVersion == 0;
    if (answer.outcome == verdict::not_run && !ticket) {
        removeRow(step, call.runName, run);
        return;
    }
    run.phase = run_phase::answered;
    run.call = 0;
    run.answer = answer;
    if (ticket) {
        run.keepUntil = step.at.now + kKeepAnswered;
    } else {
        writeAnswer(step, call.runName, run);
    }
}

void maintainRuns(requests_step &step)
{
    for (auto &[name, run] : step.state.runs) {
        if (step.at.now < run.writeAgainAt) {
            continue;
        }
        if (run.phase == run_phase::answered) {
            writeAnswer(step, name, run);
        } else if (run.phase == run_phase::releasing) {
            removeRow(step, name, run);
        }
    }
    std::erase_if(step.state.runs, [&](const auto &entry) { return step.at.now >= entry.second.keepUntil; });
    step.state.tickets.forget(step.at.now, kKeepAnswered);
}

bool anyRunUnsettled(const requests_state &state)
{
    return std::ranges::any_of(state.runs, [](const auto &entry) {
        return entry.second.recording || entry.second.phase == run_phase::releasing;
    });
}

void redeemHere(requests_step &step, call_number number, const ticket_text &ticket)
{
    call_record &call = step.state.calls.at(number);
    const std::string name = absl::StrCat("ticket/", ticket.number);
    const redemption redeemed = step.state.tickets.redeem(ticket, step.at.now);
    const auto known = step.state.runs.find(name);
    if (redeemed == redemption::granted) {
        keyed_run &run = step.state.runs[name];
        run.phase = run_phase::running;
        run.requestHash = requestHashOf(call);
        run.call = number.value;
        call.runName = name;
        if (step.state.stopping) {
            finishCall(step, number, releasedAnswer());
            return;
        }
        admitCall(step, number);
    } else if (redeemed == redemption::used && known != step.state.runs.end()) {
        followRun(step, number, name, known->second);
    } else if (redeemed == redemption::expired) {
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
