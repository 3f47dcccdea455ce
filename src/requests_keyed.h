/// At-most-once runs: claims of idempotency keys, and tickets.
#pragma once

#include "requests_step.h"

namespace jacinthvale {

/// Claims the idempotency key of the call, joins the run of the key, or replays its answer.
void beginClaim(requests_step &step, call_number number);

/// Redeems the ticket of the call, or forwards the call to the gate that issued it.
void beginTicket(requests_step &step, call_number number);

/// Runs, joins or answers a call whose ticket was issued by this process.
void redeemLocally(requests_step &step, call_number number, const ticket_fields &ticket);

/// Answers POST /v1/tickets.
void issueTicket(requests_step &step, exchange_id exchange);

/// Handles the end of a call that owns a keyed run: records the answer, or releases the claim if nothing ran.
void finishRun(requests_step &step, const call_record &call, const final_answer &answer);

/// Handles the end of a transaction of claim rows.
void onClaimWritesFinished(requests_step &step, std::uint64_t operation, const store_outcome &outcome);

/// Sends queued writes of claim rows.
/// @param sendNow true to not wait for the transaction in flight
void flushClaimWrites(requests_step &step, bool sendNow = false);

/// Sends unconfirmed writes again, and removes old runs and tickets.
void maintainRuns(requests_step &step);

/// Sends the claim of a run; also again with the same number after an unknown outcome.
void submitClaim(requests_step &step, const std::string &name, keyed_run &run);

/// Replays the answer in the claim row of another owner, or waits for that owner.
void followClaimRow(requests_step &step, call_number number, const store_row &row);

/// Handles a read of the claim row for a call that waits for the owner.
void onClaimRowRead(requests_step &step, call_number number, const store_outcome &outcome);

/// @returns the refusal for a run that was released without having run.
final_answer keyReleasedAnswer();

/// @returns true while an answer or a release is not yet confirmed in its claim row.
bool hasUnwrittenRuns(const requests_state &state);

} // namespace jacinthvale
