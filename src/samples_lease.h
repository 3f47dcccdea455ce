/// Leases of trainers: reading heads, taking leases over, and loading rows.
#pragma once

#include "samples_step.h"

namespace jacinthvale {

/// @returns the trainer's session, a new one where there is none.
trainer_session &openSession(samples_step &step, const trainer_id &trainer);

/// Reads the head row if nothing is known of the lease.
void settleLease(samples_step &step, trainer_session &session);

/// Drops everything that depends on the lease and reads the head row again. Requests are kept.
void loseLease(samples_step &step, trainer_session &session, const std::string &why);

void finishHeadRead(samples_step &step, trainer_session &session, const store_outcome &outcome);
void finishAcquisition(samples_step &step, trainer_session &session, const store_outcome &outcome);
void finishLoad(samples_step &step, trainer_session &session, const store_outcome &outcome);
void finishScan(samples_step &step, const store_outcome &outcome);

/// Scans the heads when it is time, and takes over leases that lapsed.
void watchLeases(samples_step &step);

/// Notes what membership says of a peer.
void notePeer(samples_step &step, const peer_view &view);

} // namespace jacinthvale
