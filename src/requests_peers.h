/// Messages between gates about runs that another gate owns.
#pragma once

#include "requests_step.h"

namespace jacinthvale {

/// Sends the answer of a run to a gate that waits for it.
void sendRunAnswer(requests_step &step, const remote_recipient &recipient, const final_answer &answer);

/// Queries the owner for the answer, or forwards a request with a ticket to the issuing gate.
void sendToOwner(requests_step &step, call_record &call);

void onPeerMessage(requests_step &step, const peer_message_received &message);

/// Updates a peer. If its process has exited, calls that wait for it read the claim row instead, or fail if
/// they have a ticket.
void onPeerChanged(requests_step &step, const peer_view &view);

/// Handles the exit of the process that owns the run of a call.
void onOwnerExited(requests_step &step, call_number number);

/// Queries owners again, and reads claim rows in case an owner is unreachable.
void pollOwners(requests_step &step);

} // namespace jacinthvale
