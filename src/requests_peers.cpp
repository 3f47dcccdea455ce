#include "requests_peers.h"

#include "requests_keyed.h"

#include <jacinthvale/wire.h>

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr milliseconds kAskAgainAfter{500};
constexpr milliseconds kReadAgainAfter{2000};
constexpr milliseconds kReadDeadline{3000};
/// An owner that says nothing for this long is taken for dead; it answers each question at once.
constexpr milliseconds kOwnerSilence{5000};

enum class message_kind : std::uint8_t { run_query = 1, ticket_call = 2, run_answer = 3 };

enum class run_answer_kind : std::uint8_t { answered = 0, pending = 1, unknown_run = 2 };

/// What a message between gates is, and its encoding.
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

/// Asks the owner of a claim for its answer.
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

/// Passes a request with a ticket on to the gate that issued the ticket.
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

/// Answer of a run, to a gate that waits for it.
struct run_answer
{
    std::uint64_t number = 0;
    incarnation_id asker;
    std::uint8_t kind = 0;
    std::int32_t status = 0;
    std::string contentType;
    std::string body;
    std::uint8_t outcome = 0;
    std::int32_t retryAfterSeconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(number, asker, kind, status, contentType, body, outcome, retryAfterSeconds);
    }
};

template <typename Message>
void sendTo(requests_step &step, const endpoint &target, message_kind kind, const Message &message)
{
    const gate_message wrapped{static_cast<std::uint8_t>(kind), encodeWire(message)};
    step.emit(send_peer{target, peer_transport::stream, domain::requests, encodeWire(wrapped)});
}

void sendWithoutAnswer(requests_step &step, const remote_recipient &asker, run_answer_kind kind)
{
    run_answer answer;
    answer.number = asker.number;
    answer.asker = asker.incarnation;
    answer.kind = static_cast<std::uint8_t>(kind);
    sendTo(step, asker.gate, message_kind::run_answer, answer);
}

/// Adds a waiting gate to a call, unless it already waits.
void addRecipient(call_record &call, const answer_recipient &recipient)
{
    const auto &asker = std::get<remote_recipient>(recipient.destination);
    const bool waits = std::ranges::any_of(call.recipients, [&](const answer_recipient &r) {
        const auto *remote = std::get_if<remote_recipient>(&r.destination);
        return remote != nullptr && *remote == asker;
    });
    if (!waits) {
        call.request.isNewKey = false;
        call.recipients.push_back(recipient);
    }
}

void onRunQuery(requests_step &step, const remote_recipient &asker, const run_query &query)
{
    const auto found = step.state.runs.find(query.rowKey);
    if (query.owner != step.state.self.incarnation || found == step.state.runs.end()) {
        sendWithoutAnswer(step, asker, run_answer_kind::unknown_run);
        return;
    }
    keyed_run &run = found->second;
    if (run.phase == run_phase::answered) {
        sendRunAnswer(step, asker, *run.answer);
    } else if (const auto call = step.state.calls.find({run.call}); call != step.state.calls.end()) {
        addRecipient(call->second, {asker, step.ctx.now + milliseconds{query.timeLeftMs}});
        sendWithoutAnswer(step, asker, run_answer_kind::pending);
    } else {
        // Nothing ran here. A claim in doubt is settled first, so that its row can be removed.
        if (run.phase == run_phase::indeterminate) {
            submitClaim(step, query.rowKey, run);
        }
        sendRunAnswer(step, asker, keyReleasedAnswer());
    }
}

void onTicketCall(requests_step &step, const remote_recipient &asker, const ticket_call &passed)
{
    const auto ticket = parseTicket(passed.ticket);
    if (!ticket || ticket->incarnation != step.state.self.incarnation) {
        sendWithoutAnswer(step, asker, run_answer_kind::unknown_run);
        return;
    }
    const call_number number{step.nextNumber()};
    call_record &call = step.state.calls[number];
    call.number = number;
    call.request.kind = passed.kind == 0 ? upstream_kind::engine : upstream_kind::service;
    call.request.target = passed.target;
    call.request.contentType = passed.contentType;
    call.request.body = passed.body;
    call.request.streamed = passed.streamed;
    call.request.ticket = passed.ticket;
    call.request.callerClass = {passed.callerClass};
    call.receivedAt = step.ctx.now;
    call.deadline = step.ctx.now + milliseconds{passed.timeLeftMs};
    call.recipients = {{asker, call.deadline}};
    redeemLocally(step, number, *ticket);
    sendWithoutAnswer(step, asker, run_answer_kind::pending);
}

void onRunAnswer(requests_step &step, const run_answer &answer)
{
    const auto found = step.state.calls.find({answer.number});
    if (answer.asker != step.state.self.incarnation || found == step.state.calls.end()
        || found->second.phase != call_phase::awaiting_owner) {
        return;
    }
    if (answer.kind == static_cast<std::uint8_t>(run_answer_kind::unknown_run)) {
        onOwnerGone(step, found->first);
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

/// Decodes a message's content and hands it on; counts what cannot be decoded.
template <typename Message, typename Handler>
void decodeAnd(requests_step &step, const std::string &content, Handler handle)
{
    const auto message = decodeWire<Message>(content);
    if (message.ok()) {
        handle(*message);
    } else {
        step.count("requests_peer_messages_malformed_total");
    }
}

void readRow(requests_step &step, call_record &call)
{
    if (call.owner->reading) {
        return;
    }
    call.owner->reading = true;
    const operation_id operation = step.startOperation(claim_read_operation{call.number});
    step.emit(call_store{operation, store_get{call.owner->rowKey}, kReadDeadline});
}

} // namespace

void sendRunAnswer(requests_step &step, const remote_recipient &recipient, const final_answer &answer)
{
    sendTo(step, recipient.gate, message_kind::run_answer,
           run_answer{recipient.number, recipient.incarnation, 0, answer.status, answer.contentType,
                      answer.body, static_cast<std::uint8_t>(answer.outcome), answer.retryAfterSeconds});
}

void sendToOwner(requests_step &step, call_record &call)
{
    run_owner &owner = *call.owner;
    owner.nextSendAt = step.ctx.now + kAskAgainAfter;
    const std::int64_t left = std::max<std::int64_t>((call.deadline - step.ctx.now).count(), 1);
    if (!owner.rowKey.empty()) {
        sendTo(step, owner.peer, message_kind::run_query,
               run_query{call.number.value, owner.incarnation, owner.rowKey, left});
        return;
    }
    const caller_request &request = call.request;
    const std::uint8_t kind = request.kind == upstream_kind::engine ? 0 : 1;
    sendTo(step, owner.peer, message_kind::ticket_call,
           ticket_call{call.number.value, request.ticket, kind, request.target, request.contentType,
                       request.body, request.streamed, request.callerClass.value, left});
}

void onPeerMessage(requests_step &step, const peer_message_received &message)
{
    const auto wrapped = decodeWire<gate_message>(message.payload);
    if (!wrapped.ok()) {
        step.count("requests_peer_messages_malformed_total");
        return;
    }
    const auto asker = [&](std::uint64_t number) {
        return remote_recipient{message.replyTo, message.senderIncarnation, number};
    };
    switch (static_cast<message_kind>(wrapped->kind)) {
    case message_kind::run_query:
        decodeAnd<run_query>(step, wrapped->content,
                             [&](const run_query &m) { onRunQuery(step, asker(m.number), m); });
        return;
    case message_kind::ticket_call:
        decodeAnd<ticket_call>(step, wrapped->content,
                               [&](const ticket_call &m) { onTicketCall(step, asker(m.number), m); });
        return;
    case message_kind::run_answer:
        decodeAnd<run_answer>(step, wrapped->content, [&](const run_answer &m) { onRunAnswer(step, m); });
        return;
    }
    step.count("requests_peer_messages_malformed_total");
}

void onOwnerGone(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    if (!call.owner->rowKey.empty()) {
        call.owner->exited = true;
        readRow(step, call);
        return;
    }
    constexpr int kBadGateway = 502;
    finishCall(step, number,
               toAnswer({kBadGateway, "ticket-lost", "The process that issued the ticket is over.",
                         verdict::may_have_run, 0}));
}

void onPeerChanged(requests_step &step, const peer_view &view)
{
    const auto known = step.state.peers.find(view.host);
    const bool replaced = known != step.state.peers.end() && known->second.incarnation != view.incarnation;
    const incarnation_id over = replaced ? known->second.incarnation : view.incarnation;
    step.state.peers[view.host] = view;
    if (view.alive && !replaced) {
        return;
    }
    std::vector<call_number> orphans;
    for (const auto &[number, call] : step.state.calls) {
        if (call.phase == call_phase::awaiting_owner && call.owner->incarnation == over) {
            orphans.push_back(number);
        }
    }
    for (const call_number number : orphans) {
        onOwnerGone(step, number);
    }
}

void remindOwners(requests_step &step)
{
    std::vector<call_number> silent;
    for (auto &[number, call] : step.state.calls) {
        if (call.phase != call_phase::awaiting_owner) {
            continue;
        }
        if (!call.owner->exited && step.ctx.now >= call.owner->lastHeardAt + kOwnerSilence) {
            silent.push_back(number);
        }
        if (!call.owner->exited && step.ctx.now >= call.owner->nextSendAt) {
            sendToOwner(step, call);
        }
        if (!call.owner->rowKey.empty() && step.ctx.now >= call.owner->nextReadAt) {
            call.owner->nextReadAt = step.ctx.now + kReadAgainAfter;
            readRow(step, call);
        }
    }
    for (const call_number number : silent) {
        onOwnerGone(step, number);
    }
}

} // namespace jacinthvale
