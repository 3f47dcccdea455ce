/// Completions: bodies to engines, events from engines, answers to callers.
#pragma once

#include <jacinthvale/requests.h>

namespace jacinthvale {

/// @returns the body for an engine: always streamed, and resuming where tokens exist already.
std::string engineBody(const call_record &call, std::int64_t priority);

/// Takes in the next bytes of an engine's stream.
/// @returns the whole events among them, as the caller is to get them.
std::string takeStreamBytes(completion_progress &progress, const std::string &bytes);

/// @returns the end of a streamed answer.
std::string streamEnd();

/// @returns the event that tells a caller why its streamed answer is not whole.
std::string streamError(const request_error &error);

/// @returns the answer to a caller that did not ask for a stream.
std::string wholeCompletion(const completion_progress &progress);

/// @returns the whole answer as one stream body.
std::string streamedCompletion(const completion_progress &progress);

} // namespace jacinthvale
