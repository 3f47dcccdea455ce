#include "requests_peers.h"

#include "requests_keyed.h"

#include <jacinthvale/wire.h>

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr milliseconds kOwnerQueryInterval{500};
constexpr milliseconds kClaimRowReadInterval{2000};
constexpr milliseconds kClaimRowReadTimeout{3000};
/// An owner answers each query at once, so one that sends nothing for this long counts as exited.
constexpr milliseconds kOwnerTimeout{5000};

enum class message_kind : std::uint8_t { run_query = 1, ticket_call = 2, run_answer = 3 };

enum class run_answer_kind : std::uint8_t { answered = 0, pending = 1, unknown_run = 2 };

/// Envelope of a message between gates: its message_kind and the encoded message.
struct gate_message
{
    std::uint8_t kind = 0;
    std::string content;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, content);
    }
};

/// Requests the answer of a run from the owner of its claim.
struct run_query
{
    std::uint64_t number = 0;
    incarnation_id owner;
    std::string rowKey;
    std::int64_t timeLeftMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, owner, rowKey, timeLeftMs);
    }
};

/// Forwards a request with a ticket to the gate that issued the ticket.
struct ticket_call
{
    std::uint64_t number = 0;
    std::string ticket;
    std::uint8_t kind = 0;
    std::string target;
    std::string contentType;
    std::string body;
    bool streamed = false;
    std::string callerClass;
    std::int64_t timeLeftMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, ticket, kind, target, contentType, body, streamed, callerClass, timeLeftMs);
    }
};

/// Answer or status of a run, for a gate that waits for it.
struct run_answer
{
    std::uint64_t number = 0;
    incarnation_id requester;
    std::uint8_t kind = 0;
    std::int32_t status = 0;
    std::string contentType;
    std::string body;
    std::uint8_t outcome = 0;
    std::int32_t retryAfterSeconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, requester, kind, status, contentType, body, outcome, retryAfterSeconds);
    }
};

template <typename Message>
void sendGateMessage(requests_step &step, const endpoint &target, message_kind kind, const Message &message)
{
    const gate_message envelope{static_cast<std::uint8_t>(kind), encodeWire(message)};
    step.emit(send_peer{target, peer_transport::stream, domain::requests, encodeWire(envelope)});
}

void sendRunStatus(requests_step &step, const remote_recipient &requester, run_answer_kind kind)
{
    run_answer answer;
    answer.number = requester.number;
    answer.requester = requester.incarnation;
    answer.kind = static_cast<std::uint8_t>(kind);
    sendGateMessage(step, requester.gate, message_kind::run_answer, answer);
}

/// Adds a waiting gate to the recipients of a call, unless it is one already.
void addRecipient(call_record &call, const answer_recipient &recipient)
{
    const auto &requester = std::get<remote_recipient>(recipient.destination);
    const bool isWaiting = std::ranges::any_of(call.recipients, [&](const answer_recipient &r) {
        const auto *remote = std::get_if<remote_recipient>(&r.destination);
        return remote != nullptr && *remote == requester;
    });
    if (!isWaiting) {
        call.request.isNewKey = false;
        call.recipients.push_back(recipient);
    }
}

void onRunQuery(requests_step &step, const remote_recipient &requester, const run_query &query)
{
    const auto found = step.state.runs.find(query.rowKey);
    if (query.owner != step.state.self.incarnation || found == step.state.runs.end()) {
        sendRunStatus(step, requester, run_answer_kind::unknown_run);
        return;
    }
    keyed_run &run = found->second;
    if (run.phase == run_phase::answered) {
        sendRunAnswer(step, requester, *run.answer);
    } else if (const auto call = step.state.calls.find({run.call}); call != step.state.calls.end()) {
        addRecipient(call->second, {requester, step.ctx.now + milliseconds{query.timeLeftMs}});
        sendRunStatus(step, requester, run_answer_kind::pending);
    } else {
        // Nothing ran here. An indeterminate claim is written again to learn its outcome, so that its row
        // can be removed.
        if (run.phase == run_phase::indeterminate) {
            submitClaim(step, query.rowKey, run);
        }
        sendRunAnswer(step, requester, keyReleasedAnswer());
    }
}

void onTicketCall(requests_step &step, const remote_recipient &requester, const ticket_call &forwarded)
{
    const auto ticket = parseTicket(forwarded.ticket);
    if (!ticket || ticket->incarnation != step.state.self.incarnation) {
        sendRunStatus(step, requester, run_answer_kind::unknown_run);
        return;
    }
    const call_number number{step.nextNumber()};
    call_record &call = step.state.calls[number];
    call.number = number;
    call.request.kind = forwarded.kind == 0 ? upstream_kind::engine : upstream_kind::service;
    call.request.target = forwarded.target;
    call.request.contentType = forwarded.contentType;
    call.request.body = forwarded.body;
    call.request.streamed = forwarded.streamed;
    call.request.ticket = forwarded.ticket;
    call.request.callerClass = {forwarded.callerClass};
    call.receivedAt = step.ctx.now;
    call.deadline = step.ctx.now + milliseconds{forwarded.timeLeftMs};
    call.recipients = {{requester, call.deadline}};
    redeemLocally(step, number, *ticket);
    sendRunStatus(step, requester, run_answer_kind::pending);
}

void onRunAnswer(requests_step &step, const run_answer &answer)
{
    const auto found = step.state.calls.find({answer.number});
    if (answer.requester != step.state.self.incarnation || found == step.state.calls.end()
        || found->second.phase != call_phase::awaiting_owner) {
        return;
    }
    if (answer.kind == static_cast<std::uint8_t>(run_answer_kind::unknown_run)) {
        onOwnerExited(step, found->first);
        return;
    }
    if (answer.kind == static_cast<std::uint8_t>(run_answer_kind::pending)) {
        found->second.owner->lastHeardAt = step.ctx.now;
        return;
    }
    const auto outcome = std::min(answer.outcome, static_cast<std::uint8_t>(verdict::ran));
    finishCall(step, found->first,
               {answer.status, answer.contentType, answer.body, static_cast<verdict>(outcome),
                answer.retryAfterSeconds});
}

/// Decodes a message and passes it to the handler. Counts messages that cannot be decoded.
template <typename Message, typename Handler>
void decodeAndHandle(requests_step &step, const std::string &content, Handler handle)
{
    const auto message = decodeWire<Message>(content);
    if (message.ok()) {
        handle(*message);
    } else {
        step.count("requests_peer_messages_malformed_total");
    }
}

void startClaimRowRead(requests_step &step, call_record &call)
{
    if (call.owner->reading) {
        return;
    }
    call.owner->reading = true;
    const operation_id operation = step.startOperation(claim_read_operation{call.number});
    step.emit(call_store{operation, store_get{call.owner->rowKey}, kClaimRowReadTimeout});
}

} // namespace

void sendRunAnswer(requests_step &step, const remote_recipient &recipient, const final_answer &answer)
{
    sendGateMessage(step, recipient.gate, message_kind::run_answer,
                    run_answer{recipient.number, recipient.incarnation, 0, answer.status, answer.contentType,
                               answer.body, static_cast<std::uint8_t>(answer.outcome),
                               answer.retryAfterSeconds});
}

void sendToOwner(requests_step &step, call_record &call)
{
    run_owner &owner = *call.owner;
    owner.nextSendAt = step.ctx.now + kOwnerQueryInterval;
    const std::int64_t remainingMs = std::max<std::int64_t>((call.deadline - step.ctx.now).count(), 1);
    if (!owner.rowKey.empty()) {
        sendGateMessage(step, owner.peer, message_kind::run_query,
                        run_query{call.number.value, owner.incarnation, owner.rowKey, remainingMs});
        return;
    }
    const caller_request &request = call.request;
    const std::uint8_t kind = request.kind == upstream_kind::engine ? 0 : 1;
    sendGateMessage(step, owner.peer, message_kind::ticket_call,
                    ticket_call{call.number.value, request.ticket, kind, request.target, request.contentType,
                                request.body, request.streamed, request.callerClass.value, remainingMs});
}

void onPeerMessage(requests_step &step, const peer_message_received &message)
{
    const auto envelope = decodeWire<gate_message>(message.payload);
    if (!envelope.ok()) {
        step.count("requests_peer_messages_malformed_total");
        return;
    }
    const auto requester = [&](std::uint64_t number) {
        return remote_recipient{message.replyTo, message.senderIncarnation, number};
    };
    switch (static_cast<message_kind>(envelope->kind)) {
    case message_kind::run_query:
        decodeAndHandle<run_query>(step, envelope->content,
                                   [&](const run_query &m) { onRunQuery(step, requester(m.number), m); });
        return;
    case message_kind::ticket_call:
        decodeAndHandle<ticket_call>(step, envelope->content, [&](const ticket_call &m) {
            onTicketCall(step, requester(m.number), m);
        });
        return;
    case message_kind::run_answer:
        decodeAndHandle<run_answer>(step, envelope->content,
                                    [&](const run_answer &m) { onRunAnswer(step, m); });
        return;
    }
    step.count("requests_peer_messages_malformed_total");
}

void onOwnerExited(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    if (!call.owner->rowKey.empty()) {
        call.owner->exited = true;
        startClaimRowRead(step, call);
        return;
    }
    constexpr int kBadGateway = 502;
    finishCall(step, number,
               toAnswer({kBadGateway, "ticket-lost", "The process that issued the ticket is over.",
                         verdict::may_have_run, 0}));
}

void onPeerChanged(requests_step &step, const peer_view &view)
{
    const auto previous = step.state.peers.find(view.host);
    const bool replaced
            = previous != step.state.peers.end() && previous->second.incarnation != view.incarnation;
    const incarnation_id exitedIncarnation = replaced ? previous->second.incarnation : view.incarnation;
    step.state.peers[view.host] = view;
    if (view.alive && !replaced) {
        return;
    }
    std::vector<call_number> affected;
    for (const auto &[number, call] : step.state.calls) {
        if (call.phase == call_phase::awaiting_owner && call.owner->incarnation == exitedIncarnation) {
            affected.push_back(number);
        }
    }
    for (const call_number number : affected) {
        onOwnerExited(step, number);
    }
}

void pollOwners(requests_step &step)
{
    std::vector<call_number> timedOut;
    for (auto &[number, call] : step.state.calls) {
        if (call.phase != call_phase::awaiting_owner) {
            continue;
        }
        if (!call.owner->exited && step.ctx.now >= call.owner->lastHeardAt + kOwnerTimeout) {
            timedOut.push_back(number);
        }
        if (!call.owner->exited && step.ctx.now >= call.owner->nextSendAt) {
            sendToOwner(step, call);
        }
        if (!call.owner->rowKey.empty() && step.ctx.now >= call.owner->nextReadAt) {
            call.owner->nextReadAt = step.ctx.now + kClaimRowReadInterval;
            startClaimRowRead(step, call);
        }
    }
    for (const call_number number : timedOut) {
        onOwnerExited(step, number);
    }
}

} // namespace jacinthvale
