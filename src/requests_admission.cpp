// Admission of calls: refusal of calls that cannot be served in time, queueing, and selection of an upstream.
#include "requests_step.h"

#include <algorithm>
#include <cmath>

namespace jacinthvale {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr double kMillisecondsPerSecond = 1000;

bool canServe(const upstream_view &view, const call_record &call)
{
    if (view.kind != call.request.kind) {
        return false;
    }
    return view.kind == upstream_kind::engine || view.service.value == call.request.target;
}

route_choice selectUpstream(requests_step &step, const call_record &call)
{
    std::vector<route_candidate> candidates;
    for (const auto &[id, upstream] : step.state.upstreams) {
        if (canServe(upstream.view, call)) {
            const int inFlight = upstream.limiter.inFlight();
            candidates.push_back({&upstream.view, inFlight, upstream.limiter.hasCapacity(),
                                  upstream.breaker.allows(inFlight)});
        }
    }
    const bool engine = call.request.kind == upstream_kind::engine;
    const route_request routeRequest{step.state.self.availabilityZone,
                                     engine ? call.request.target : std::string(), call.request.prefixHash,
                                     call.tried};
    return chooseUpstream(candidates, routeRequest, step.ctx.now, step.nextRandom());
}

/// @returns the sum of the concurrency limits of the upstreams that serve the call, at least 1.
int poolLimit(const requests_state &state, const call_record &call)
{
    int total = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        const bool isAvailable = upstream.view.condition == upstream_condition::serving
                                 && upstream.breaker.state() != breaker_state::open;
        if (isAvailable && canServe(upstream.view, call)) {
            total += upstream.limiter.limit();
        }
    }
    return std::max(total, 1);
}

void refuse(requests_step &step, call_number number, request_error error)
{
    const verdict earlier = step.state.calls.at(number).outcome;
    error.outcome = earlier;
    if (earlier != verdict::not_run) {
        error.httpStatus = 502;
    }
    step.count("requests_refused_" + error.code + "_total");
    finishCall(step, number, toAnswer(error));
}

int secondsOf(double ms)
{
    return std::max(1, static_cast<int>(std::ceil(ms / kMillisecondsPerSecond)));
}

/// @returns the refusal if the queue is full or the call cannot be served before its deadline.
std::optional<request_error> admissionError(requests_step &step, const call_record &call,
                                            const request_pool &pool)
{
    const caller_class_id &callerClass = call.request.callerClass;
    const auto weight = static_cast<double>(step.setting("requests.classShare", callerClass));
    const double callsAhead = pool.queue.estimateCallsAhead(callerClass, weight);
    const double waitMs = callsAhead * pool.serviceMs / poolLimit(step.state, call);
    const auto maxQueued = static_cast<std::size_t>(step.setting("requests.maxQueued"));
    if (pool.queue.size() >= maxQueued) {
        return request_error{kTooManyRequests, "queue-full", "Too many requests wait.", verdict::not_run,
                             secondsOf(waitMs)};
    }
    const auto remainingMs = static_cast<double>((call.deadline - step.ctx.now).count());
    if (pool.queue.size() > 0 && waitMs + pool.serviceMs > remainingMs) {
        return request_error{kTooManyRequests, "too-late",
                             "The request cannot be served before its deadline.", verdict::not_run,
                             secondsOf(waitMs)};
    }
    return std::nullopt;
}

/// @returns true if the call can still be served before its deadline. A retry, and a call that has not
/// waited, only need a deadline in the future.
bool canMeetDeadline(const requests_step &step, const call_record &call, const request_pool &pool)
{
    const auto remainingMs = static_cast<double>((call.deadline - step.ctx.now).count());
    const bool waited = call.receivedAt < step.ctx.now;
    return remainingMs > 0 && (!waited || call.attempts > 0 || remainingMs >= pool.serviceMs);
}

/// Sends or refuses the front call of the queue.
/// @returns false if the call has to wait.
bool dispatchOne(requests_step &step, request_pool &pool, call_number number)
{
    call_record &call = step.state.calls.at(number);
    if (!canMeetDeadline(step, call, pool)) {
        pool.queue.remove(number);
        refuse(step, number,
               {kUnavailable, "too-late", "The request cannot be served before its deadline.",
                verdict::not_run, 1});
        return true;
    }
    const route_choice choice = selectUpstream(step, call);
    if (choice.outcome == route_outcome::all_at_limit) {
        return false;
    }
    if (choice.outcome == route_outcome::none) {
        pool.queue.remove(number);
        refuse(step, number,
               {kUnavailable, "no-upstream", "No upstream takes this request.", verdict::not_run, 1});
        return true;
    }
    pool.queue.popFront();
    startAttempt(step, call, step.state.upstreams.at(choice.upstream));
    return true;
}

} // namespace

std::string poolName(upstream_kind kind, const std::string &target)
{
    return (kind == upstream_kind::engine ? "model/" : "service/") + target;
}

void admitCall(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    const std::string name = poolName(call.request.kind, call.request.target);
    request_pool &pool = step.state.pools[name];
    const bool retried = call.attempts > 0;
    if (const auto refusal = retried ? std::nullopt : admissionError(step, call, pool)) {
        refuse(step, number, *refusal);
        return;
    }
    const auto weight = step.setting("requests.classShare", call.request.callerClass);
    call.phase = call_phase::queued;
    pool.queue.push(number, call.request.callerClass, static_cast<double>(weight));
    dispatchPool(step, name);
}

void dispatchPool(requests_step &step, const std::string &name)
{
    const auto found = step.state.pools.find(name);
    if (found == step.state.pools.end()) {
        return;
    }
    request_pool &pool = found->second;
    for (auto waiting = pool.queue.front(); waiting; waiting = pool.queue.front()) {
        if (!dispatchOne(step, pool, *waiting)) {
            return;
        }
    }
}

void dispatchAllPools(requests_step &step)
{
    std::vector<std::string> names;
    for (const auto &[name, pool] : step.state.pools) {
        names.push_back(name);
    }
    for (const std::string &name : names) {
        dispatchPool(step, name);
    }
}

void removeIdlePools(requests_step &step)
{
    // Callers choose the pool names, so unused pools are removed to bound their number.
    std::erase_if(step.state.pools, [](const auto &entry) {
        return entry.second.queue.size() == 0 && entry.second.serviceMs == 0;
    });
}

} // namespace jacinthvale
