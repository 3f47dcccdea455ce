/// Runs that must happen at most once: claims of idempotency keys, and tickets.
#pragma once

#include "requests_step.h"

namespace jacinthvale {

/// Claims the call's idempotency key, joins its run, or replays its answer.
void beginClaim(requests_step &step, call_number number);

/// Redeems the call's ticket here, or passes it on to the gate that issued it.
void beginTicket(requests_step &step, call_number number);

/// Runs, joins or answers a call that bears a ticket of this process.
void redeemHere(requests_step &step, call_number number, const ticket_text &ticket);

/// Answers POST /v1/tickets.
void issueTicket(requests_step &step, exchange_id exchange);

/// Takes in the end of a call that stands for a keyed run: its answer is recorded, or its claim released.
void settleRun(requests_step &step, const call_record &call, const final_answer &answer);

/// Takes in how a transaction of claim rows ended.
void onLedgerAnswered(requests_step &step, std::uint64_t operation, const store_outcome &how);

/// Sends claim rows that wait.
/// @param overdue also where a transaction is on its way that they could wait for
void flushLedger(requests_step &step, bool overdue = false);

/// Writes again what got no proof, and forgets old runs.
void maintainRuns(requests_step &step);

/// Sends the claim of a run whose outcome was not known once more.
void resumeClaim(requests_step &step, const std::string &name, keyed_run &run);

/// Follows the claim row of another owner: replays its answer or waits for it.
void followRow(requests_step &step, call_number number, const store_row &row);

/// Takes in the claim row of a call that waits for its owner.
void onRowRead(requests_step &step, call_number number, const store_outcome &how);

/// @returns the refusal of a run that is given up without having run.
final_answer releasedAnswer();

/// @returns true while a claim row still has to be written.
bool anyRunUnsettled(const requests_state &state);

} // namespace jacinthvale
