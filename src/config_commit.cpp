// Changes: checked, committed by one conditional transaction, and answered truthfully.
//
// Steps: look the change id up (a repeated post finds its own commit), read the head, have the document that
// the head names in force here, apply, commit. The head's row version makes one of two racing changes lose.
#include "config_domain.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

config_refusal unavailable(std::string_view code, std::string message)
{
    return {kHttpUnavailable, "refused", code, std::move(message), "not-run"};
}

bool changesNothing(const config_change &change)
{
    return change.set.empty() && change.unset.empty() && change.except.empty()
           && change.dropExceptions.empty();
}

std::string authorOf(const http_request_received &request)
{
    const auto found = request.headers.find("Jacinthvale-Principal");
    return found == request.headers.end() ? std::string("operator") : found->second;
}

} // namespace

void config_domain::startChange(const http_request_received &request, bool repair)
{
    const config_change_reading reading = readChange(request.body);
    const std::string &changeId = reading.change.changeId;
    if (!reading.faults.empty()) {
        replyRefusal(request.exchange, {kHttpBadRequest, "refused", "invalid", toText(reading.faults)},
                     changeId, reading.faults);
        return;
    }
    if (changesNothing(reading.change) != repair) {
        replyRefusal(request.exchange,
                     {kHttpBadRequest, "refused", "invalid",
                      repair ? "A repair carries no changes." : "The change changes nothing."},
                     changeId);
        return;
    }
    const std::uint64_t id = ++m_state.lastChange;
    config_running_change &change = m_state.changes[id];
    change.exchange = request.exchange;
    change.what = reading.change;
    change.author = authorOf(request);
    change.repair = repair;
    record("config-change-received", changeId, change.author);
    if (const auto refusal = objection(change)) {
        refuse(id, *refusal);
        return;
    }
    callStore(config_change_step{id}, store_get{changeKey(changeId)}, kConfigReadDeadline);
}

std::optional<config_refusal> config_domain::objection(const config_running_change &change) const
{
    if (m_state.stopping) {
        return unavailable("stopping", "This daemon is stopping; use another one.");
    }
    if (!m_state.hasDocument) {
        return unavailable("not-ready", "This daemon has no configuration document yet.");
    }
    if (!change.repair && m_state.problem == config_problem::diverged) {
        return unavailable("diverged", "Two documents bear one revision; repair first.");
    }
    return evidenceObjection(change);
}

/// Without a peer's word nobody here can tell whether the store was restored from an old copy.
std::optional<config_refusal> config_domain::evidenceObjection(const config_running_change &change) const
{
    const bool heard = m_state.peerHeard && m_at.now - m_state.peerHeardAt <= kPeerEvidenceAge;
    if (!heard && !isAlone() && !change.what.alone) {
        return unavailable("no-peer-heard",
                           "No peer answers this daemon; use another one, or say \"alone\".");
    }
    return std::nullopt;
}

void config_domain::continueChange(std::uint64_t id, const store_outcome &outcome)
{
    if (!m_state.changes.contains(id)) {
        return;
    }
    if (changeOf(id).phase == config_change_phase::committing) {
        onCommitEnded(id, outcome);
        return;
    }
    const auto *found = std::get_if<store_rows>(&outcome);
    if (found == nullptr) {
        refuse(id, unavailable("store-unavailable", "The store does not answer; nothing was changed."));
        return;
    }
    switch (changeOf(id).phase) {
    case config_change_phase::looking_up:
        return onChangeLookedUp(id, *found);
    case config_change_phase::reading_head:
        return onChangeHead(id, *found);
    case config_change_phase::reading_document:
    case config_change_phase::committing:
        return onChangeBase(id, *found);
    }
}

void config_domain::onChangeLookedUp(std::uint64_t id, const store_rows &found)
{
    if (!found.rows.empty()) {
        const auto row = decodeChangeRow(found.rows.front().value);
        answerKnown(id, row.ok() ? *row : config_change_row{});
        return;
    }
    readHeadFor(id);
}

void config_domain::readHeadFor(std::uint64_t id)
{
    config_running_change &change = changeOf(id);
    change.phase = config_change_phase::reading_head;
    change.inForceBefore = m_state.inForce->revision;
    callStore(config_change_step{id}, store_get{kConfigHeadKey}, kConfigReadDeadline);
}

/// The change id was committed before: by an earlier copy of this change, or by another change.
void config_domain::answerKnown(std::uint64_t id, const config_change_row &row)
{
    const config_running_change change = changeOf(id);
    if (row.digest != changeDigest(change.what)) {
        refuse(id, {kHttpConflict, "refused", "change-id-used",
                    absl::StrCat("Another change by ", row.author, " has this change id.")});
        return;
    }
    m_state.changes.erase(id);
    m_state.waits.push_back(
            {change.exchange, change.what.changeId, row.revision, m_at.now + kConfirmationWait});
    answerConfirmed();
}

void config_domain::onChangeHead(std::uint64_t id, const store_rows &found)
{
    config_running_change &change = changeOf(id);
    config_head_row head;
    if (!found.rows.empty()) {
        const auto decoded = decodeHeadRow(found.rows.front().value);
        if (!decoded.ok()) {
            refuse(id, unavailable("store-unreadable", std::string(decoded.status().message())));
            return;
        }
        head = *decoded;
        change.headVersion = found.rows.front().version;
    }
    change.headRevision = head.revision;
    if (head.revision < change.inForceBefore && m_state.problem == config_problem::none) {
        setProblem(config_problem::store_behind, "seen by a change");
    }
    checkHead(id, head);
}

void config_domain::checkHead(std::uint64_t id, const config_head_row &head)
{
    config_running_change &change = changeOf(id);
    if (!change.repair && head.revision < change.inForceBefore) {
        refuse(id, unavailable("store-behind", "The store went back to an old copy; repair first."));
    } else if (!change.repair && head.revision != change.what.baseRevision) {
        refuseLost(id, head);
    } else if (!change.repair && head.revision > m_state.inForce->revision) {
        change.phase = config_change_phase::reading_document;
        callStore(config_change_step{id}, store_get{revisionKey(head.revision)}, kConfigReadDeadline);
    } else {
        applyAndCommit(id);
    }
}

void config_domain::onChangeBase(std::uint64_t id, const store_rows &found)
{
    if (!found.rows.empty()) {
        take(found.rows.front().value, "store");
    }
    applyAndCommit(id);
}

void config_domain::applyAndCommit(std::uint64_t id)
{
    if (changeOf(id).repair) {
        commitRepair(id);
        return;
    }
    if (!baseStillHolds(id)) {
        return;
    }
    const config_running_change change = changeOf(id);
    const config_application applied
            = applyChange(*m_state.inForce, change.what, change.author, m_at.wallNow);
    if (applied.faults.empty()) {
        commit(id, applied.document);
        return;
    }
    m_state.changes.erase(id);
    replyRefusal(change.exchange, {kHttpBadRequest, "refused", "invalid", toText(applied.faults)},
                 change.what.changeId, applied.faults);
}

/// Looks at what came into force, or was heard of, since the head was read. Answers where the base is lost.
bool config_domain::baseStillHolds(std::uint64_t id)
{
    config_running_change &change = changeOf(id);
    const config_document &inForce = *m_state.inForce;
    if (inForce.revision > change.headRevision) {
        refuseLost(id, {inForce.revision, inForce.hash, inForce.changeId, inForce.author, inForce.reason});
        return false;
    }
    if (inForce.revision < change.headRevision) {
        refuse(id, unavailable("head-unreadable", "The head's document cannot be loaded here."));
        return false;
    }
    if (m_state.highestSeen <= change.headRevision) {
        return true;
    }
    if (change.headReread) {
        refuse(id, unavailable("store-behind", "A peer has a higher revision than the store; repair first."));
        return false;
    }
    // A peer's commit may have come after the first read; a read that begins now must see it.
    change.headReread = true;
    readHeadFor(id);
    return false;
}

void config_domain::commitRepair(std::uint64_t id)
{
    const config_running_change change = changeOf(id);
    const config_revision highest = std::max(m_state.highestSeen, m_state.inForce->revision);
    if (highest > m_state.inForce->revision && !change.what.alone) {
        refuse(id, unavailable("not-highest", "A peer has a higher revision; repair through that one."));
        return;
    }
    const config_revision next{std::max(highest, change.headRevision).value + 1};
    commit(id, carryForward(*m_state.inForce, next, change.what, change.author, m_at.wallNow));
}

void config_domain::commit(std::uint64_t id, config_document next)
{
    config_running_change &change = changeOf(id);
    const config_head_row head{next.revision, next.hash, next.changeId, next.author, next.reason};
    const config_change_row row{next.revision, changeDigest(change.what), next.author};
    store_transact transaction;
    transaction.writeId
            = absl::StrCat("config-", next.changeId, "-", m_state.self.incarnation.value, "-", id);
    transaction.writes = {{kConfigHeadKey, change.headVersion, encodeRow(head), false},
                          {revisionKey(next.revision), 0, encodeDocument(next), false},
                          {changeKey(next.changeId), 0, encodeRow(row), false}};
    change.phase = config_change_phase::committing;
    change.next = std::move(next);
    callStore(config_change_step{id}, std::move(transaction), kConfigWriteDeadline);
}

void config_domain::onCommitEnded(std::uint64_t id, const store_outcome &outcome)
{
    if (std::holds_alternative<store_committed>(outcome)) {
        accepted(id);
    } else if (const auto *conflict = std::get_if<store_conflict>(&outcome)) {
        onCommitConflict(id, *conflict);
    } else if (std::holds_alternative<store_unknown>(outcome)) {
        refuse(id, {kHttpGatewayTimeout, "unknown", "answer-lost",
                    "The store's answer was lost. Ask for this change id, or post the same change again.",
                    "may-have-run"});
    } else {
        refuse(id, unavailable("store-unavailable", "The store does not answer; nothing was changed."));
    }
}

/// The change's row is never overwritten, so its absence proves that no earlier copy of the change committed.
void config_domain::onCommitConflict(std::uint64_t id, const store_conflict &conflict)
{
    if (const store_row *own = findRow(conflict.rows, changeKey(changeOf(id).what.changeId))) {
        const auto row = decodeChangeRow(own->value);
        answerKnown(id, row.ok() ? *row : config_change_row{});
        return;
    }
    const store_row *headRow = findRow(conflict.rows, kConfigHeadKey);
    const auto head = headRow == nullptr ? absl::StatusOr<config_head_row>(config_head_row{})
                                         : decodeHeadRow(headRow->value);
    refuseLost(id, head.ok() ? *head : config_head_row{});
}

void config_domain::accepted(std::uint64_t id)
{
    const config_running_change change = changeOf(id);
    m_state.changes.erase(id);
    record("config-change-accepted", change.what.changeId,
           absl::StrCat("revision ", change.next.revision.value, " by ", change.author));
    m_out.emplace_back(count_metric{"config_changes_total{result=\"accepted\"}", 1});
    take(change.next, "change");
    if (m_state.problem == config_problem::store_behind) {
        setProblem(config_problem::none, "");
    }
    m_state.pushUntil = m_at.now + kPushDuration;
    pushToUnconfirmed();
    m_state.waits.push_back(
            {change.exchange, change.what.changeId, change.next.revision, m_at.now + kConfirmationWait});
    answerConfirmed();
}

void config_domain::refuseLost(std::uint64_t id, const config_head_row &winner)
{
    const config_running_change change = changeOf(id);
    if (winner.revision > m_state.inForce->revision) {
        noteHigher(winner.revision);
    }
    refuse(id, {kHttpConflict, "conflict", "base-revision-passed",
                absl::StrCat("The head is revision ", winner.revision.value, ": change ", winner.changeId,
                             " by ", winner.author, " (", winner.reason, "), not revision ",
                             change.what.baseRevision.value, ". Read it and decide again.")});
}

void config_domain::refuse(std::uint64_t id, const config_refusal &refusal)
{
    const config_running_change change = changeOf(id);
    m_state.changes.erase(id);
    replyRefusal(change.exchange, refusal, change.what.changeId);
}

} // namespace jacinthvale
