/// Working parts of the requests domain, shared by its files. Each function handles part of one event.
#pragma once

#include <jacinthvale/requests.h>

#include <string>
#include <utility>

namespace jacinthvale {

/// One event being handled: the state, the time, and the effects so far.
struct requests_step
{
    requests_state &state;
    const context &at;
    effects out;
    std::uint64_t draws = 0;

    template <typename Effect>
    void emit(Effect &&one)
    {
        out.emplace_back(std::forward<Effect>(one));
    }

    void count(const std::string &name, double amount = 1) { emit(count_metric{name, amount}); }

    std::uint64_t draw() { return mixRandom(at.random, draws++); }

    std::uint64_t nextNumber() { return ++state.lastNumber; }

    operation_id startOperation(request_operation what)
    {
        const operation_id operation{domain::requests, nextNumber()};
        state.operations.emplace(operation.number, std::move(what));
        return operation;
    }

    std::int64_t setting(std::string_view key, const caller_class_id &callerClass = {}) const
    {
        config_scope scope;
        scope.deployment = state.self.deployment.value;
        scope.availabilityZone = state.self.availabilityZone.value;
        scope.callerClass = callerClass.value;
        return lookupInteger(*state.config, key, scope, at.wallNow);
    }
};

/// @returns the name of the pool that serves a request, for example "service/quotes".
std::string poolName(upstream_kind kind, const std::string &target);

// requests_answer.cpp

/// Sends an answer to one recipient.
void sendAnswer(requests_step &step, const answer_recipient &recipient, const final_answer &answer);

/// Answers all recipients, settles the keyed run, and forgets the call.
void finishCall(requests_step &step, call_number number, const final_answer &answer);

/// Forgets a call whose recipients are all served.
void dropCall(requests_step &step, call_number number);

/// Does what is left to do for a call that nobody waits for any more.
void abandonCall(requests_step &step, call_number number);

/// The caller of an exchange went away.
void abandonExchange(requests_step &step, exchange_id exchange);

/// Answers recipients whose deadline has passed.
void expireRecipients(requests_step &step);

// requests_admission.cpp

/// Takes a new call in, or refuses it at once where it cannot be served in time.
void admitCall(requests_step &step, call_number number);

/// Sends waiting calls of a pool while there is room.
void dispatchPool(requests_step &step, const std::string &pool);

void dispatchAllPools(requests_step &step);

/// Forgets pools that nothing was learned of.
void forgetIdlePools(requests_step &step);

// requests_attempt.cpp

/// Sends a call to an upstream.
void startAttempt(requests_step &step, call_record &call, upstream_record &upstream);

void onResponseHead(requests_step &step, call_number number, const http_response_head &head);
void onResponseChunk(requests_step &step, call_number number, const http_response_chunk &chunk);
void onAttemptFinished(requests_step &step, call_number number, const http_call_finished &result);

/// Ends the attempt in flight without judging the upstream.
void cancelAttempt(requests_step &step, call_record &call);

// requests_upstreams.cpp

void onUpstreamChanged(requests_step &step, const upstream_changed &change);

/// Asks the upstream for its status on a new connection.
void startProbe(requests_step &step, upstream_record &upstream);
void onProbeFinished(requests_step &step, const upstream_id &id, const http_call_finished &result);

/// Probes upstreams behind open breakers and forgets those that are gone.
void maintainUpstreams(requests_step &step);

} // namespace jacinthvale
