/// Checks that an answer is whole and that of its request.
#pragma once

#include "bench_experiment.h"

#include <jacinthvale/event.h>

#include <string>

namespace jacinthvale::bench {

/// What one attempt proved to its caller.
enum class attempt_result : std::uint8_t { whole, wrong, not_run, may_have_run, broken, unreachable };

/// @param sentBody body of the call.
/// @param received body of the answer; for streams all chunks.
attempt_result judgeAttempt(const caller_profile &caller, const std::string &sentBody,
                            const http_call_finished &result, const std::string &received);

/// @returns true where the events end with [DONE], a finish reason and the tokens asked for.
bool isWholeStream(const std::string &events, int maxTokens);

} // namespace jacinthvale::bench
