// Attempts of a call at an upstream: sending, evaluation of the result, and retries.
#include "requests_completion.h"
#include "requests_step.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTooManyRequests = 429;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMaxAttempts = 6;
constexpr double kPercent = 100;
constexpr double kServiceTimeWeight = 0.1;
constexpr milliseconds kFreshConnectionPeriod{10000};

/// Result of an attempt and its verdict.
struct attempt_result
{
    verdict outcome = verdict::may_have_run;
    transfer_outcome transfer = transfer_outcome::failed_after_send;
    int status = 0;
    std::string contentType;
    std::string body;
    bool refusedBeforeRun = false;
};

std::string headerOf(const http_headers &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

bool isEngineCall(const call_record &call)
{
    return call.request.kind == upstream_kind::engine;
}

/// @returns true if the upstream reports that it refused the request before running it.
bool refusedBeforeRun(int status, const http_headers &headers)
{
    return status >= kBadRequest && headerOf(headers, "Jacinthvale-Verdict") == toString(verdict::not_run);
}

verdict verdictOf(const call_record &call, const http_call_finished &result, bool refused)
{
    if (isUnsent(result.outcome) || refused) {
        return verdict::not_run;
    }
    if (result.outcome != transfer_outcome::complete || result.status >= kInternalError
        || result.status == kTooManyRequests) {
        return verdict::may_have_run;
    }
    const bool incomplete = isEngineCall(call) && result.status == kOk && call.progress.finishReason.empty();
    return incomplete ? verdict::may_have_run : verdict::ran;
}

attempt_result evaluateAttempt(const call_record &call, const http_call_finished &result)
{
    // The status and headers of a streamed answer arrive in an event of their own. They are used first,
    // because the result of a transfer that broke off later has none.
    const bool hasHead = call.attempt && call.attempt->status != 0;
    const int status = hasHead ? call.attempt->status : result.status;
    const http_headers &headers = hasHead ? call.attempt->headers : result.headers;
    // Nothing that a malformed answer says is believed.
    const bool refused = result.outcome != transfer_outcome::malformed && refusedBeforeRun(status, headers);
    std::string body = isEngineCall(call) ? call.progress.errorBody + result.body : result.body;
    return {verdictOf(call, result, refused),  result.outcome,  status,
            headerOf(headers, "Content-Type"), std::move(body), refused};
}

/// Updates the limiter and breaker of the upstream with the result of an attempt.
void updateUpstream(requests_step &step, upstream_record &upstream, const call_record &call,
                    const attempt_result &result)
{
    const auto threshold = static_cast<int>(step.setting("requests.breakerFailures"));
    if (result.outcome == verdict::ran) {
        upstream.breaker.recordSuccess();
        if (!isEngineCall(call)) {
            upstream.limiter.recordLatency(step.ctx.now - call.attempt->startedAt);
        }
    } else if (result.refusedBeforeRun || result.status == kTooManyRequests) {
        upstream.limiter.recordOverload();
    } else if (result.transfer == transfer_outcome::timed_out) {
        // The connection may be at fault instead of the upstream; a probe on a new connection shows which.
        upstream.freshConnectionsUntil = step.ctx.now + kFreshConnectionPeriod;
        upstream.limiter.recordOverload();
        step.count("requests_silent_connections_total");
        startProbe(step, upstream);
    } else if (result.transfer != transfer_outcome::displaced
               && result.transfer != transfer_outcome::invalid_request) {
        upstream.breaker.recordFailure(step.ctx.now, threshold);
    }
}

void updateServiceTime(requests_step &step, const call_record &call)
{
    request_pool &pool = step.state.pools[poolName(call.request.kind, call.request.target)];
    const auto durationMs = static_cast<double>((step.ctx.now - call.attempt->startedAt).count());
    pool.serviceMs = pool.serviceMs == 0
                             ? durationMs
                             : pool.serviceMs + kServiceTimeWeight * (durationMs - pool.serviceMs);
}

final_answer successAnswer(const call_record &call, const attempt_result &result)
{
    if (!isEngineCall(call) || result.status != kOk) {
        return {result.status, result.contentType, result.body, verdict::ran, 0};
    }
    if (call.request.streamed) {
        return {kOk, "text/event-stream", completionAnswerStream(call.progress), verdict::ran, 0};
    }
    return {kOk, "application/json", completionAnswerBody(call.progress), verdict::ran, 0};
}

final_answer failureAnswer(const call_record &call, const attempt_result &lastResult)
{
    if (call.outcome == verdict::not_run) {
        return toAnswer(
                {kUnavailable, "upstream-refused", "No upstream ran the request.", verdict::not_run, 1});
    }
    const bool timedOut = lastResult.transfer == transfer_outcome::timed_out;
    return toAnswer({timedOut ? kGatewayTimeout : kBadGateway, "upstream-failed",
                     "An upstream got the request and gave no whole answer.", verdict::may_have_run, 1});
}

/// @returns true if the call may be attempted again; a token of the retry budget is then taken.
bool tryReserveRetry(requests_step &step, const call_record &call, const attempt_result &lastResult)
{
    const bool safe = call.request.repeatable || lastResult.outcome == verdict::not_run;
    if (!safe || call.attempts >= kMaxAttempts || step.ctx.now >= call.deadline || call.recipients.empty()) {
        return false;
    }
    if (!step.state.budget.tryRetry()) {
        step.count("requests_retry_budget_empty_total");
        return false;
    }
    return true;
}

http_headers headersFor(const requests_step &step, const call_record &call)
{
    const auto remainingMs = std::max<std::int64_t>((call.deadline - step.ctx.now).count(), 1);
    http_headers headers
            = {{"Jacinthvale-Deadline-Ms", std::to_string(remainingMs)},
               {"Content-Type", isEngineCall(call) ? "application/json" : call.request.contentType}};
    if (headers["Content-Type"].empty()) {
        headers["Content-Type"] = "application/octet-stream";
    }
    if (!call.request.idempotencyKey.empty()) {
        headers["Idempotency-Key"] = call.request.idempotencyKey;
    }
    return headers;
}

call_http makeHttpCall(const requests_step &step, const call_record &call, const upstream_record &upstream)
{
    const bool engine = isEngineCall(call);
    const auto progress = step.setting(engine ? "requests.streamProgressMs" : "requests.serviceProgressMs");
    call_http http;
    http.operation = {domain::requests, call.attempt->operation};
    http.target = upstream.view.address;
    http.path = engine ? "/v1/completions" : absl::StrCat("/v1/services/", call.request.target);
    http.headers = headersFor(step, call);
    http.body = engine ? shared_bytes(engineRequestBody(
                        call, step.setting("requests.classPriority", call.request.callerClass)))
                       : call.request.body;
    http.progressTimeout = milliseconds{progress};
    http.streamed = engine;
    http.rank = call.request.repeatable ? answer_rank::repeatable : answer_rank::single;
    http.freshConnection = !call.request.repeatable || step.ctx.now < upstream.freshConnectionsUntil;
    return http;
}

} // namespace

void startAttempt(requests_step &step, call_record &call, upstream_record &upstream)
{
    const auto retryShare = static_cast<double>(step.setting("requests.retryPercent")) / kPercent;
    if (call.attempts == 0) {
        step.state.budget.recordFirstAttempt(retryShare);
        step.count("requests_first_attempts_total");
    } else {
        step.count("requests_retries_total");
    }
    ++call.attempts;
    call.phase = call_phase::running;
    call.attempt.emplace();
    call.attempt->operation = step.startOperation(attempt_operation{call.number}).number;
    call.attempt->upstream = upstream.view.id;
    call.attempt->startedAt = step.ctx.now;
    call.progress.unparsed.clear();
    call.progress.errorBody.clear();
    upstream.limiter.acquire();
    step.emit(makeHttpCall(step, call, upstream));
}

void cancelAttempt(requests_step &step, call_record &call)
{
    if (!call.attempt) {
        return;
    }
    step.emit(cancel_http{{domain::requests, call.attempt->operation}});
    step.state.operations.erase(call.attempt->operation);
    if (const auto upstream = step.state.upstreams.find(call.attempt->upstream);
        upstream != step.state.upstreams.end()) {
        upstream->second.limiter.release();
    }
    call.attempt.reset();
}

void onResponseHead(requests_step &step, call_number number, const http_response_head &head)
{
    const auto found = step.state.calls.find(number);
    if (found != step.state.calls.end() && found->second.attempt) {
        found->second.attempt->status = head.status;
        found->second.attempt->headers = head.headers;
    }
}

void onResponseChunk(requests_step &step, call_number number, const http_response_chunk &chunk)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end() || !found->second.attempt) {
        return;
    }
    call_record &call = found->second;
    if (call.attempt->status != kOk) {
        call.progress.errorBody += chunk.bytes;
        return;
    }
    if (!call.attempt->firstByteReceived) {
        call.attempt->firstByteReceived = true;
        const auto upstream = step.state.upstreams.find(call.attempt->upstream);
        if (upstream != step.state.upstreams.end()) {
            // Uses the time to the first token, because the total time depends on the length of the answer.
            upstream->second.limiter.recordLatency(step.ctx.now - call.attempt->startedAt);
        }
    }
    const std::string callerBytes = parseStreamBytes(call.progress, chunk.bytes);
    if (!call.request.streamed || !call.runName.empty() || callerBytes.empty()) {
        return;
    }
    for (const answer_recipient &recipient : call.recipients) {
        const exchange_id exchange = std::get<exchange_id>(recipient.destination);
        if (!call.replyStarted) {
            step.emit(begin_reply{
                    exchange, kOk, {{"Content-Type", "text/event-stream"}, {"Jacinthvale-Verdict", "ran"}}});
        }
        step.emit(reply_chunk{exchange, callerBytes});
    }
    call.replyStarted = true;
}

void onAttemptFinished(requests_step &step, call_number number, const http_call_finished &result)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end() || !found->second.attempt) {
        return;
    }
    call_record &call = found->second;
    const attempt_result evaluated = evaluateAttempt(call, result);
    if (const auto upstream = step.state.upstreams.find(call.attempt->upstream);
        upstream != step.state.upstreams.end()) {
        updateUpstream(step, upstream->second, call, evaluated);
        upstream->second.limiter.release();
    }
    call.outcome = combine(call.outcome, evaluated.outcome);
    const std::string pool = poolName(call.request.kind, call.request.target);
    if (evaluated.outcome == verdict::ran) {
        updateServiceTime(step, call);
        finishCall(step, number, successAnswer(call, evaluated));
    } else if (tryReserveRetry(step, call, evaluated)) {
        call.tried.push_back(call.attempt->upstream);
        call.attempt.reset();
        admitCall(step, number);
    } else {
        step.emit(record_entry{"request-failed", absl::StrCat(number.value),
                               std::string(toString(call.outcome))});
        finishCall(step, number, failureAnswer(call, evaluated));
    }
    dispatchPool(step, pool);
}

} // namespace jacinthvale
