/// Verdict of a request: whether it may have run.
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthvale {

/// Whether a request may have run at an upstream.
enum class verdict : std::uint8_t {
    /// Proved: no byte of the request reached an upstream, or the upstream refused it before running it.
    not_run,
    /// A byte was sent and no answer proves what happened.
    may_have_run,
    /// The upstream answered after running it.
    ran,
};

/// @returns "not-run", "may-have-run" or "ran", as in the header Jacinthvale-Verdict.
std::string_view toString(verdict value);

/// @returns the verdict of a request whose two attempts had these verdicts: the one that claims more.
constexpr verdict combine(verdict left, verdict right)
{
    return left < right ? right : left;
}

/// Final refusal or failure of a request, as told to its caller.
struct request_error
{
    int httpStatus = 503;
    /// Stable word for programs, for example "queue-full".
    std::string code;
    /// One sentence for people.
    std::string message;
    verdict outcome = verdict::not_run;
    /// Seconds until a new try makes sense; 0 leaves the header Retry-After out.
    int retryAfterSeconds = 0;

    auto operator<=>(const request_error &) const = default;
};

/// @returns the JSON body {"error": {"code", "message", "verdict"}}.
std::string toJson(const request_error &error);

/// @returns the nearest absl::Status, for callers inside the process.
absl::Status toStatus(const request_error &error);

} // namespace jacinthvale
