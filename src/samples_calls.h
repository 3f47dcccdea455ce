/// Requests of trainers: reading, checking, answering and forwarding them to the holder.
#pragma once

#include "samples_step.h"

#include <jacinthvale/verdict.h>

namespace jacinthvale {

/// Requests of one trainer that may wait for its lease to be settled.
inline constexpr std::size_t kMaxWaitingCalls = 256;

/// Takes a request from a caller of this process.
void receiveCall(samples_step &step, const http_request_received &request);

/// Takes a message of a peer: a forwarded request, or the answer to one.
void receivePeer(samples_step &step, const peer_message_received &message);

/// Handles, keeps or forwards a request, whatever this process knows of the lease.
void dispatchCall(samples_step &step, trainer_call call);

/// Handles all requests that waited for the lease to be settled.
void dispatchWaiting(samples_step &step, trainer_session &session);

/// Handles a request as the holder.
void handleCall(samples_step &step, trainer_session &session, trainer_call call);

/// Gives up forwarded requests and kept ones whose time is over.
void expireCalls(samples_step &step);

/// Forgets a caller that went away.
void abandonCall(samples_step &step, exchange_id exchange);

void answerCall(samples_step &step, const trainer_call &call, int status, const std::string &body);
/// Refuses a request. One that may have been carried out is not called not-run.
void refuseCall(samples_step &step, const trainer_call &call, const request_error &refusal);

/// Answer to a request that may have been carried out.
request_error outcomeUnknown();

/// Takes a newer version of the trainer's weights; the head row follows with the next transaction.
void raiseVersion(samples_step &step, trainer_session &session, weight_version version);

/// Refusal of a request that nothing was done for.
request_error notRun(int status, std::string code, std::string message);

} // namespace jacinthvale
