/// Answers to pulls: payloads of entries, and what is handed over.
#pragma once

#include "samples_step.h"

namespace jacinthvale {

/// Checks a pull and keeps it until there is something to hand over.
void acceptPull(samples_step &step, trainer_session &session, const trainer_call &call);

/// @returns the last cursor that the waiting pull can be answered with now; 0 where it must wait. Asks for
/// payloads that are missing.
std::uint64_t preparePull(samples_step &step, trainer_session &session, const trainer_ledger &ledger);

/// Answers a pull with the entries after its cursor, up to one.
void answerPull(samples_step &step, trainer_session &session, const pending_pull &pull,
                std::uint64_t through);

/// Answers a pull that has waited long enough without samples.
void answerEmpty(samples_step &step, const pending_pull &pull);

void finishPayloadRead(samples_step &step, trainer_session &session, const std::string &object,
                       const store_outcome &outcome);

/// Keeps the payloads of an object in memory.
void keepPayload(samples_step &step, trainer_session &session, const std::string &object,
                 payload_batch batch);

/// Drops payloads that no entry needs, and others while there are too many bytes.
void trimPayloads(samples_step &step, trainer_session &session);

std::string writePayload(const std::vector<finished_sample> &samples);
payload_batch makePayloadBatch(const std::vector<finished_sample> &samples);

} // namespace jacinthvale
