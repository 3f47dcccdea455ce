// Leases of trainers: reading heads, taking leases over, and loading rows.
#include "samples_lease.h"

#include "samples_calls.h"
#include "samples_generate.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kHttpUnavailable = 503;
constexpr int kRowsPerPage = 500;
constexpr int kMaxHeads = 1000;
constexpr milliseconds kReadPause{500};

void readHeadRow(samples_step &step, trainer_session &session)
{
    session.phase = lease_phase::reading;
    step.emit(call_store{step.begin(head_read{session.trainer}), store_get{headKey(session.trainer)}});
}

/// Notes a head row; the time of its last change is kept where the version is the same.
/// @returns false where the row cannot be read.
bool observe(samples_step &step, trainer_session &session, const std::optional<store_row> &row)
{
    const std::uint64_t before = session.observed ? session.observed->version : 0;
    if (!session.observed || (row && row->version != before)) {
        session.observedSince = step.at.now;
    }
    session.observedHead = {};
    if (row) {
        const absl::StatusOr<trainer_head> head = readHead(row->value);
        if (!head.ok()) {
            step.record("head-row-damaged", session.trainer.value, std::string(head.status().message()));
            return false;
        }
        session.observedHead = *head;
    }
    session.observed = row ? *row : store_row{headKey(session.trainer), 0, "", ""};
    return true;
}

/// @returns true where the holder in the head row is known to be gone.
bool holderIsGone(const samples_step &step, const trainer_session &session)
{
    const trainer_head &head = session.observedHead;
    if (head.holder.empty() || head.incarnation == step.state.self.incarnation) {
        return true;
    }
    const auto peer = step.state.peers.find(head.holder);
    const bool replaced
            = peer != step.state.peers.end()
              && (peer->second.incarnation != head.incarnation ? peer->second.alive : !peer->second.alive);
    return replaced || step.at.now - session.observedSince >= step.duration("samples.leaseTermMs");
}

/// A process whose domain stops takes no lease.
void acquireLease(samples_step &step, trainer_session &session)
{
    trainer_ledger base;
    base.trainer = session.trainer;
    base.head = session.observedHead;
    base.headRowVersion = session.observed->version;
    session.acquiring = ledger_builder(base, step.uniqueId()).acquire(step.state.self).build();
    session.phase = lease_phase::acquiring;
    step.emit(call_store{step.begin(lease_acquisition{session.trainer}), session.acquiring->transact});
}

void resendAcquisition(samples_step &step, trainer_session &session)
{
    step.emit(call_store{step.begin(lease_acquisition{session.trainer}), session.acquiring->transact});
}

void refuseWaiting(samples_step &step, trainer_session &session)
{
    for (const trainer_call &call : session.waiting) {
        refuseCall(step, call, notRun(kHttpUnavailable, "store-unavailable", "The store does not answer."));
    }
    session.waiting.clear();
}

void pauseUnknown(samples_step &step, trainer_session &session)
{
    session.phase = lease_phase::unknown;
    session.notBefore = step.at.now + kReadPause;
    refuseWaiting(step, session);
}

/// Chooses between taking the lease and leaving it where it is.
void judgeLease(samples_step &step, trainer_session &session)
{
    if (holderIsGone(step, session) && !step.state.stopping) {
        acquireLease(step, session);
        return;
    }
    session.phase = lease_phase::elsewhere;
    dispatchWaiting(step, session);
}

void startLoad(samples_step &step, trainer_session &session, const std::string &prefix,
               const std::string &after)
{
    session.loadingPrefix = prefix;
    step.emit(call_store{step.begin(row_load{session.trainer, after}),
                         store_scan{prefix, after, kRowsPerPage}});
}

absl::Status loadRow(trainer_session &session, const store_row &row)
{
    if (session.loadingPrefix == groupPrefix(session.trainer)) {
        return loadGroup(session.ledger, row);
    }
    if (session.loadingPrefix == indexPrefix(session.trainer)) {
        return loadIndex(session.ledger, row);
    }
    return loadEntry(session.ledger, row);
}

void startHolding(samples_step &step, trainer_session &session)
{
    session.phase = lease_phase::holding;
    session.version = std::max(session.version, session.ledger.head.version);
    session.lastCommitAt = step.at.now;
    step.count("samples_leases_taken_total");
    step.record("trainer-lease-held", session.trainer.value,
                absl::StrCat("epoch ", session.ledger.head.epoch.value));
    queueMissing(step, session);
    // Requests that were forwarded to the former holder are idempotent: they are handled here.
    auto &forwarded = step.state.forwarded;
    for (auto entry = forwarded.begin(); entry != forwarded.end();) {
        if (entry->second.trainer != session.trainer) {
            ++entry;
            continue;
        }
        entry->second.uncertain = true;
        session.waiting.push_back(std::move(entry->second));
        entry = forwarded.erase(entry);
    }
    dispatchWaiting(step, session);
}

/// Requests that were not answered wait again for whoever holds the lease.
void keepRequests(trainer_session &session)
{
    const auto keep = [&](trainer_call &call) { session.waiting.push_back(std::move(call)); };
    const auto keepSent = [&](trainer_call &call) {
        call.uncertain = call.uncertain || session.committing->uncertain;
        keep(call);
    };
    if (session.committing) {
        std::ranges::for_each(session.committing->groups, keepSent, &pending_group::call);
        std::ranges::for_each(session.committing->versions, keepSent, &pending_version::call);
        if (session.committing->pull) {
            keep(session.committing->pull->call);
        }
    }
    std::ranges::for_each(session.groups, keep, &pending_group::call);
    std::ranges::for_each(session.versions, keep, &pending_version::call);
    if (session.pull) {
        keep(session.pull->call);
    }
}

/// Outcomes of operations that were begun under the lost lease are not looked at.
void forgetOperations(samples_step &step, const trainer_id &trainer)
{
    std::erase_if(step.state.operations, [&](const auto &entry) {
        return std::visit(
                [&](const auto &what) {
                    if constexpr (requires { what.trainer; }) {
                        return what.trainer == trainer;
                    } else {
                        return false;
                    }
                },
                entry.second);
    });
}

} // namespace

trainer_session &openSession(samples_step &step, const trainer_id &trainer)
{
    trainer_session &session = step.state.sessions[trainer];
    session.trainer = trainer;
    return session;
}

void settleLease(samples_step &step, trainer_session &session)
{
    if (session.phase == lease_phase::unknown && step.at.now >= session.notBefore) {
        readHeadRow(step, session);
    }
}

void loseLease(samples_step &step, trainer_session &session, const std::string &why)
{
    step.count("samples_leases_lost_total");
    step.record("trainer-lease-lost", session.trainer.value, why);
    const auto running = session.running;
    for (const auto &[slot, numbers] : running) {
        for (const std::uint64_t number : numbers) {
            dropGeneration(step, number, false);
        }
    }
    forgetOperations(step, session.trainer);
    keepRequests(session);
    trainer_session fresh;
    fresh.trainer = session.trainer;
    fresh.version = session.version;
    fresh.observed = session.observed;
    fresh.observedSince = session.observedSince;
    fresh.waiting = std::move(session.waiting);
    session = std::move(fresh);
    settleLease(step, session);
}

void finishHeadRead(samples_step &step, trainer_session &session, const store_outcome &outcome)
{
    if (session.phase != lease_phase::reading) {
        return;
    }
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (rows == nullptr) {
        pauseUnknown(step, session);
        return;
    }
    const auto row = rows->rows.empty() ? std::nullopt : std::optional(rows->rows.front());
    if (!observe(step, session, row)) {
        pauseUnknown(step, session);
        return;
    }
    judgeLease(step, session);
}

void finishAcquisition(samples_step &step, trainer_session &session, const store_outcome &outcome)
{
    if (session.phase != lease_phase::acquiring) {
        return;
    }
    if (const auto *committed = std::get_if<store_committed>(&outcome)) {
        session.ledger = applyCommit(std::move(*session.acquiring), committed->versions);
        session.acquiring.reset();
        session.phase = lease_phase::loading;
        startLoad(step, session, groupPrefix(session.trainer), "");
    } else if (std::holds_alternative<store_unknown>(outcome)) {
        resendAcquisition(step, session);
    } else if (std::holds_alternative<store_conflict>(outcome)) {
        readHeadRow(step, session);
    } else {
        pauseUnknown(step, session);
    }
}

void finishLoad(samples_step &step, trainer_session &session, const store_outcome &outcome)
{
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (session.phase != lease_phase::loading) {
        return;
    }
    if (rows == nullptr) {
        pauseUnknown(step, session);
        return;
    }
    for (const store_row &row : rows->rows) {
        if (const absl::Status status = loadRow(session, row); !status.ok()) {
            step.count("samples_rows_damaged_total");
            step.record("row-damaged", session.trainer.value, std::string(status.message()));
        }
    }
    if (rows->rows.size() == static_cast<std::size_t>(kRowsPerPage)) {
        startLoad(step, session, session.loadingPrefix, rows->rows.back().key);
    } else if (session.loadingPrefix == groupPrefix(session.trainer)) {
        startLoad(step, session, indexPrefix(session.trainer), "");
    } else if (session.loadingPrefix == indexPrefix(session.trainer)) {
        startLoad(step, session, sequencePrefix(session.trainer), "");
    } else {
        startHolding(step, session);
    }
}

void finishScan(samples_step &step, const store_outcome &outcome)
{
    step.state.scanning = false;
    const auto *rows = std::get_if<store_rows>(&outcome);
    if (rows == nullptr) {
        return;
    }
    for (const store_row &row : rows->rows) {
        trainer_session &session = openSession(step, {row.key.substr(kHeadPrefix.size())});
        const bool idle = session.phase == lease_phase::elsewhere || session.phase == lease_phase::unknown;
        if (idle && observe(step, session, row)) {
            session.phase = lease_phase::elsewhere;
            dispatchWaiting(step, session);
        }
    }
}

void watchLeases(samples_step &step)
{
    samples_state &state = step.state;
    if (state.self.role != process_role::rollout) {
        return;
    }
    for (auto &[id, session] : state.sessions) {
        if (session.phase == lease_phase::unknown && !session.waiting.empty()) {
            settleLease(step, session);
        }
    }
    if (state.scanning || step.at.now < state.nextScanAt || state.stopping) {
        return;
    }
    const auto period = step.setting("samples.leaseScanMs");
    const auto jitter = static_cast<std::int64_t>(step.at.random % static_cast<std::uint64_t>(period));
    state.nextScanAt = step.at.now + milliseconds{period / 2 + jitter};
    state.scanning = true;
    // Taking over comes with the scan's jitter, so that not all processes try at the same moment.
    for (auto &[id, session] : state.sessions) {
        if (session.phase == lease_phase::elsewhere && holderIsGone(step, session)) {
            readHeadRow(step, session);
        }
    }
    step.emit(call_store{step.begin(head_scan{}), store_scan{std::string(kHeadPrefix), "", kMaxHeads}});
}

void notePeer(samples_step &step, const peer_view &view)
{
    if (view.role != toString(process_role::rollout)) {
        return;
    }
    step.state.peers[view.host] = view;
}

} // namespace jacinthvale
