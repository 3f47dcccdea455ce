// Admission: refusal on arrival of what cannot be served in time, the queue, and the choice of an upstream.
#include "requests_step.h"

#include <algorithm>
#include <cmath>

namespace jacinthvale {

namespace {

constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr double kMillisecondsPerSecond = 1000;

bool serves(const upstream_view &view, const call_record &call)
{
    if (view.kind != call.request.kind) {
        return false;
    }
    return view.kind == upstream_kind::engine || view.service.value == call.request.target;
}

route_choice choose(requests_step &step, const call_record &call)
{
    std::vector<route_candidate> candidates;
    for (const auto &[id, upstream] : step.state.upstreams) {
        if (serves(upstream.view, call)) {
            const int inFlight = upstream.limiter.inFlight();
            candidates.push_back({&upstream.view, inFlight, upstream.limiter.hasRoom(),
                                  upstream.breaker.allows(inFlight)});
        }
    }
    const bool engine = call.request.kind == upstream_kind::engine;
    const route_wish wish{step.state.self.availabilityZone, engine ? call.request.target : std::string(),
                          call.request.prefixHash, call.tried};
    return chooseUpstream(candidates, wish, step.at.now, step.draw());
}

/// @returns the number of requests that the pool's upstreams take at a time.
int poolLimit(const requests_state &state, const call_record &call)
{
    int total = 0;
    for (const auto &[id, upstream] : state.upstreams) {
        const bool takesWork = upstream.view.condition == upstream_condition::serving
                               && upstream.breaker.state() != breaker_state::open;
        if (takesWork && serves(upstream.view, call)) {
            total += upstream.limiter.limit();
        }
    }
    return std::max(total, 1);
}

void refuse(requests_step &step, call_number number, request_error error)
{
    const verdict before = step.state.calls.at(number).outcome;
    error.outcome = before;
    if (before != verdict::not_run) {
        error.httpStatus = 502;
    }
    step.count("requests_refused_" + error.code + "_total");
    finishCall(step, number, toAnswer(error));
}

int secondsOf(double ms)
{
    return std::max(1, static_cast<int>(std::ceil(ms / kMillisecondsPerSecond)));
}

/// @returns the refusal of a call that cannot be served before its deadline, or that finds the queue full.
std::optional<request_error> refusalOnArrival(requests_step &step, const call_record &call,
                                              const request_pool &pool)
{
    const caller_class_id &callerClass = call.request.callerClass;
    const auto share = static_cast<double>(step.setting("requests.classShare", callerClass));
    const double ahead = pool.queue.callsAhead(callerClass, share);
    const double waitMs = ahead * pool.serviceMs / poolLimit(step.state, call);
    const auto most = static_cast<std::size_t>(step.setting("requests.maxQueued"));
    if (pool.queue.size() >= most) {
        return request_error{kTooMany, "queue-full", "Too many requests wait.", verdict::not_run,
                             secondsOf(waitMs)};
    }
    const auto left = static_cast<double>((call.deadline - step.at.now).count());
    if (pool.queue.size() > 0 && waitMs + pool.serviceMs > left) {
        return request_error{kTooMany, "too-late", "The request cannot be served before its deadline.",
                             verdict::not_run, secondsOf(waitMs)};
    }
    return std::nullopt;
}

/// @returns true where the call can still be served before its deadline.
bool worthSending(const requests_step &step, const call_record &call, const request_pool &pool)
{
    const auto left = static_cast<double>((call.deadline - step.at.now).count());
    const bool waited = call.receivedAt < step.at.now;
    return left > 0 && (!waited || call.attempts > 0 || left >= pool.serviceMs);
}

/// Serves the front call of the queue.
/// @returns false where it has to wait.
bool dispatchOne(requests_step &step, request_pool &pool, call_number number)
{
    call_record &call = step.state.calls.at(number);
    if (!worthSending(step, call, pool)) {
        pool.queue.remove(number);
        refuse(step, number,
               {kUnavailable, "too-late", "The request cannot be served before its deadline.",
                verdict::not_run, 1});
        return true;
    }
    const route_choice choice = choose(step, call);
    if (choice.outcome == route_outcome::all_busy) {
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
    if (const auto refusal = retried ? std::nullopt : refusalOnArrival(step, call, pool)) {
        refuse(step, number, *refusal);
        return;
    }
    const auto share = step.setting("requests.classShare", call.request.callerClass);
    call.phase = call_phase::queued;
    pool.queue.push(number, call.request.callerClass, static_cast<double>(share));
    dispatchPool(step, name);
}

void dispatchPool(requests_step &step, const std::string &name)
{
    const auto found = step.state.pools.find(name);
    if (found == step.state.pools.end()) {
        return;
    }
    request_pool &pool = found->second;
    for (auto next = pool.queue.front(); next; next = pool.queue.front()) {
        if (!dispatchOne(step, pool, *next)) {
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

void forgetIdlePools(requests_step &step)
{
    // Pools are named by callers.
    std::erase_if(step.state.pools, [](const auto &entry) {
        return entry.second.queue.size() == 0 && entry.second.serviceMs == 0;
    });
}

} // namespace jacinthvale
