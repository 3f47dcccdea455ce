/// Commits of the holder: payloads, transactions and the answers that depend on them.
#pragma once

#include "samples_step.h"

namespace jacinthvale {

/// Stores payloads and sends the next transaction, if there is something to do.
void pumpSession(samples_step &step, trainer_session &session);

void finishPut(samples_step &step, trainer_session &session, const store_outcome &outcome);
void finishCommit(samples_step &step, trainer_session &session, const store_outcome &outcome);

/// Takes a scored sample.
void takeFinished(samples_step &step, trainer_session &session, finished_sample sample);

} // namespace jacinthvale
