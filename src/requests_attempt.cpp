// One sending of a call to an upstream: what it proves, and whether another one follows.
#include "requests_completion.h"
#include "requests_step.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kTooMany = 429;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMaxAttempts = 6;
constexpr double kPercent = 100;
constexpr double kServiceTimeWeight = 0.1;
constexpr milliseconds kFreshAfterSilence{10000};

/// How an attempt ended, judged.
struct attempt_result
{
    verdict outcome = verdict::may_have_run;
    transfer_outcome transfer = transfer_outcome::failed_after_send;
    int status = 0;
    std::string contentType;
    std::string body;
    bool refusedUnrun = false;
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

/// @returns true where the upstream says that it refused the request before running it.
bool refusedUnrun(int status, const http_headers &headers)
{
    return status >= kBadRequest && headerOf(headers, "Jacinthvale-Verdict") == toString(verdict::not_run);
}

verdict judge(const call_record &call, const http_call_finished &result, bool refused)
{
    if (result.outcome == transfer_outcome::nothing_sent || refused) {
        return verdict::not_run;
    }
    if (result.outcome != transfer_outcome::complete || result.status >= kInternalError
        || result.status == kTooMany) {
        return verdict::may_have_run;
    }
    const bool partial = isEngineCall(call) && result.status == kOk && call.progress.finishReason.empty();
    return partial ? verdict::may_have_run : verdict::ran;
}

attempt_result judgeAttempt(const call_record &call, const http_call_finished &result)
{
    // A streamed answer's head came before its end; a broken transfer's end bears no head.
    const bool fromHead = call.attempt && call.attempt->status != 0;
    const int status = fromHead ? call.attempt->status : result.status;
    const http_headers &headers = fromHead ? call.attempt->headers : result.headers;
    const bool refused = refusedUnrun(status, headers);
    std::string body = isEngineCall(call) ? call.progress.refusal + result.body : result.body;
    return {judge(call, result, refused),      result.outcome,  status,
            headerOf(headers, "Content-Type"), std::move(body), refused};
}

/// Teaches the upstream's limiter and breaker how the attempt ended.
void learn(requests_step &step, upstream_record &upstream, const call_record &call,
           const attempt_result &result)
{
    const auto threshold = static_cast<int>(step.setting("requests.breakerFailures"));
    if (result.outcome == verdict::ran) {
        upstream.breaker.noteSuccess();
        if (!isEngineCall(call)) {
            upstream.limiter.noteLatency(step.at.now - call.attempt->startedAt);
        }
    } else if (result.refusedUnrun || result.status == kTooMany) {
        upstream.limiter.noteOverload();
    } else if (result.transfer == transfer_outcome::timed_out) {
        // Perhaps only this connection is silent: a new one tells.
        upstream.freshUntil = step.at.now + kFreshAfterSilence;
        upstream.limiter.noteOverload();
        step.count("requests_silent_connections_total");
        startProbe(step, upstream);
    } else {
        upstream.breaker.noteFailure(step.at.now, threshold);
    }
}

void learnServiceTime(requests_step &step, const call_record &call)
{
    request_pool &pool = step.state.pools[poolName(call.request.kind, call.request.target)];
    const auto took = static_cast<double>((step.at.now - call.attempt->startedAt).count());
    pool.serviceMs
            = pool.serviceMs == 0 ? took : pool.serviceMs + kServiceTimeWeight * (took - pool.serviceMs);
}

final_answer successAnswer(const call_record &call, const attempt_result &result)
{
    if (!isEngineCall(call) || result.status != kOk) {
        return {result.status, result.contentType, result.body, verdict::ran, 0};
    }
    if (call.request.streamed) {
        return {kOk, "text/event-stream", streamedCompletion(call.progress), verdict::ran, 0};
    }
    return {kOk, "application/json", wholeCompletion(call.progress), verdict::ran, 0};
}

final_answer failureAnswer(const call_record &call, const attempt_result &last)
{
    if (call.outcome == verdict::not_run) {
        return toAnswer(
                {kUnavailable, "upstream-refused", "No upstream ran the request.", verdict::not_run, 1});
    }
    const bool timedOut = last.transfer == transfer_outcome::timed_out;
    return toAnswer({timedOut ? kGatewayTimeout : kBadGateway, "upstream-failed",
                     "An upstream got the request and gave no whole answer.", verdict::may_have_run, 1});
}

bool mayRetry(requests_step &step, const call_record &call, const attempt_result &last)
{
    const bool safe = call.request.repeatable || last.outcome == verdict::not_run;
    if (!safe || call.attempts >= kMaxAttempts || step.at.now >= call.deadline || call.recipients.empty()) {
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
    const auto left = std::max<std::int64_t>((call.deadline - step.at.now).count(), 1);
    http_headers headers
            = {{"Jacinthvale-Deadline-Ms", std::to_string(left)},
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
    http.body = engine ? engineBody(call, step.setting("requests.classPriority", call.request.callerClass))
                       : call.request.body;
    http.progressTimeout = milliseconds{progress};
    http.streamed = engine;
    http.freshConnection = !call.request.repeatable || step.at.now < upstream.freshUntil;
    return http;
}

} // namespace

void startAttempt(requests_step &step, call_record &call, upstream_record &upstream)
{
    const auto retryShare = static_cast<double>(step.setting("requests.retryPercent")) / kPercent;
    if (call.attempts == 0) {
        step.state.budget.noteFirstAttempt(retryShare);
        step.count("requests_first_attempts_total");
    } else {
        step.count("requests_retries_total");
    }
    ++call.attempts;
    call.phase = call_phase::running;
    call.attempt.emplace();
    call.attempt->operation = step.startOperation(attempt_operation{call.number}).number;
    call.attempt->upstream = upstream.view.id;
    call.attempt->startedAt = step.at.now;
    call.progress.unparsed.clear();
    call.progress.refusal.clear();
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
        call.progress.refusal += chunk.bytes;
        return;
    }
    if (!call.attempt->sawFirstByte) {
        call.attempt->sawFirstByte = true;
        const auto upstream = step.state.upstreams.find(call.attempt->upstream);
        if (upstream != step.state.upstreams.end()) {
            // Time to the first token: the length of the answer says nothing about load.
            upstream->second.limiter.noteLatency(step.at.now - call.attempt->startedAt);
        }
    }
    const std::string forCaller = takeStreamBytes(call.progress, chunk.bytes);
    if (!call.request.streamed || !call.runName.empty() || forCaller.empty()) {
        return;
    }
    for (const answer_recipient &recipient : call.recipients) {
        const exchange_id exchange = std::get<exchange_id>(recipient.to);
        if (!call.replyBegun) {
            step.emit(begin_reply{
                    exchange, kOk, {{"Content-Type", "text/event-stream"}, {"Jacinthvale-Verdict", "ran"}}});
        }
        step.emit(reply_chunk{exchange, forCaller});
    }
    call.replyBegun = true;
}

void onAttemptFinished(requests_step &step, call_number number, const http_call_finished &result)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end() || !found->second.attempt) {
        return;
    }
    call_record &call = found->second;
    const attempt_result judged = judgeAttempt(call, result);
    if (const auto upstream = step.state.upstreams.find(call.attempt->upstream);
        upstream != step.state.upstreams.end()) {
        learn(step, upstream->second, call, judged);
        upstream->second.limiter.release();
    }
    call.outcome = combine(call.outcome, judged.outcome);
    const std::string pool = poolName(call.request.kind, call.request.target);
    if (judged.outcome == verdict::ran) {
        learnServiceTime(step, call);
        finishCall(step, number, successAnswer(call, judged));
    } else if (mayRetry(step, call, judged)) {
        call.tried.push_back(call.attempt->upstream);
        call.attempt.reset();
        admitCall(step, number);
    } else {
        step.emit(record_entry{"request-failed", absl::StrCat(number.value),
                               std::string(toString(call.outcome))});
        finishCall(step, number, failureAnswer(call, judged));
    }
    dispatchPool(step, pool);
}

} // namespace jacinthvale
