#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Rows of items in one transaction: about 800 KB as transferred. The platform accepts 100 entries and 1 MB,
/// and a host keeps one such transaction of a batch in memory.
constexpr std::size_t kFragmentsPerCommit = 10;

/// Time to store a large batch: that of a small one, and time for its bytes. At most three quarters of the
/// 12 s that trainers wait.
constexpr std::int64_t kAcceptMsPerMegabyte = 500;
constexpr std::int64_t kBytesPerMegabyte = 1'000'000;
constexpr milliseconds kMaxAcceptTimeout{9000};

/// An attempt is over this long after its row was first seen, whatever became of its daemon.
constexpr milliseconds kAttemptLifetime{15'000};

constexpr milliseconds kRemovalTimeout{3000};
constexpr milliseconds kRemovalRetryDelay{2000};

/// Rows that one transaction removes.
constexpr std::size_t kRemovalsPerCommit = 90;

milliseconds acceptTimeout(std::size_t bytes)
{
    const milliseconds transfer{static_cast<std::int64_t>(bytes) * kAcceptMsPerMegabyte / kBytesPerMegabyte};
    return std::min(kMaxAcceptTimeout, kAcceptTimeout + transfer);
}

std::string ownAttemptValue(const node_state &state, const pending_batch &pending)
{
    return encodeAttempt({pending.spec.id, pending.storing->manifest.attempt, ownName(state)});
}

/// Starts a transaction that takes effect only while the batch has no head row and the attempt is not over.
commit_rows attemptTransaction(step &s, const pending_batch &pending)
{
    const batch_id &id = pending.spec.id;
    const batch_storing &storing = *pending.storing;
    return {s.open(accept_operation{id}),
            batchPartition(id),
            {{table_id::heads, id.value, 0},
             {table_id::heads, attemptKey(id, storing.manifest.attempt), storing.attemptVersion}},
            {},
            std::max(milliseconds{1}, storing.until - s.ctx.now)};
}

/// Encodes the next section; the rows of the one before are stored.
void encodeNextSection(pending_batch &pending)
{
    batch_storing &storing = *pending.storing;
    const std::size_t count = nextSectionSize(pending.spec.items, storing.nextItem);
    storing.fragments = splitIntoFragments(encodeSection(pending.spec.items, storing.nextItem, count));
    storing.sentFragments = 0;
    storing.nextItem += count;
    storing.manifest.sections.push_back({count, storing.fragments.size()});
}

/// Writes the head row and the manifest, and removes the row of the attempt.
void commitStoredBatch(step &s, pending_batch &pending)
{
    const batch_id &id = pending.spec.id;
    batch_storing &storing = *pending.storing;
    storing.committingHead = true;
    pending.ownHeadValue = encodeHead(newHead(s, pending));
    commit_rows commit = attemptTransaction(s, pending);
    commit.puts.push_back({table_id::heads, id.value, pending.ownHeadValue});
    const std::vector<std::string> manifest = splitIntoFragments(encodeManifest(storing.manifest));
    for (std::size_t i = 0; i < manifest.size(); ++i) {
        commit.puts.push_back({table_id::items, itemsKey(id, i), manifest[i]});
    }
    commit.removals.push_back({table_id::heads, attemptKey(id, storing.manifest.attempt)});
    s.emit(std::move(commit));
}

void continueStoring(step &s, pending_batch &pending)
{
    const batch_id &id = pending.spec.id;
    batch_storing &storing = *pending.storing;
    if (storing.sentFragments == storing.fragments.size()) {
        if (storing.nextItem == pending.spec.items.size()) {
            commitStoredBatch(s, pending);
            return;
        }
        encodeNextSection(pending);
    }
    commit_rows commit = attemptTransaction(s, pending);
    if (storing.attemptVersion == 0) {
        commit.puts.push_back({table_id::heads, attemptKey(id, storing.manifest.attempt),
                               ownAttemptValue(s.state, pending)});
    }
    const std::size_t end = std::min(storing.sentFragments + kFragmentsPerCommit, storing.fragments.size());
    for (; storing.sentFragments < end; ++storing.sentFragments) {
        commit.puts.push_back({table_id::items,
                               sectionRowKey(id, storing.manifest.attempt, storing.sentRows++),
                               std::move(storing.fragments[storing.sentFragments])});
    }
    s.emit(std::move(commit));
}

/// True if the attempt cannot succeed and this daemon has to remove its rows.
bool isOursToRemove(const step &s, const store_attempt &attempt)
{
    if (attempt.acceptor == ownName(s.state)) {
        const auto pending = s.state.pending.find(attempt.batch);
        return pending == s.state.pending.end() || !pending->second.storing
               || pending->second.storing->manifest.attempt != attempt.attempt;
    }
    if (s.ctx.now - attempt.seenAt < kAttemptLifetime) {
        return false;
    }
    const auto daemons = rankedOwners(s.state, {}, s.ctx.now);
    return !daemons.empty() && daemons.front() == ownName(s.state);
}

/// Ends the attempt for its daemon, which may still be writing.
void abandonAttempt(step &s, const std::string &key, store_attempt attempt)
{
    attempt.abandoned = true;
    s.state.attemptRemoval.op = s.open(attempt_removal_operation{key});
    s.emit(commit_rows{s.state.attemptRemoval.op,
                       batchPartition(attempt.batch),
                       {{table_id::heads, key, attempt.rowVersion}},
                       {{table_id::heads, key, encodeAttempt(attempt)}},
                       kRemovalTimeout});
}

} // namespace

bool isStoringSections(const pending_batch &pending)
{
    return pending.storing && !pending.storing->committingHead;
}

void startStoring(step &s, pending_batch &pending)
{
    const std::size_t bytes = encodedBytes(pending.spec.items);
    pending.storing.emplace();
    pending.storing->manifest.attempt = {s.ctx.random};
    pending.storing->until = s.ctx.now + acceptTimeout(bytes);
    s.log("batch-stored-in-sections", pending.spec.id.value,
          std::to_string(pending.spec.items.size()) + " items of " + std::to_string(bytes)
                  + " bytes exceed one transaction");
    continueStoring(s, pending);
}

void onSectionsStored(step &s, pending_batch &pending, std::uint64_t version)
{
    if (pending.storing->attemptVersion == 0) {
        pending.storing->attemptVersion = version;
    }
    continueStoring(s, pending);
}

void onStoringConflict(step &s, pending_batch &pending, const rows_conflict &conflict)
{
    const std::string key = attemptKey(pending.spec.id, pending.storing->manifest.attempt);
    const row *attempt = findRow(conflict.rows, table_id::heads, key);
    if (attempt != nullptr && pending.storing->attemptVersion == 0
        && attempt->value == ownAttemptValue(s.state, pending)) {
        // An earlier send of the first transaction was applied.
        onSectionsStored(s, pending, attempt->version);
        return;
    }
    const batch_id id = pending.spec.id;
    refusePending(s, id, refusal::not_run, "another daemon ended the attempt, which took too long");
}

bool onAttemptRow(step &s, const row &received)
{
    const std::string &key = received.key.key;
    if (!isAttemptKey(key)) {
        return false;
    }
    if (received.removed) {
        s.state.storeAttempts.erase(key);
        // The id of a batch may look like such a key.
        return !s.state.heads.contains({key});
    }
    auto attempt = decodeAttempt(received);
    if (!attempt) {
        return false;
    }
    store_attempt &known = s.state.storeAttempts.try_emplace(key).first->second;
    if (known.rowVersion <= attempt->rowVersion) {
        attempt->seenAt = known.rowVersion == 0 ? s.ctx.now : known.seenAt;
        known = *std::move(attempt);
    }
    return true;
}

void removeAbandonedAttempts(step &s)
{
    const attempt_removal &removal = s.state.attemptRemoval;
    if (removal.op.value != 0 || removal.nextAt > s.ctx.now || s.state.stopping) {
        return;
    }
    const auto found = std::ranges::find_if(
            s.state.storeAttempts, [&](const auto &entry) { return isOursToRemove(s, entry.second); });
    if (found != s.state.storeAttempts.end()) {
        abandonAttempt(s, found->first, found->second);
    }
}

void onAttemptRemoved(step &s, const attempt_removal_operation &operation, const rows_committed &committed)
{
    s.state.attemptRemoval.op = {};
    const auto found = s.state.storeAttempts.find(operation.attempt);
    if (found == s.state.storeAttempts.end()) {
        return;
    }
    store_attempt &attempt = found->second;
    if (operation.last) {
        s.log("attempt-removed", attempt.batch.value,
              "rows that " + attempt.acceptor.host.value + " stored for a batch which it did not accept");
        s.state.storeAttempts.erase(found);
        return;
    }
    attempt.abandoned = true;
    attempt.rowVersion = std::max(attempt.rowVersion, committed.version);
    s.state.attemptRemoval.op = s.open(attempt_removal_operation{operation.attempt});
    s.emit(read_rows{s.state.attemptRemoval.op, table_id::items, batchPartition(attempt.batch),
                     sectionRowsBegin(attempt.batch, attempt.attempt),
                     sectionRowsEnd(attempt.batch, attempt.attempt)});
}

void onAbandonedRows(step &s, const attempt_removal_operation &operation, const rows_received &rows)
{
    s.state.attemptRemoval.op = {};
    const auto found = s.state.storeAttempts.find(operation.attempt);
    if (found == s.state.storeAttempts.end()) {
        return;
    }
    const store_attempt &attempt = found->second;
    const std::size_t removed = std::min(kRemovalsPerCommit, rows.rows.size());
    const bool last = !rows.truncated && removed == rows.rows.size();
    s.state.attemptRemoval.op = s.open(attempt_removal_operation{operation.attempt, last});
    commit_rows commit{s.state.attemptRemoval.op,
                       batchPartition(attempt.batch),
                       {{table_id::heads, operation.attempt, attempt.rowVersion}},
                       {},
                       kRemovalTimeout};
    for (std::size_t i = 0; i < removed; ++i) {
        commit.removals.push_back({table_id::items, rows.rows[i].row.key.key});
    }
    if (last) {
        commit.removals.push_back({table_id::heads, operation.attempt});
    } else {
        // A new version, so that two daemons do not remove the same rows.
        commit.puts.push_back({table_id::heads, operation.attempt, encodeAttempt(attempt)});
    }
    s.emit(std::move(commit));
}

void onAttemptRemovalFailed(step &s, const attempt_removal_operation &operation, const std::string &reason)
{
    s.state.attemptRemoval = {{}, s.ctx.now + kRemovalRetryDelay};
    s.log("attempt-not-removed", operation.attempt, reason + "; tried again");
}

void onAttemptRemovalConflict(step &s, const attempt_removal_operation &operation,
                              const rows_conflict &conflict)
{
    s.state.attemptRemoval = {{}, s.ctx.now + kRemovalRetryDelay};
    if (const row *attempt = findRow(conflict.rows, table_id::heads, operation.attempt)) {
        onAttemptRow(s, *attempt);
        return;
    }
    // The batch was accepted, or the rows are already removed.
    s.state.storeAttempts.erase(operation.attempt);
}

} // namespace jacinthvale::node
