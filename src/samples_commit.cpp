// Commits of the holder: payloads, transactions and the answers that depend on them.
#include "samples_commit.h"

#include "overloaded.h"
#include "samples_calls.h"
#include "samples_generate.h"
#include "samples_lease.h"
#include "samples_pull.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr std::size_t kMaxSamplesPerPut = 64;
constexpr std::size_t kMaxSamplesPerCommit = 128;
constexpr std::size_t kMaxGroupsPerCommit = 64;
constexpr std::size_t kMaxRemovalsPerCommit = 128;
constexpr milliseconds kRetryPause{250};

/// Takes at most so many items from the front of a queue.
template <typename Item>
std::vector<Item> takeFront(std::deque<Item> &queue, std::size_t most)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(queue.size(), most));
    std::vector<Item> taken(std::make_move_iterator(queue.begin()),
                            std::make_move_iterator(queue.begin() + count));
    queue.erase(queue.begin(), queue.begin() + count);
    return taken;
}

template <typename Item>
void putBack(std::deque<Item> &queue, std::vector<Item> &items)
{
    queue.insert(queue.begin(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
    items.clear();
}

void forgetUncommitted(trainer_session &session, const finished_sample &sample)
{
    session.uncommitted.erase(sample.slot);
    session.uncommittedBytes -= std::min(session.uncommittedBytes, sample.text.size());
}

void startPut(samples_step &step, trainer_session &session)
{
    if (session.putting || session.ready.empty() || step.at.now < session.putNotBefore) {
        return;
    }
    session.putting = running_put{absl::StrCat("rollout/payloads/", session.trainer.value, "/",
                                               session.ledger.head.epoch.value, "-", step.uniqueId()),
                                  takeFront(session.ready, kMaxSamplesPerPut)};
    step.emit(call_store{step.begin(payload_put{session.trainer}),
                         object_put{session.putting->object, writePayload(session.putting->samples)}});
}

/// Adds what callers wait for, and refuses groups that differ from an accepted one.
void addGroups(samples_step &step, trainer_session &session, ledger_builder &builder, running_commit &commit)
{
    for (pending_group &pending : takeFront(session.groups, kMaxGroupsPerCommit)) {
        const auto known = builder.next().groups.find(pending.group.id);
        if (known == builder.next().groups.end()) {
            builder.acceptGroup(pending.group);
        } else if (known->second.digest != digestOf(pending.group)) {
            refuseCall(step, pending.call,
                       notRun(kHttpConflict, "group-differs", "The group id has other content."));
            continue;
        }
        commit.groups.push_back(std::move(pending));
    }
}

/// Adds stored samples that are fresh enough; the others are generated anew.
void addSamples(samples_step &step, trainer_session &session, ledger_builder &builder, running_commit &commit)
{
    const std::uint64_t bound = step.stalenessBound(session.trainer);
    for (stored_sample &stored : takeFront(session.stored, kMaxSamplesPerCommit)) {
        if (isOverBound(stored.sample.segments, builder.next().head.version, bound)) {
            step.count("samples_expired_before_commit_total");
            forgetUncommitted(session, stored.sample);
            queueSlot(step, session, stored.sample.slot);
        } else if (builder.append(stored.sample, stored.payload)) {
            commit.samples.push_back(std::move(stored));
        } else {
            forgetUncommitted(session, stored.sample);
        }
    }
}

void addPull(samples_step &step, trainer_session &session, ledger_builder &builder, running_commit &commit)
{
    if (!session.pull) {
        return;
    }
    const std::uint64_t through = preparePull(step, session, builder.next());
    if (through == 0) {
        return;
    }
    builder.handOver(session.pull->number, session.pull->after, through);
    commit.through = through;
    commit.pull = std::move(session.pull);
    session.pull.reset();
}

/// Entries that were handed over may expire only where a pull says that nothing after its cursor was taken.
void addExpiry(samples_step &step, trainer_session &session, ledger_builder &builder)
{
    const std::uint64_t from = session.pull ? session.pull->after : builder.next().head.handedThrough;
    const std::size_t expired = builder.expireAfter(from, step.stalenessBound(session.trainer));
    if (expired > 0) {
        step.count("samples_expired_total", static_cast<double>(expired));
    }
}

bool hasExpired(const samples_step &step, const trainer_session &session)
{
    const std::uint64_t bound = step.stalenessBound(session.trainer);
    const auto from = session.ledger.entries.upper_bound(session.ledger.head.handedThrough);
    return std::any_of(from, session.ledger.entries.end(), [&](const auto &item) {
        return !item.second.expired && isOverBound(item.second.segments, session.version, bound);
    });
}

/// A lease is handed back only after everything that waits is committed.
bool readyToRelease(const trainer_session &session)
{
    return session.releasing && session.ready.empty() && session.stored.empty() && !session.putting
           && session.groups.empty() && session.versions.empty();
}

/// @returns true where a transaction is worth sending now.
bool wantsCommit(samples_step &step, trainer_session &session)
{
    const auto since = step.at.now - session.lastCommitAt;
    if (!session.groups.empty() || !session.versions.empty() || readyToRelease(session)) {
        return true;
    }
    if (session.pull && preparePull(step, session, session.ledger) != 0) {
        return true;
    }
    if (since < step.duration("samples.commitIntervalMs")) {
        return false;
    }
    constexpr int kRenewalsPerTerm = 3;
    return !session.stored.empty() || hasExpired(step, session)
           || since >= step.duration("samples.leaseTermMs") / kRenewalsPerTerm;
}

void startCommit(samples_step &step, trainer_session &session)
{
    if (session.committing || step.at.now < session.notBefore || !wantsCommit(step, session)) {
        return;
    }
    running_commit commit;
    ledger_builder builder(session.ledger, step.uniqueId());
    builder.setVersion(session.version);
    commit.versions = takeFront(session.versions, session.versions.size());
    for (const pending_version &one : commit.versions) {
        builder.publish(one.model, one.version);
    }
    // Expiry goes before new entries: one transaction writes each row once.
    addExpiry(step, session, builder);
    addGroups(step, session, builder, commit);
    addSamples(step, session, builder, commit);
    addPull(step, session, builder, commit);
    builder.collect(kMaxRemovalsPerCommit);
    if (readyToRelease(session)) {
        commit.release = true;
        builder.release();
    }
    commit.change = builder.build();
    session.committing = std::move(commit);
    session.lastCommitAt = step.at.now;
    step.emit(call_store{step.begin(ledger_commit{session.trainer}), session.committing->change.transact});
}

/// The transaction did nothing: what it held waits for the next one.
void undoCommit(samples_step &step, trainer_session &session)
{
    running_commit commit = std::move(*session.committing);
    session.committing.reset();
    putBack(session.groups, commit.groups);
    putBack(session.versions, commit.versions);
    putBack(session.stored, commit.samples);
    if (commit.pull && !session.pull) {
        session.pull = std::move(commit.pull);
    } else if (commit.pull) {
        refuseCall(step, commit.pull->call,
                   notRun(kHttpConflict, "pull-superseded", "A pull with a higher number came."));
    }
    session.notBefore = step.at.now + kRetryPause;
}

void answerVersions(samples_step &step, trainer_session &session, const running_commit &commit)
{
    for (const pending_version &one : commit.versions) {
        answerCall(step, one.call, kHttpOk,
                   nlohmann::json{{"version", session.ledger.head.version.value}}.dump());
        step.emit(raise_domain_event{weights_published{one.model, one.version}});
        step.record("weights-published", session.trainer.value, absl::StrCat(one.version.value));
    }
}

void applyOutcome(samples_step &step, trainer_session &session, const store_committed &committed)
{
    running_commit commit = std::move(*session.committing);
    session.committing.reset();
    session.ledger = applyCommit(std::move(commit.change), committed.versions);
    for (const pending_group &one : commit.groups) {
        answerCall(step, one.call, kHttpOk,
                   nlohmann::json{{"groupId", one.group.id.value}, {"accepted", true}}.dump());
        step.record("group-accepted", one.group.id.value, session.trainer.value);
    }
    for (const stored_sample &one : commit.samples) {
        forgetUncommitted(session, one.sample);
    }
    step.count("samples_committed_total", static_cast<double>(commit.samples.size()));
    answerVersions(step, session, commit);
    if (commit.pull) {
        answerPull(step, session, *commit.pull, commit.through);
    }
    trimPayloads(step, session);
    queueMissing(step, session);
}

/// Sends a transaction of unknown outcome again: at most one copy takes effect.
void resendCommit(samples_step &step, trainer_session &session)
{
    if (!session.committing || !session.committing->resendAt || step.at.now < *session.committing->resendAt) {
        return;
    }
    session.committing->resendAt.reset();
    step.emit(call_store{step.begin(ledger_commit{session.trainer}), session.committing->change.transact});
}

} // namespace

void pumpSession(samples_step &step, trainer_session &session)
{
    if (session.phase != lease_phase::holding) {
        return;
    }
    startPut(step, session);
    resendCommit(step, session);
    startCommit(step, session);
}

void finishPut(samples_step &step, trainer_session &session, const store_outcome &outcome)
{
    if (!session.putting) {
        return;
    }
    running_put put = std::move(*session.putting);
    session.putting.reset();
    if (!std::holds_alternative<object_stored>(outcome)) {
        putBack(session.ready, put.samples);
        session.putNotBefore = step.at.now + kRetryPause;
        return;
    }
    payload_batch batch = makePayloadBatch(put.samples);
    for (std::size_t position = 0; position < put.samples.size(); ++position) {
        session.stored.push_back({std::move(put.samples[position]), {put.object, position}});
    }
    keepPayload(step, session, put.object, std::move(batch));
}

void finishCommit(samples_step &step, trainer_session &session, const store_outcome &outcome)
{
    if (!session.committing) {
        return;
    }
    if (const auto *committed = std::get_if<store_committed>(&outcome)) {
        const bool released = session.committing->release;
        applyOutcome(step, session, *committed);
        if (released) {
            step.record("trainer-lease-released", session.trainer.value);
            loseLease(step, session, "handed back");
        }
    } else if (std::holds_alternative<store_unknown>(outcome)) {
        session.committing->uncertain = true;
        session.committing->resendAt = step.at.now;
    } else if (const auto *conflict = std::get_if<store_conflict>(&outcome)) {
        const std::string &writeId = session.committing->change.transact.writeId;
        const auto own = std::ranges::find(conflict->rows, writeId, &store_row::writeId);
        loseLease(step, session, own == conflict->rows.end() ? "head row changed" : "own commit seen late");
    } else if (session.committing->uncertain) {
        session.committing->resendAt = step.at.now + kRetryPause;
    } else {
        undoCommit(step, session);
    }
}

void takeFinished(samples_step &step, trainer_session &session, finished_sample sample)
{
    if (session.uncommitted.contains(sample.slot)) {
        return;
    }
    session.uncommitted.insert(sample.slot);
    session.uncommittedBytes += sample.text.size();
    session.ready.push_back(std::move(sample));
    pumpSession(step, session);
}

} // namespace jacinthvale
