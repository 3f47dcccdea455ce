#include "gate_simulation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale::testing {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kRefused = 503;
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
    // Bytes that are not UTF-8, so that recorded answers have to keep them.
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
std::optional<Item> take(std::vector<Item> &items, std::size_t index)
{
    if (items.empty()) {
        return std::nullopt;
    }
    const auto at = items.begin() + static_cast<std::ptrdiff_t>(index % items.size());
    Item item = *at;
    items.erase(at);
    return item;
}

} // namespace

gate_simulation::gate_simulation()
    : m_gates(kGates)
{
    for (std::size_t gate = 0; gate < kGates; ++gate) {
        boot(gate);
    }
}

void gate_simulation::boot(std::size_t gate)
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
    const bool known = std::ranges::any_of(m_submissions, [&](const submission &s) { return s.key == key; });
    submission sent;
    sent.gate = gate;
    sent.key = key;
    sent.body = body;
    sent.isNewKey = !known && ticket.empty();
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

std::string gate_simulation::takeTicket(std::size_t gate)
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

void gate_simulation::deliver(std::size_t gate, const event &what)
{
    if (m_gates.at(gate).paused) {
        m_gates.at(gate).inbox.push_back(what);
    } else {
        process(gate, what);
    }
}

void gate_simulation::process(std::size_t gate, const event &what)
{
    const context at{m_now, wall_time{m_now.time_since_epoch()}, mixRandom(m_random++)};
    for (const effect &each : reduceRequests(m_gates.at(gate).state, what, at)) {
        perform(gate, each);
    }
}

void gate_simulation::perform(std::size_t gate, const effect &what)
{
    const process_identity &self = m_gates.at(gate).state.self;
    if (const auto *reply = std::get_if<reply_http>(&what)) {
        onReply(gate, *reply);
    } else if (const auto *store = std::get_if<call_store>(&what)) {
        m_stores.push_back({gate, self.incarnation, *store});
    } else if (const auto *call = std::get_if<call_http>(&what)) {
        if (call->method == "POST") {
            noteSent(gate, call->body);
        }
        m_calls.push_back({gate, self.incarnation, *call});
    } else if (const auto *message = std::get_if<send_peer>(&what)) {
        m_messages.push_back({self.peer, self.incarnation, *message});
    } else if (std::holds_alternative<raise_domain_event>(what)) {
        m_gates.at(gate).drained = true;
    }
}

void gate_simulation::noteSent(std::size_t gate, const std::string &body)
{
    // The earliest open submission at this gate caused the run; a ticket's may wait at another gate.
    const std::string key = keyOfBody(body);
    std::uint64_t here = m_sequence + 1;
    std::uint64_t anywhere = m_sequence;
    for (const submission &each : m_submissions) {
        if (each.key == key && each.answers == 0 && !each.lost) {
            anywhere = std::min(anywhere, each.sequence);
            here = each.gate == gate ? std::min(here, each.sequence) : here;
        }
    }
    const std::uint64_t cause = here <= m_sequence ? here : anywhere;
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
        fail("answer to an unknown exchange");
        return;
    }
    submission &done = m_submissions.at(found->second);
    done.answer = reply;
    ++done.answers;
    checkAnswer(done);
}

/// The oracle: what an answer says must agree with what the service really did.
void gate_simulation::checkAnswer(submission &done)
{
    if (done.answers > 1) {
        fail("two answers to one request");
    }
    const std::string said = done.answer->headers.at("Jacinthvale-Verdict");
    if (said == "ran" && (m_runs[done.key] != 1 || done.answer->body != answerOf(done.body))) {
        fail("answer of another request, or of none: " + done.key);
    }
    if (said != "not-run" || done.answer->status == kConflict) {
        return;
    }
    const bool retried = std::ranges::any_of(m_submissions, [&](const submission &s) {
        return s.key == done.key && s.sequence > done.sequence;
    });
    // A run that a later try caused does not make the earlier try's refusal false.
    const bool ran = std::ranges::any_of(m_sent[done.key],
                                         [&](const sent_request &s) { return s.causedBy <= done.sequence; });
    if (ran && !(done.isNewKey && retried)) {
        fail("false not-run: " + done.key);
    }
}

std::string gate_simulation::serve(const std::string &body)
{
    const std::string key = keyOfBody(body);
    if (++m_runs[key] > 1) {
        fail("second run: " + key);
    }
    return answerOf(body);
}

store_outcome gate_simulation::applyTransaction(const store_transact &what)
{
    const bool fits = std::ranges::all_of(what.writes, [&](const store_write &write) {
        const auto row = m_table.find(write.key);
        return write.expectedVersion == (row == m_table.end() ? 0 : row->second.version);
    });
    if (!fits) {
        store_conflict conflict;
        for (const store_write &write : what.writes) {
            if (const auto row = m_table.find(write.key); row != m_table.end()) {
                conflict.rows.push_back(row->second);
            }
        }
        return conflict;
    }
    store_committed committed;
    for (const store_write &write : what.writes) {
        committed.versions.push_back(++m_lastVersion);
        if (write.remove) {
            m_table.erase(write.key);
        } else {
            m_table[write.key] = {write.key, m_lastVersion, what.writeId, write.value};
        }
    }
    return committed;
}

store_outcome gate_simulation::apply(const store_operation &what)
{
    if (const auto *transaction = std::get_if<store_transact>(&what)) {
        ++m_storeTransactions;
        return applyTransaction(*transaction);
    }
    store_rows rows;
    if (const auto row = m_table.find(std::get<store_get>(what).key); row != m_table.end()) {
        rows.rows.push_back(row->second);
    }
    return rows;
}

void gate_simulation::decideStore(std::size_t index, store_fate fate)
{
    const auto taken = take(m_stores, index);
    if (!taken) {
        return;
    }
    const auto *transaction = std::get_if<store_transact>(&taken->call.request);
    if (m_storeDown) {
        fate = store_fate::unavailable;
    }
    store_outcome outcome = store_unavailable{"down"};
    if (fate == store_fate::answer || (fate == store_fate::applied_unknown && transaction != nullptr)) {
        outcome = apply(taken->call.request);
    }
    if (transaction != nullptr && fate != store_fate::answer && fate != store_fate::unavailable) {
        outcome = store_unknown{};
    }
    if (transaction != nullptr && fate == store_fate::applied_later) {
        m_lateTransactions.push_back(*transaction);
    }
    if (m_gates.at(taken->gate).state.self.incarnation == taken->incarnation) {
        deliver(taken->gate, store_call_finished{taken->call.operation, outcome});
    }
}

void gate_simulation::finishCall(const pending_call &call, http_call_finished result)
{
    result.operation = call.call.operation;
    if (m_gates.at(call.gate).state.self.incarnation == call.incarnation) {
        deliver(call.gate, result);
    }
}

void gate_simulation::decideCall(std::size_t index, call_fate fate)
{
    const auto taken = take(m_calls, index);
    if (!taken) {
        return;
    }
    if (taken->call.method == "GET") {
        finishCall(*taken, {{}, transfer_outcome::complete, kOk, {}, "{}"});
        return;
    }
    const std::string &body = taken->call.body;
    auto &sent = m_sent[keyOfBody(body)];
    switch (fate) {
    case call_fate::served:
        finishCall(*taken, {{}, transfer_outcome::complete, kOk, {}, serve(body)});
        return;
    case call_fate::served_answer_lost:
        serve(body);
        finishCall(*taken, {{}, transfer_outcome::failed_after_send, 0, {}, ""});
        return;
    case call_fate::served_later:
        m_lateBodies.push_back(body);
        finishCall(*taken, {{}, transfer_outcome::timed_out, 0, {}, ""});
        return;
    case call_fate::lost_unserved:
        finishCall(*taken, {{}, transfer_outcome::failed_after_send, 0, {}, ""});
        return;
    case call_fate::refused:
        sent.pop_back();
        finishCall(*taken,
                   {{}, transfer_outcome::complete, kRefused, {{"Jacinthvale-Verdict", "not-run"}}, ""});
        return;
    case call_fate::nothing_sent:
        sent.pop_back();
        finishCall(*taken, {{}, transfer_outcome::nothing_sent, 0, {}, ""});
        return;
    }
}

void gate_simulation::decideMessage(std::size_t index, bool deliverIt)
{
    const auto taken = take(m_messages, index);
    for (std::size_t gate = 0; taken && deliverIt && gate < kGates; ++gate) {
        if (peerOf(gate) == taken->message.target) {
            deliver(gate,
                    peer_message_received{
                            domain::requests, {}, taken->incarnation, taken->from, taken->message.payload});
        }
    }
}

void gate_simulation::releaseLate(std::size_t index)
{
    if (const auto late = take(m_lateTransactions, index)) {
        applyTransaction(*late);
    } else if (const auto body = take(m_lateBodies, index)) {
        serve(*body);
    }
}

void gate_simulation::crash(std::size_t gate)
{
    for (const auto &[exchange, index] : m_gates.at(gate).exchanges) {
        m_submissions.at(index).lost = m_submissions.at(index).answers == 0;
    }
    boot(gate);
}

void gate_simulation::setPaused(std::size_t gate, bool paused)
{
    gate_process &process = m_gates.at(gate);
    process.paused = paused;
    while (!paused && !process.inbox.empty()) {
        const event next = process.inbox.front();
        process.inbox.pop_front();
        this->process(gate, next);
    }
}

void gate_simulation::advance(milliseconds by)
{
    m_now += by;
    for (std::size_t gate = 0; gate < kGates; ++gate) {
        if (!m_gates.at(gate).paused) {
            process(gate, tick{});
        }
    }
}

void gate_simulation::gossip(std::size_t to, std::size_t about)
{
    const gate_process &other = m_gates.at(about);
    peer_view view;
    view.host = other.state.self.host;
    view.incarnation = other.state.self.incarnation;
    view.peer = other.state.self.peer;
    view.alive = !other.paused;
    deliver(to, domain_event_raised{domain::membership, peer_changed{view}});
}

void gate_simulation::stop(std::size_t gate)
{
    deliver(gate, domain_event_raised{domain::membership, shutdown_started{}});
}

void gate_simulation::heal()
{
    constexpr int kRounds = 80;
    m_storeDown = false;
    for (std::size_t gate = 0; gate < kGates; ++gate) {
        setPaused(gate, false);
    }
    for (int round = 0; round < kRounds; ++round) {
        while (!m_stores.empty() || !m_calls.empty() || !m_messages.empty()) {
            decideStore(0, store_fate::answer);
            decideCall(0, call_fate::served);
            decideMessage(0, true);
            releaseLate(0);
        }
        advance(milliseconds{500});
    }
    const bool silent = std::ranges::any_of(m_submissions,
                                            [](const submission &s) { return s.answers == 0 && !s.lost; });
    if (silent) {
        fail("a request got no answer");
    }
}

int gate_simulation::runs(const std::string &key) const
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

void gate_simulation::fail(const std::string &what)
{
    if (m_fault.empty()) {
        m_fault = what;
    }
}

} // namespace jacinthvale::testing
