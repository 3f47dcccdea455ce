/// Parsing of HTTP requests from callers.
#pragma once

#include <jacinthvale/requests.h>

#include <variant>

namespace jacinthvale {

/// Parses and validates a request to /v1/completions or /v1/services/{service}.
/// @param defaultTimeLeft time until the deadline if the request has no Jacinthvale-Deadline-Ms header
std::variant<caller_request, request_error> parseCallerRequest(const http_request_received &received,
                                                               milliseconds defaultTimeLeft);

/// @returns the error for an invalid request, with the verdict not_run.
request_error invalidRequest(int status, std::string code, std::string message);

} // namespace jacinthvale
