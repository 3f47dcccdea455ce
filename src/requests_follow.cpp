// Calls whose run is owned by another process, and issuing and forwarding of tickets.
#include "requests_keyed.h"
#include "requests_parse.h"
#include "requests_peers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr milliseconds kClaimRowReadInterval{2000};

final_answer ownerExitedAnswer()
{
    return toAnswer({kBadGateway, "owner-gone",
                     "The process that owns this run is over, and recorded no answer.", verdict::may_have_run,
                     0});
}

void awaitOwner(requests_step &step, call_record &call, const run_owner &owner)
{
    call.phase = call_phase::awaiting_owner;
    call.owner = owner;
    call.owner->nextReadAt = step.ctx.now + kClaimRowReadInterval;
    call.owner->lastHeardAt = step.ctx.now;
    step.count("requests_awaiting_owner_total");
    sendToOwner(step, call);
}

/// Finishes the call if the row holds an answer or belongs to a request with another body.
/// @returns true if the call was finished.
bool answerFromRow(requests_step &step, call_number number, const claim_record &record)
{
    const call_record &call = step.state.calls.at(number);
    const std::string pool = poolName(call.request.kind, call.request.target);
    if (record.requestHash != stableHash(call.request.body, stableHash(pool))) {
        finishCall(step, number,
                   toAnswer({kConflict, "key-reused", "The key was used with another body.", verdict::not_run,
                             0}));
        return true;
    }
    if (record.answer) {
        step.count("requests_replayed_total");
        finishCall(step, number, *record.answer);
        return true;
    }
    return false;
}

bool isOwnerReportedDead(const requests_state &state, const claim_record &record)
{
    return std::ranges::any_of(state.peers, [&](const auto &entry) {
        return entry.second.incarnation == record.incarnation && !entry.second.alive;
    });
}

} // namespace

void followClaimRow(requests_step &step, call_number number, const store_row &row)
{
    const auto record = decodeClaim(row.value);
    if (!record) {
        finishCall(step, number,
                   toAnswer({kBadGateway, "claim-unreadable", "The claim of this key cannot be read.",
                             verdict::may_have_run, 0}));
        return;
    }
    if (answerFromRow(step, number, *record)) {
        return;
    }
    if (record->incarnation == step.state.self.incarnation || isOwnerReportedDead(step.state, *record)) {
        finishCall(step, number, ownerExitedAnswer());
        return;
    }
    run_owner owner;
    owner.peer = record->peer;
    owner.incarnation = record->incarnation;
    owner.rowKey = row.key;
    awaitOwner(step, step.state.calls.at(number), owner);
}

void onClaimRowRead(requests_step &step, call_number number, const store_outcome &outcome)
{
    const auto found = step.state.calls.find(number);
    if (found == step.state.calls.end() || !found->second.owner) {
        return;
    }
    run_owner &owner = *found->second.owner;
    owner.reading = false;
    owner.nextReadAt = step.ctx.now + kClaimRowReadInterval;
    const auto *read = std::get_if<store_rows>(&outcome);
    if (read != nullptr && read->rows.empty()) {
        // A claim row is only removed once it is certain that the run did not happen.
        finishCall(step, number, keyReleasedAnswer());
        return;
    }
    if (read != nullptr) {
        const auto record = decodeClaim(read->rows.front().value);
        if (record && answerFromRow(step, number, *record)) {
            return;
        }
        owner.exited = owner.exited || (record && record->incarnation != owner.incarnation);
    }
    if (owner.exited) {
        finishCall(step, number, ownerExitedAnswer());
    }
}

void beginTicket(requests_step &step, call_number number)
{
    call_record &call = step.state.calls.at(number);
    const auto ticket = parseTicket(call.request.ticket);
    if (!ticket) {
        finishCall(step, number,
                   toAnswer(invalidRequest(kBadRequest, "bad-ticket", "Jacinthvale-Ticket is no ticket.")));
        return;
    }
    if (ticket->incarnation == step.state.self.incarnation) {
        redeemLocally(step, number, *ticket);
        return;
    }
    run_owner owner;
    owner.peer = ticket->peer;
    owner.incarnation = ticket->incarnation;
    awaitOwner(step, call, owner);
}

void issueTicket(requests_step &step, exchange_id exchange)
{
    const milliseconds lifetime{step.setting("requests.ticketLifetimeMs")};
    const auto maxTickets = static_cast<std::size_t>(step.setting("requests.maxTickets"));
    const auto ticket = step.state.tickets.issue(step.state.self.peer, step.state.self.incarnation,
                                                 step.nextRandom(), step.ctx.now + lifetime, maxTickets);
    if (!ticket) {
        sendAnswer(step, {exchange, {}},
                   toAnswer({kTooManyRequests, "too-many-tickets", "Too many tickets are out.",
                             verdict::not_run, 1}));
        return;
    }
    step.count("requests_tickets_issued_total");
    const nlohmann::json body = {{"ticket", toString(*ticket)}, {"expiresInMs", lifetime.count()}};
    step.emit(reply_http{exchange, kCreated, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace jacinthvale
