/// Reads callers' HTTP requests.
#pragma once

#include <jacinthvale/requests.h>

#include <variant>

namespace jacinthvale {

/// Checks a request to /v1/completions or /v1/services/{service}.
/// @param defaultTimeLeft how long a caller waits that does not say so
std::variant<caller_request, request_error> parseCallerRequest(const http_request_received &received,
                                                               milliseconds defaultTimeLeft);

/// @returns the refusal of a wrong request: nothing ran.
request_error wrongRequest(int status, std::string code, std::string message);

} // namespace jacinthvale
