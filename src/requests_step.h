/// Functions shared by the files of the requests domain. Each handles part of one event.
#pragma once

#include <jacinthvale/requests.h>

#include <string>
#include <utility>

namespace jacinthvale {

/// Handling of one event: the state, the context, and the effects so far.
struct requests_step
{
    requests_state &state;
    const context &ctx;
    effects out;
    std::uint64_t randomCount = 0;

    template <typename Effect>
    void emit(Effect &&newEffect)
    {
        out.emplace_back(std::forward<Effect>(newEffect));
    }

    void count(const std::string &name, double amount = 1) { emit(count_metric{name, amount}); }

    std::uint64_t nextRandom() { return mixRandom(ctx.random, randomCount++); }

    std::uint64_t nextNumber() { return ++state.lastNumber; }

    operation_id startOperation(request_operation details)
    {
        const operation_id operation{domain::requests, nextNumber()};
        state.operations.emplace(operation.number, std::move(details));
        return operation;
    }

    std::int64_t setting(std::string_view key, const caller_class_id &callerClass = {}) const
    {
        config_scope scope;
        scope.deployment = state.self.deployment.value;
        scope.availabilityZone = state.self.availabilityZone.value;
        scope.callerClass = callerClass.value;
        return lookupInteger(*state.config, key, scope, ctx.wallNow);
    }
};

/// @returns the name of the pool that serves a request, for example "service/quotes".
std::string poolName(upstream_kind kind, const std::string &target);

// requests_answer.cpp

/// Sends an answer to one recipient.
void sendAnswer(requests_step &step, const answer_recipient &recipient, const final_answer &answer);

/// Answers all recipients, finishes the keyed run, and removes the call.
void finishCall(requests_step &step, call_number number, const final_answer &answer);

/// Removes a call without answering its recipients.
void removeCall(requests_step &step, call_number number);

/// Handles a call that has no recipients left. A claim in flight, or a run that is not repeatable or has a
/// key, goes on; any other call is removed.
void abandonCall(requests_step &step, call_number number);

/// Handles the disconnect of the caller of an exchange.
void abandonExchange(requests_step &step, exchange_id exchange);

/// Answers and removes recipients whose deadline has passed.
void expireRecipients(requests_step &step);

// requests_admission.cpp

/// Queues a call, or refuses a new call at once if it cannot be served before its deadline.
void admitCall(requests_step &step, call_number number);

/// Sends queued calls of a pool while its upstreams have capacity.
void dispatchPool(requests_step &step, const std::string &pool);

void dispatchAllPools(requests_step &step);

/// Removes pools without queued calls and without a measured service time.
void removeIdlePools(requests_step &step);

// requests_attempt.cpp

/// Sends a call to an upstream.
void startAttempt(requests_step &step, call_record &call, upstream_record &upstream);

void onResponseHead(requests_step &step, call_number number, const http_response_head &head);
void onResponseChunk(requests_step &step, call_number number, const http_response_chunk &chunk);
void onAttemptFinished(requests_step &step, call_number number, const http_call_finished &result);

/// Cancels the attempt in flight without updating the limiter or breaker of the upstream.
void cancelAttempt(requests_step &step, call_record &call);

// requests_upstreams.cpp

void onUpstreamChanged(requests_step &step, const upstream_changed &change);

/// Requests the status of the upstream on a new connection.
void startProbe(requests_step &step, upstream_record &upstream);
void onProbeFinished(requests_step &step, const upstream_id &id, const http_call_finished &result);

/// Probes upstreams behind open breakers and erases removed ones.
void maintainUpstreams(requests_step &step);

} // namespace jacinthvale
