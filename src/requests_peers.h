/// Messages between gates: waiting for a run that another gate owns.
#pragma once

#include "requests_step.h"

namespace jacinthvale {

/// Sends the answer of a run to the gate that waits for it.
void sendRunAnswer(requests_step &step, const remote_recipient &recipient, const final_answer &answer);

/// Asks the owner for the answer, or passes a ticket's request on to it.
void sendToOwner(requests_step &step, call_record &call);

void onPeerMessage(requests_step &step, const peer_message_received &message);

/// A peer changed; calls that wait for a process that is over read the claim row instead.
void onPeerChanged(requests_step &step, const peer_view &view);

/// The process that owns the call's run is over.
void onOwnerGone(requests_step &step, call_number number);

/// Asks owners again, and reads rows in case the owner cannot be reached.
void remindOwners(requests_step &step);

} // namespace jacinthvale
