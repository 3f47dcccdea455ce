#include "gate_simulation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale::testing {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;
const std::string kDeadlineMs = "20000";

endpoint peerOf(std::size_t gate)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(7000 + gate)};
}

std::string keyOfBody(const std::string &body)
{
    return body.substr(0, body.find('|'));
}

std::string answerOf(const std::string &body)
{
    // Contains bytes that are not UTF-8, to check that recorded answers keep them.
    return "ran\xff:" + body;
}

upstream_view serviceView(int number)
{
    upstream_view view;
    view.id = {"pay-" + std::to_string(number)};
    view.kind = upstream_kind::service;
    view.service = {"pay"};
    view.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
    view.availabilityZone = {"a"};
    return view;
}

template <typename Item>
std::optional<Item> removeAt(std::vector<Item> &items, std::size_t index)
{
    if (items.empty()) {
        return std::nullopt;
    }
    const auto position = items.begin() + static_cast<std::ptrdiff_t>(index % items.size());
    Item item = *position;
    items.erase(position);
    return item;
}

} // namespace

gate_simulation::gate_simulation()
    : m_gates(kGateCount)
{
    for (std::size_t gate = 0; gate < kGateCount; ++gate) {
        startProcess(gate);
    }
}

void gate_simulation::startProcess(std::size_t gate)
{
    gate_process &process = m_gates.at(gate);
    process = gate_process();
    process_identity &self = process.state.self;
    self.host = {"gate-" + std::to_string(gate)};
    self.availabilityZone = {"a"};
    self.incarnation = {++m_lastIncarnation};
    self.peer = peerOf(gate);
    for (const int number : {1, 2}) {
        deliver(gate, domain_event_raised{domain::membership, upstream_changed{serviceView(number), false}});
    }
}

void gate_simulation::submit(std::size_t gate, const std::string &key, const std::string &body,
                             const std::string &ticket)
{
    const exchange_id exchange{++m_lastExchange};
    const bool isKnownKey
            = std::ranges::any_of(m_submissions, [&](const submission &s) { return s.key == key; });
    submission sent;
    sent.gate = gate;
    sent.key = key;
    sent.body = body;
    sent.isNewKey = !isKnownKey && ticket.empty();
    sent.sequence = ++m_sequence;
    m_gates.at(gate).exchanges[exchange] = m_submissions.size();
    m_submissions.push_back(sent);
    http_request_received request{exchange, "POST", "/v1/services/pay", {}, {}, body};
    request.headers["Jacinthvale-Deadline-Ms"] = kDeadlineMs;
    if (ticket.empty()) {
        request.headers["Idempotency-Key"] = key;
    } else {
        request.headers["Jacinthvale-Ticket"] = ticket;
    }
    if (sent.isNewKey) {
        request.headers["Jacinthvale-First-Try"] = "true";
    }
    deliver(gate, request);
}

std::string gate_simulation::requestTicket(std::size_t gate)
{
    if (m_gates.at(gate).paused) {
        return {};
    }
    m_ticketExchange = {++m_lastExchange};
    m_ticketReply.reset();
    deliver(gate, http_request_received{m_ticketExchange, "POST", "/v1/tickets", {}, {}, ""});
    if (!m_ticketReply || m_ticketReply->status != 201) {
        return {};
    }
    return nlohmann::json::parse(m_ticketReply->body)["ticket"].get<std::string>();
}

void gate_simulation::deliver(std::size_t gate, const event &incoming)
{
    if (m_gates.at(gate).paused) {
        m_gates.at(gate).inbox.push_back(incoming);
    } else {
        handleEvent(gate, incoming);
    }
}

void gate_simulation::handleEvent(std::size_t gate, const event &incoming)
{
    const context ctx{m_now, wall_time{m_now.time_since_epoch()}, mixRandom(m_random++)};
    for (const effect &requested : reduceRequests(m_gates.at(gate).state, incoming, ctx)) {
        perform(gate, requested);
    }
}

void gate_simulation::perform(std::size_t gate, const effect &requested)
{
    const process_identity &self = m_gates.at(gate).state.self;
    if (const auto *reply = std::get_if<reply_http>(&requested)) {
        onReply(gate, *reply);
    } else if (const auto *store = std::get_if<call_store>(&requested)) {
        m_pendingStoreCalls.push_back({gate, self.incarnation, *store});
    } else if (const auto *call = std::get_if<call_http>(&requested)) {
        if (call->method == "POST") {
            recordSentRequest(gate, call->body);
        }
        m_pendingCalls.push_back({gate, self.incarnation, *call});
    } else if (const auto *message = std::get_if<send_peer>(&requested)) {
        m_pendingMessages.push_back({self.peer, self.incarnation, *message});
    } else if (std::holds_alternative<raise_domain_event>(requested)) {
        m_gates.at(gate).drained = true;
    }
}

void gate_simulation::recordSentRequest(std::size_t gate, const std::string &body)
{
    // The earliest unanswered submission of the key at this gate is taken as the cause of the request. If
    // there is none, the cause is a submission with a ticket at another gate, which waits for the answer.
    const std::string key = keyOfBody(body);
    std::uint64_t earliestAtGate = m_sequence + 1;
    std::uint64_t earliestAnywhere = m_sequence;
    for (const submission &candidate : m_submissions) {
        if (candidate.key == key && candidate.answerCount == 0 && !candidate.lostInCrash) {
            earliestAnywhere = std::min(earliestAnywhere, candidate.sequence);
            earliestAtGate
                    = candidate.gate == gate ? std::min(earliestAtGate, candidate.sequence) : earliestAtGate;
        }
    }
    const std::uint64_t cause = earliestAtGate <= m_sequence ? earliestAtGate : earliestAnywhere;
    m_sent[key].push_back({cause});
}

void gate_simulation::onReply(std::size_t gate, const reply_http &reply)
{
    if (reply.exchange == m_ticketExchange) {
        m_ticketReply = reply;
        return;
    }
    const auto found = m_gates.at(gate).exchanges.find(reply.exchange);
    if (found == m_gates.at(gate).exchanges.end()) {
        recordViolation("reply to an unknown exchange");
        return;
    }
    submission &answered = m_submissions.at(found->second);
    answered.answer = reply;
    ++answered.answerCount;
    checkAnswer(answered);
}

/// Checks the verdict and body of an answer against what the service did.
void gate_simulation::checkAnswer(submission &answered)
{
    if (answered.answerCount > 1) {
        recordViolation("more than one answer to a request");
    }
    const std::string verdictText = answered.answer->headers.at("Jacinthvale-Verdict");
    if (verdictText == "ran"
        && (m_runs[answered.key] != 1 || answered.answer->body != answerOf(answered.body))) {
        recordViolation("answer does not match the run of key " + answered.key);
    }
    if (verdictText != "not-run" || answered.answer->status == kConflict) {
        return;
    }
    const bool retried = std::ranges::any_of(m_submissions, [&](const submission &s) {
        return s.key == answered.key && s.sequence > answered.sequence;
    });
    // A run caused by a later submission does not contradict the verdict of an earlier one.
    const bool ran = std::ranges::any_of(m_sent[answered.key], [&](const sent_request &s) {
        return s.causeSequence <= answered.sequence;
    });
    if (ran && !(answered.isNewKey && retried)) {
        recordViolation("verdict not-run although the request may have run, key " + answered.key);
    }
}

std::string gate_simulation::serve(const std::string &body)
{
    const std::string key = keyOfBody(body);
    if (++m_runs[key] > 1) {
        recordViolation("second run of key " + key);
    }
    return answerOf(body);
}

store_outcome gate_simulation::applyTransaction(const store_transact &transaction)
{
    const bool versionsMatch = std::ranges::all_of(transaction.writes, [&](const store_write &write) {
        const auto row = m_table.find(write.key);
        return write.expectedVersion == (row == m_table.end() ? 0 : row->second.version);
    });
    if (!versionsMatch) {
        store_conflict conflict;
        for (const store_write &write : transaction.writes) {
            if (const auto row = m_table.find(write.key); row != m_table.end()) {
                conflict.rows.push_back(row->second);
            }
        }
        return conflict;
    }
    store_committed committed;
    for (const store_write &write : transaction.writes) {
        committed.versions.push_back(++m_lastVersion);
        if (write.remove) {
            m_table.erase(write.key);
        } else {
            m_table[write.key] = {write.key, m_lastVersion, transaction.writeId, write.value};
        }
    }
    return committed;
}

store_outcome gate_simulation::apply(const store_operation &operation)
{
    if (const auto *transaction = std::get_if<store_transact>(&operation)) {
        ++m_transactionCount;
        return applyTransaction(*transaction);
    }
    store_rows rows;
    if (const auto row = m_table.find(std::get<store_get>(operation).key); row != m_table.end()) {
        rows.rows.push_back(row->second);
    }
    return rows;
}

void gate_simulation::finishStoreCall(std::size_t index, store_behavior behavior)
{
    const auto removed = removeAt(m_pendingStoreCalls, index);
    if (!removed) {
        return;
    }
    const auto *transaction = std::get_if<store_transact>(&removed->call.request);
    if (m_storeDown) {
        behavior = store_behavior::unavailable;
    }
    store_outcome outcome = store_unavailable{"simulated outage"};
    if (behavior == store_behavior::answer
        || (behavior == store_behavior::applied_unknown && transaction != nullptr)) {
        outcome = apply(removed->call.request);
    }
    if (transaction != nullptr && behavior != store_behavior::answer
        && behavior != store_behavior::unavailable) {
        outcome = store_unknown{};
    }
    if (transaction != nullptr && behavior == store_behavior::applied_later) {
        m_delayedTransactions.push_back(*transaction);
    }
    if (m_gates.at(removed->gate).state.self.incarnation == removed->incarnation) {
        deliver(removed->gate, store_call_finished{removed->call.operation, outcome});
    }
}

void gate_simulation::deliverCallResult(const pending_call &call, http_call_finished result)
{
    result.operation = call.call.operation;
    if (m_gates.at(call.gate).state.self.incarnation == call.incarnation) {
        deliver(call.gate, result);
    }
}

void gate_simulation::finishUpstreamCall(std::size_t index, call_behavior behavior)
{
    const auto removed = removeAt(m_pendingCalls, index);
    if (!removed) {
        return;
    }
    if (removed->call.method == "GET") {
        deliverCallResult(*removed, {{}, transfer_outcome::complete, kOk, {}, "{}"});
        return;
    }
    const std::string &body = removed->call.body;
    auto &sent = m_sent[keyOfBody(body)];
    switch (behavior) {
    case call_behavior::served:
        deliverCallResult(*removed, {{}, transfer_outcome::complete, kOk, {}, serve(body)});
        return;
    case call_behavior::served_answer_lost:
        serve(body);
        deliverCallResult(*removed, {{}, transfer_outcome::failed_after_send, 0, {}, ""});
        return;
    case call_behavior::served_later:
        m_delayedBodies.push_back(body);
        deliverCallResult(*removed, {{}, transfer_outcome::timed_out, 0, {}, ""});
        return;
    case call_behavior::lost_unserved:
        deliverCallResult(*removed, {{}, transfer_outcome::failed_after_send, 0, {}, ""});
        return;
    case call_behavior::refused:
        sent.pop_back();
        deliverCallResult(*removed, {{},
                                     transfer_outcome::complete,
                                     kServiceUnavailable,
                                     {{"Jacinthvale-Verdict", "not-run"}},
                                     ""});
        return;
    case call_behavior::nothing_sent:
        sent.pop_back();
        deliverCallResult(*removed, {{}, transfer_outcome::nothing_sent, 0, {}, ""});
        return;
    }
}

void gate_simulation::finishMessage(std::size_t index, bool shouldDeliver)
{
    const auto removed = removeAt(m_pendingMessages, index);
    for (std::size_t gate = 0; removed && shouldDeliver && gate < kGateCount; ++gate) {
        if (peerOf(gate) == removed->message.target) {
            deliver(gate, peer_message_received{domain::requests,
                                                {},
                                                removed->incarnation,
                                                removed->from,
                                                removed->message.payload});
        }
    }
}

void gate_simulation::applyDelayedRequest(std::size_t index)
{
    if (const auto transaction = removeAt(m_delayedTransactions, index)) {
        applyTransaction(*transaction);
    } else if (const auto body = removeAt(m_delayedBodies, index)) {
        serve(*body);
    }
}

void gate_simulation::crash(std::size_t gate)
{
    for (const auto &[exchange, index] : m_gates.at(gate).exchanges) {
        m_submissions.at(index).lostInCrash = m_submissions.at(index).answerCount == 0;
    }
    startProcess(gate);
}

void gate_simulation::setPaused(std::size_t gate, bool paused)
{
    gate_process &process = m_gates.at(gate);
    process.paused = paused;
    while (!paused && !process.inbox.empty()) {
        const event incoming = process.inbox.front();
        process.inbox.pop_front();
        handleEvent(gate, incoming);
    }
}

void gate_simulation::advance(milliseconds by)
{
    m_now += by;
    for (std::size_t gate = 0; gate < kGateCount; ++gate) {
        if (!m_gates.at(gate).paused) {
            handleEvent(gate, tick{});
        }
    }
}

void gate_simulation::sendPeerView(std::size_t to, std::size_t about)
{
    const gate_process &other = m_gates.at(about);
    peer_view view;
    view.host = other.state.self.host;
    view.incarnation = other.state.self.incarnation;
    view.peer = other.state.self.peer;
    view.alive = !other.paused;
    deliver(to, domain_event_raised{domain::membership, peer_changed{view}});
}

void gate_simulation::startShutdown(std::size_t gate)
{
    deliver(gate, domain_event_raised{domain::membership, shutdown_started{}});
}

void gate_simulation::recoverAndFinish()
{
    constexpr int kRounds = 80;
    m_storeDown = false;
    for (std::size_t gate = 0; gate < kGateCount; ++gate) {
        setPaused(gate, false);
    }
    for (int round = 0; round < kRounds; ++round) {
        while (!m_pendingStoreCalls.empty() || !m_pendingCalls.empty() || !m_pendingMessages.empty()) {
            finishStoreCall(0, store_behavior::answer);
            finishUpstreamCall(0, call_behavior::served);
            finishMessage(0, true);
            applyDelayedRequest(0);
        }
        advance(milliseconds{500});
    }
    const bool hasUnanswered = std::ranges::any_of(
            m_submissions, [](const submission &s) { return s.answerCount == 0 && !s.lostInCrash; });
    if (hasUnanswered) {
        recordViolation("a request was not answered although the store and all gates recovered");
    }
}

int gate_simulation::runCount(const std::string &key) const
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

void gate_simulation::recordViolation(const std::string &description)
{
    if (m_violation.empty()) {
        m_violation = description;
    }
}

} // namespace jacinthvale::testing
