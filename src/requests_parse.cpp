#include "requests_parse.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

using nlohmann::json;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxClassBytes = 32;
constexpr std::size_t kMaxNameBytes = 128;
/// Prompts with the same first kPrefixBytes bytes share a prefix hash. A prompt shorter than kMinPrefixBytes
/// gets none, as so short a prefix does not justify routing to another engine.
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kMinPrefixBytes = 64;
constexpr std::int64_t kMaxTimeLeftMs = 3'600'000;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

using parse_result = std::variant<caller_request, request_error>;

std::string headerOf(const http_request_received &received, const std::string &name)
{
    const auto found = received.headers.find(name);
    return found == received.headers.end() ? std::string() : found->second;
}

bool isSimpleName(const std::string &text, std::size_t maxBytes)
{
    return text.size() <= maxBytes && std::ranges::all_of(text, [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

std::optional<request_error> readHeaders(const http_request_received &received, caller_request &request)
{
    request.idempotencyKey = headerOf(received, "Idempotency-Key");
    request.ticket = headerOf(received, "Jacinthvale-Ticket");
    request.callerClass = {headerOf(received, "Jacinthvale-Caller-Class")};
    request.isNewKey = headerOf(received, "Jacinthvale-First-Try") == "true";
    if (request.idempotencyKey.size() > kMaxKeyBytes) {
        return invalidRequest(kBadRequest, "bad-key", "Idempotency-Key is longer than 256 bytes.");
    }
    if (!request.idempotencyKey.empty() && !request.ticket.empty()) {
        return invalidRequest(kBadRequest, "key-and-ticket",
                              "Give an Idempotency-Key or a ticket, not both.");
    }
    if (!isSimpleName(request.callerClass.value, kMaxClassBytes)) {
        return invalidRequest(kBadRequest, "bad-class", "Jacinthvale-Caller-Class is not a plain name.");
    }
    if (const std::string deadlineHeader = headerOf(received, "Jacinthvale-Deadline-Ms");
        !deadlineHeader.empty()) {
        std::int64_t deadlineMs = 0;
        if (!absl::SimpleAtoi(deadlineHeader, &deadlineMs) || deadlineMs < 1 || deadlineMs > kMaxTimeLeftMs) {
            return invalidRequest(kBadRequest, "bad-deadline",
                                  "Jacinthvale-Deadline-Ms is not a number from 1 to 3600000.");
        }
        request.timeLeft = milliseconds{deadlineMs};
    }
    return std::nullopt;
}

void readRepeatable(const http_request_received &received, caller_request &request)
{
    const bool atMostOnce = !request.idempotencyKey.empty() || !request.ticket.empty();
    const std::string repeatableHeader = headerOf(received, "Jacinthvale-Repeatable");
    request.repeatable = repeatableHeader.empty() ? request.kind == upstream_kind::engine && !atMostOnce
                                                  : repeatableHeader == "true" && request.ticket.empty();
}

std::optional<request_error> readCompletion(caller_request &request)
{
    const json body = json::parse(request.body.str(), nullptr, false);
    if (!body.is_object() || !body.value("model", json()).is_string()
        || !body.value("prompt", json()).is_string()) {
        return invalidRequest(kBadRequest, "bad-json", "The body is no JSON object with model and prompt.");
    }
    const json stream = body.value("stream", json(false));
    const json maxTokens = body.value("max_tokens", json(1));
    if (!stream.is_boolean() || !maxTokens.is_number_integer() || maxTokens.get<std::int64_t>() < 1) {
        return invalidRequest(kBadRequest, "bad-json",
                              "stream is no boolean, or max_tokens no whole number.");
    }
    request.target = body["model"].get<std::string>();
    request.streamed = stream.get<bool>();
    const auto prompt = body["prompt"].get<std::string>();
    if (prompt.size() >= kMinPrefixBytes) {
        request.prefixHash = stableHash(prompt.substr(0, kPrefixBytes));
    }
    return std::nullopt;
}

} // namespace

request_error invalidRequest(int status, std::string code, std::string message)
{
    return {status, std::move(code), std::move(message), verdict::not_run, 0};
}

parse_result parseCallerRequest(const http_request_received &received, milliseconds defaultTimeLeft)
{
    caller_request request;
    request.timeLeft = defaultTimeLeft;
    request.body = received.body;
    request.contentType = headerOf(received, "Content-Type");
    const bool isService = received.path.starts_with(kServicePrefix);
    if (!isService && received.path != kCompletionsPath) {
        return invalidRequest(kNotFound, "no-such-path", "There is nothing at this path.");
    }
    if (received.method != "POST") {
        return invalidRequest(kMethodNotAllowed, "wrong-method", "Use POST.");
    }
    if (const auto error = readHeaders(received, request)) {
        return *error;
    }
    if (isService) {
        request.kind = upstream_kind::service;
        request.target = received.path.substr(kServicePrefix.size());
    } else {
        request.kind = upstream_kind::engine;
        if (const auto error = readCompletion(request)) {
            return *error;
        }
    }
    if (request.target.empty() || (isService && !isSimpleName(request.target, kMaxNameBytes))) {
        return invalidRequest(kNotFound, "no-such-service", "The service's name is not a plain name.");
    }
    readRepeatable(received, request);
    return request;
}

} // namespace jacinthvale
