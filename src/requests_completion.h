/// Encoding of completion requests to engines and answers to callers, and parsing of engine streams.
#pragma once

#include <jacinthvale/requests.h>

namespace jacinthvale {

/// @returns the request body for an engine. It always asks for a stream, and resumes from the tokens received
/// so far.
std::string engineRequestBody(const call_record &call, std::int64_t priority);

/// Parses the next bytes of an engine stream and updates the progress.
/// @returns the events completed by these bytes, encoded for the caller.
std::string parseStreamBytes(completion_progress &progress, const std::string &bytes);

/// @returns the last event of a complete streamed answer.
std::string streamEndEvent();

/// @returns the event that reports why a streamed answer is incomplete.
std::string streamErrorEvent(const request_error &error);

/// @returns the answer body for a caller that did not request a stream.
std::string completionAnswerBody(const completion_progress &progress);

/// @returns the complete answer as the body of one stream.
std::string completionAnswerStream(const completion_progress &progress);

} // namespace jacinthvale
