// Answers to trainers, here or through the peer that forwarded the request; forwarding to the holder.
#include "samples_calls.h"

#include "overloaded.h"
#include "samples_lease.h"
#include "samples_wire.h"

#include <algorithm>
#include <iterator>

namespace jacinthvale {

namespace {

constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;
constexpr int kMaxForwardWaitMs = 120'000;

/// One answer, before it is known how it travels.
struct call_answer
{
    int status = 200;
    std::string body;
    std::string verdict;
    int retryAfterSeconds = 0;
    bool notHolder = false;
};

void sendMessage(samples_step &step, const endpoint &target, const samples_message &message)
{
    step.emit(send_peer{target, peer_transport::stream, domain::samples, encodeWire(message)});
}

void deliver(samples_step &step, const request_origin &origin, const call_answer &answer)
{
    std::visit(overloaded{[&](const local_caller &caller) {
                              http_headers headers{{"Content-Type", "application/json"},
                                                   {"Jacinthvale-Verdict", answer.verdict}};
                              if (answer.retryAfterSeconds > 0) {
                                  headers["Retry-After"] = std::to_string(answer.retryAfterSeconds);
                              }
                              if (caller.exchange.value != 0) {
                                  step.emit(reply_http{caller.exchange, answer.status, std::move(headers),
                                                       answer.body});
                              }
                          },
                          [&](const forwarding_peer &peer) {
                              samples_message message;
                              message.kind = static_cast<std::uint8_t>(wire_kind::answer);
                              message.number = peer.number;
                              message.body = answer.body;
                              message.status = static_cast<std::uint16_t>(answer.status);
                              message.verdict = answer.verdict;
                              message.retryAfterSeconds
                                      = static_cast<std::uint16_t>(answer.retryAfterSeconds);
                              message.notHolder = answer.notHolder;
                              sendMessage(step, peer.replyTo, message);
                          }},
               origin);
}

void forwardCall(samples_step &step, const trainer_session &session, trainer_call call)
{
    if (session.observedHead.peer.empty()) {
        refuseCall(step, call, notRun(kHttpUnavailable, "lease-moved", "No process holds the trainer yet."));
        return;
    }
    samples_message message;
    message.kind = static_cast<std::uint8_t>(wire_kind::request);
    message.number = ++step.state.lastNumber;
    message.trainer = call.trainer.value;
    message.method = call.method;
    message.resource = call.resource;
    std::ranges::transform(call.query, std::back_inserter(message.query), [](const auto &entry) {
        return wire_parameter{entry.first, entry.second};
    });
    message.body = call.body;
    const std::int64_t left = std::max<std::int64_t>((call.deadline - step.at.now).count(), 0);
    message.remainingMs = static_cast<std::uint32_t>(std::min<std::int64_t>(left, kMaxForwardWaitMs));
    sendMessage(step, session.observedHead.peer, message);
    step.count("samples_calls_forwarded_total");
    call.forwardedAs = message.number;
    step.state.forwarded[message.number] = std::move(call);
}

trainer_call readCall(const samples_step &step, const peer_message_received &message,
                      const samples_message &request)
{
    trainer_call call;
    call.origin = forwarding_peer{message.replyTo, request.number};
    call.trainer.value = request.trainer;
    call.method = request.method;
    call.resource = request.resource;
    for (const wire_parameter &parameter : request.query) {
        call.query[parameter.name] = parameter.value;
    }
    call.body = request.body;
    const std::uint32_t wait = std::min<std::uint32_t>(request.remainingMs, kMaxForwardWaitMs);
    call.deadline = step.at.now + milliseconds{wait};
    return call;
}

/// A forwarded request is handled only by the holder: it is never forwarded twice.
void receiveRequest(samples_step &step, trainer_call call)
{
    const auto found = step.state.sessions.find(call.trainer);
    const bool holder
            = found != step.state.sessions.end()
              && (found->second.phase == lease_phase::holding || found->second.phase == lease_phase::loading
                  || found->second.phase == lease_phase::acquiring);
    if (!holder || found->second.waiting.size() >= kMaxWaitingCalls) {
        deliver(step, call.origin,
                {kHttpUnavailable,
                 toJson(notRun(kHttpUnavailable, "lease-moved", "Another process holds the trainer.")),
                 "not-run", 1, true});
        return;
    }
    found->second.waiting.push_back(std::move(call));
    dispatchWaiting(step, found->second);
}

void receiveAnswer(samples_step &step, const samples_message &answer)
{
    const auto found = step.state.forwarded.find(answer.number);
    if (found == step.state.forwarded.end()) {
        return;
    }
    const trainer_call call = std::move(found->second);
    step.state.forwarded.erase(found);
    if (answer.notHolder) {
        trainer_session &session = openSession(step, call.trainer);
        session.phase = lease_phase::unknown;
        settleLease(step, session);
    }
    deliver(step, call.origin,
            {answer.status, answer.body, answer.verdict, answer.retryAfterSeconds, answer.notHolder});
}

} // namespace

request_error outcomeUnknown()
{
    return {kHttpGatewayTimeout, "outcome-unknown", "The request may have been carried out; ask again.",
            verdict::may_have_run, 0};
}

void answerCall(samples_step &step, const trainer_call &call, int status, const std::string &body)
{
    deliver(step, call.origin, {status, body, "ran", 0, false});
}

void refuseCall(samples_step &step, const trainer_call &call, const request_error &refusal)
{
    const bool unproved = call.uncertain && refusal.retryAfterSeconds > 0;
    const request_error error = unproved ? outcomeUnknown() : refusal;
    deliver(step, call.origin,
            {error.httpStatus, toJson(error), std::string(toString(error.outcome)), error.retryAfterSeconds,
             false});
}

void dispatchWaiting(samples_step &step, trainer_session &session)
{
    const bool settled = session.phase == lease_phase::holding || session.phase == lease_phase::elsewhere;
    while (settled && !session.waiting.empty()) {
        trainer_call call = std::move(session.waiting.front());
        session.waiting.pop_front();
        const bool local = std::holds_alternative<local_caller>(call.origin);
        if (session.phase == lease_phase::holding) {
            handleCall(step, session, std::move(call));
        } else if (local) {
            forwardCall(step, session, std::move(call));
        } else {
            receiveRequest(step, std::move(call));
        }
    }
}

void receivePeer(samples_step &step, const peer_message_received &message)
{
    const absl::StatusOr<samples_message> decoded = decodeWire<samples_message>(message.payload);
    if (!decoded.ok()) {
        step.count("samples_peer_messages_malformed_total");
        return;
    }
    if (decoded->kind == static_cast<std::uint8_t>(wire_kind::request)) {
        receiveRequest(step, readCall(step, message, *decoded));
    } else if (decoded->kind == static_cast<std::uint8_t>(wire_kind::answer)) {
        receiveAnswer(step, *decoded);
    } else {
        step.count("samples_peer_messages_malformed_total");
    }
}

} // namespace jacinthvale
