/// Generations: choice of slot and engine, streams, proof of versions, scores.
#pragma once

#include "samples_step.h"

namespace jacinthvale {

/// Starts as many generations as engines have room for.
void scheduleGenerations(samples_step &step);

/// Starts spare copies of stragglers where engines would idle.
void scheduleSpares(samples_step &step);

/// Starts a generation of a slot on an engine, from what is already proved of it.
void startGeneration(samples_step &step, trainer_session &session, const sample_slot &slot,
                     engine_record &engine, bool spare);

/// @returns the best engine with room for this trainer's model; none where there is none.
engine_record *chooseEngine(samples_step &step, const trainer_session &session, const model_id &model,
                            const upstream_id &except);

/// Queues all slots of the session that have neither a live entry nor anything under way.
void queueMissing(samples_step &step, trainer_session &session);

/// Queues one slot if it still needs a generation.
void queueSlot(samples_step &step, trainer_session &session, const sample_slot &slot);

/// Ends a generation; its stream is cancelled. What is proved is kept for the next one.
void dropGeneration(samples_step &step, std::uint64_t number, bool keepProved);

/// Ends all generations of a slot but one.
void dropOthers(samples_step &step, trainer_session &session, const sample_slot &slot, std::uint64_t winner);

void receiveHead(samples_step &step, generation &run, const http_response_head &head);
void receiveChunk(samples_step &step, generation &run, const http_response_chunk &chunk);
void finishStream(samples_step &step, generation &run, const http_call_finished &result);

/// Reads the status of engines where it is due.
void probeEngines(samples_step &step);
void finishProbe(samples_step &step, const upstream_id &engine, const http_call_finished &result);

/// Sends samples that wait for a score to scorers.
void scheduleScoring(samples_step &step);
void finishScoring(samples_step &step, generation &run, const http_call_finished &result);

/// Takes what membership says of an engine or scorer.
void noteUpstream(samples_step &step, const upstream_changed &change);

} // namespace jacinthvale
