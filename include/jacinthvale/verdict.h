/// Verdict on a request: whether an upstream may have run it.
#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthvale {

/// Whether a request may have run at an upstream.
enum class verdict : std::uint8_t {
    /// Proven: no byte of the request reached an upstream, or the upstream refused it before running it.
    not_run,
    /// At least one byte was sent and no response proves whether the request ran.
    may_have_run,
    /// The upstream responded after running the request.
    ran,
};

/// @returns "not-run", "may-have-run" or "ran", as in the header Jacinthvale-Verdict.
std::string_view toString(verdict value);

/// @returns the verdict of a request from the verdicts of two attempts: the greater enumerator.
constexpr verdict combine(verdict left, verdict right)
{
    return left < right ? right : left;
}

/// Final refusal or failure of a request as reported to its caller.
struct request_error
{
    int httpStatus = 503;
    /// Stable, machine-readable code, for example "queue-full".
    std::string code;
    /// Human-readable sentence.
    std::string message;
    verdict outcome = verdict::not_run;
    /// Seconds after which the caller may retry; 0 omits the header Retry-After.
    int retryAfterSeconds = 0;

    auto operator<=>(const request_error &) const = default;
};

/// @returns the JSON body {"error": {"code", "message", "verdict"}}.
std::string toJson(const request_error &error);

/// @returns the nearest absl::Status, for callers inside the process.
absl::Status toStatus(const request_error &error);

} // namespace jacinthvale
