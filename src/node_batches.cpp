#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <range/v3/algorithm/all_of.hpp>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// Limits of results per transaction. The platform accepts 100 entries and 1 MB; encoding makes values a
/// third larger.
constexpr std::size_t kMaxResultRowsPerCommit = 80;
constexpr std::size_t kMaxResultBytesPerCommit = 600'000;

/// Retry delay sent when a batch could not be stored, or when this daemon has no configuration yet. The store
/// may have rejected this host only for a moment.
constexpr milliseconds kRetryAfterStoreFailure{500};

/// Batches are refused immediately if the store has not answered for this long, directly or through a peer.
/// The feeds alone query it several times a second, so such a gap is an outage and not a slow answer.
constexpr milliseconds kStoreOutageThreshold{1000};

/// Retry delay sent during an outage. Outages of this platform's store last 2 to 7 s; callers wait at most a
/// third of their total time for one retry, 4 s of 12.
constexpr milliseconds kRetryAfterOutage{3500};

constexpr milliseconds kResultsCommitTimeout{4000};
constexpr milliseconds kEndTimeout{3000};

std::uint64_t totalTokens(const batch &spec)
{
    return ranges::accumulate(spec.items | ranges::views::transform([](const batch_item &item) {
                                  return std::uint64_t{item.tokens};
                              }),
                              std::uint64_t{0});
}

void answerResubmission(step &s, exchange_id exchange, const batch_head &head, const account_id &account)
{
    if (!mayAccess(head.spec.account, account)) {
        refuseForeignBatch(s, exchange, head.spec.id, account);
        return;
    }
    s.log("batch-already-accepted", head.spec.id.value, "accepted earlier, or stored by another daemon");
    s.emit(accept_batch{exchange});
}

void adoptAcceptedBatch(step &s, batch spec, std::uint64_t epoch, std::uint64_t headVersion,
                        std::uint64_t acceptedAtMs)
{
    owned_batch owned;
    owned.epoch = epoch;
    owned.headVersion = headVersion;
    owned.acceptedAtMs = acceptedAtMs;
    for (batch_item &item : spec.items) {
        owned_item ownedItem;
        ownedItem.item = std::move(item);
        owned.items.push_back(std::move(ownedItem));
    }
    spec.items.clear();
    owned.spec = std::move(spec);
    adoptBatch(s, std::move(owned));
}

/// Returns the result of a finished item as it is committed; only succeeded items have a text and versions.
item_result resultOf(const owned_item &item)
{
    if (item.outcome != item_state::succeeded) {
        return {item.item.id, item.outcome, {}, {}, {}};
    }
    return {item.item.id, item.outcome, item.text,
            std::vector<std::uint64_t>(item.versions.begin(), item.versions.end()), item.score};
}

/// @returns the transaction that stores a whole batch, without its operation.
commit_rows acceptTransaction(const batch &spec, const std::string &headValue)
{
    const batch_id &id = spec.id;
    commit_rows commit{{}, batchPartition(id), {{table_id::heads, id.value, 0}}, {}, kAcceptTimeout};
    commit.puts.push_back({table_id::heads, id.value, headValue});
    const std::vector<std::string> fragments = splitIntoFragments(encodeItems(spec.items));
    for (std::size_t i = 0; i < fragments.size(); ++i) {
        commit.puts.push_back({table_id::items, itemsKey(id, i), fragments[i]});
    }
    const std::vector<std::string> extensions = splitIntoFragments(encodeExtensions(spec.items));
    for (std::size_t i = 0; i < extensions.size(); ++i) {
        commit.puts.push_back({table_id::items, extensionsKey(id, i), extensions[i]});
    }
    return commit;
}

} // namespace

void answerPendingExchanges(step &s, const batch_id &id, const std::function<void(exchange_id)> &answer)
{
    const auto extracted = s.state.pending.extract(id);
    if (!extracted.empty()) {
        std::ranges::for_each(extracted.mapped().exchanges, answer);
    }
}

batch_head newHead(const step &s, const pending_batch &pending)
{
    const batch &spec = pending.spec;
    batch_head head;
    const auto owners = rankedOwners(s.state, spec.model, s.ctx.now);
    head.owner = owners.empty() ? ownName(s.state) : owners.front();
    head.epoch = 1;
    head.total = spec.items.size();
    head.acceptedAtMs = storeTime(s.state, pending.receivedAt);
    head.workTokens = totalTokens(spec);
    head.spec = {spec.id,         spec.host,         spec.path, spec.model,  spec.step,
                 spec.minVersion, spec.groupsWanted, {},        spec.account};
    return head;
}

void adoptBatch(step &s, owned_batch batch)
{
    const batch_id id = batch.spec.id;
    batch.ownedAt = s.ctx.now;
    for (owned_item &item : batch.items) {
        item.timeline.enter(item.timeline.stage(), s.ctx.now);
    }
    markSurplus(batch);
    reuseOutputs(s, batch);
    owned_batch &adopted = s.state.owned.insert_or_assign(id, std::move(batch)).first->second;
    recordBatchDemand(s, adopted);
    startRewards(s);
    startRuns(s);
    commitFinished(s, adopted);
}

void requestHeadRow(step &s, op_id op, const batch_id &id)
{
    s.emit(read_rows{op, table_id::heads, batchPartition(id), id.value, id.value + '\1'});
}

void onBatchReceived(step &s, const batch_received &received)
{
    node_state &state = s.state;
    const batch_id &id = received.spec.id;
    const route *matched = findRoute(state.config, received.spec.host, received.spec.path);
    const auto account = admitRequest(s, received.exchange, id.value, received.key,
                                      matched != nullptr && matched->isPublic);
    if (!account) {
        return;
    }
    if (const auto head = state.heads.find(id); head != state.heads.end()) {
        answerResubmission(s, received.exchange, head->second, *account);
        return;
    }
    if (const auto found = state.pending.find(id); found != state.pending.end()) {
        if (mayAccess(found->second.spec.account, *account)) {
            found->second.exchanges.push_back(received.exchange);
        } else {
            refuseForeignBatch(s, received.exchange, id, *account);
        }
        return;
    }
    if (state.stopping || !state.configKnown) {
        s.log("batch-refused", id.value, state.stopping ? "stopping" : "no configuration yet");
        // Other daemons take it at once.
        s.emit(refuse_call{received.exchange, refusal::not_run,
                           state.stopping ? milliseconds{0} : kRetryAfterStoreFailure});
        return;
    }
    if (s.ctx.now - state.lastStoreAnswerAt > kStoreOutageThreshold) {
        s.log("batch-refused", id.value,
              "no answer of the store for " + std::to_string((s.ctx.now - state.lastStoreAnswerAt).count())
                      + " ms");
        s.emit(refuse_call{received.exchange, refusal::not_run, kRetryAfterOutage});
        return;
    }
    pending_batch &pending = state.pending[id];
    pending = {received.spec, {received.exchange}, {}, s.ctx.now};
    pending.spec.account = *account;
    // A batch that is larger even before it is encoded is not encoded in one piece.
    if (encodedBytes(pending.spec.items) > kMaxTransactionBytes) {
        startStoring(s, pending);
        return;
    }
    pending.ownHeadValue = encodeHead(newHead(s, pending));
    commit_rows commit = acceptTransaction(pending.spec, pending.ownHeadValue);
    if (!fitsOneTransaction(commit)) {
        startStoring(s, pending);
        return;
    }
    commit.op = s.open(accept_operation{id});
    s.emit(std::move(commit));
}

void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &committed)
{
    if (const auto found = s.state.pending.find(id);
        found != s.state.pending.end() && isStoringSections(found->second)) {
        onSectionsStored(s, found->second, committed.version);
        return;
    }
    auto extracted = s.state.pending.extract(id);
    if (extracted.empty()) {
        return;
    }
    pending_batch &accepted = extracted.mapped();
    if (accepted.storing) {
        s.state.storeAttempts.erase(attemptKey(id, accepted.storing->manifest.attempt));
    }
    batch_head head = *decodeHead({{table_id::heads, batchPartition(id), id.value},
                                   committed.version,
                                   accepted.ownHeadValue,
                                   false});
    s.log("batch-accepted", id.value,
          "items " + std::to_string(head.total) + ", step " + std::to_string(head.spec.step) + ", model "
                  + head.spec.model.value,
          {{"model", head.spec.model.value},
           {"step", static_cast<std::int64_t>(head.spec.step)},
           {"account", head.spec.account.value},
           {"receivedAgoMs", (s.ctx.now - accepted.receivedAt).count()}});
    for (const exchange_id exchange : accepted.exchanges) {
        s.emit(accept_batch{exchange});
    }
    const std::uint64_t acceptedAtMs = head.acceptedAtMs;
    batch_head &cached = s.state.heads[id];
    if (cached.rowVersion > committed.version) {
        // The feed has already delivered a later version of the head row, such as the end of the batch.
        return;
    }
    cached = std::move(head);
    if (cached.owner != ownName(s.state)) {
        return;
    }
    adoptAcceptedBatch(s, std::move(accepted.spec), 1, committed.version, acceptedAtMs);
}

void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &conflict)
{
    const auto found = s.state.pending.find(id);
    if (found == s.state.pending.end()) {
        return;
    }
    const row *head = findRow(conflict.rows, table_id::heads, id.value);
    if (head != nullptr && conflict.afterLostAnswer && head->value == found->second.ownHeadValue) {
        onAcceptCommitted(s, id, {conflict.op, head->version, 0});
        return;
    }
    if (head == nullptr && found->second.storing) {
        onStoringConflict(s, found->second, conflict);
        return;
    }
    if (head != nullptr) {
        onHeadRow(s, *head);
    }
    const account_id account = found->second.spec.account;
    const auto stored = head == nullptr ? std::nullopt : decodeHead(*head);
    answerPendingExchanges(s, id, [&](exchange_id exchange) {
        if (stored) {
            answerResubmission(s, exchange, *stored, account);
        } else {
            s.log("batch-already-accepted", id.value, "stored by another daemon, head row not readable");
            s.emit(accept_batch{exchange});
        }
    });
}

void onAcceptFailed(step &s, const batch_id &id, const store_failed &failure)
{
    const auto found = s.state.pending.find(id);
    // Sections without their head row are no batch.
    const bool mayBeStored
            = failure.outcomeUnknown && found != s.state.pending.end() && !isStoringSections(found->second);
    const refusal reason = mayBeStored       ? refusal::may_have_run
                           : failure.invalid ? refusal::not_storable
                                             : refusal::not_run;
    refusePending(s, id, reason, failure.reason);
}

void refusePending(step &s, const batch_id &id, refusal reason, const std::string &detail)
{
    const std::string consequence = reason == refusal::may_have_run   ? "; may still be stored"
                                    : reason == refusal::not_storable ? "; refused for good"
                                                                      : "; not stored";
    s.log("batch-not-stored", id.value, detail + consequence);
    s.emit(count{"batches_not_stored"});
    answerPendingExchanges(s, id, [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, reason, kRetryAfterStoreFailure});
    });
}

const row *findRow(const std::vector<row> &rows, table_id table, const std::string &key)
{
    const auto found = std::ranges::find_if(rows, [&](const row &r) {
        return r.key.table == table && r.key.key == key && !r.removed && r.version != 0;
    });
    return found == rows.end() ? nullptr : &*found;
}

void onHeadRow(step &s, const row &headRow)
{
    if (onAttemptRow(s, headRow)) {
        return;
    }
    const batch_id id{headRow.key.key};
    if (headRow.removed) {
        s.state.heads.erase(id);
        dropOwnedBatch(s, id, "head row deleted");
        return;
    }
    auto head = decodeHead(headRow);
    if (!head) {
        s.log("head-unreadable", id.value);
        return;
    }
    batch_head &cached = s.state.heads[id];
    if (cached.rowVersion > head->rowVersion) {
        return;
    }
    if (cached.owner == head->owner) {
        head->orphanSince = cached.orphanSince;
    }
    head->claiming = cached.claiming;
    cached = *std::move(head);
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end() || found->second.headVersion > cached.rowVersion) {
        return;
    }
    if (cached.ended) {
        dropOwnedBatch(s, id, "ended");
    } else if (cached.owner != ownName(s.state) || cached.epoch != found->second.epoch) {
        dropOwnedBatch(s, id, "owned by " + cached.owner.host.value);
    } else {
        found->second.headVersion = cached.rowVersion;
    }
}

namespace {

/// Logs the items that finished last, since they determine the duration of a training step.
void logSlowest(step &s, const owned_batch &batch)
{
    constexpr std::size_t kShownItems = 3;
    std::vector<const owned_item *> finished;
    for (const owned_item &item : batch.items) {
        if (item.finishedAt != instant{} && item.firstStartedAt != instant{}) {
            finished.push_back(&item);
        }
    }
    std::ranges::sort(finished, std::greater<>{}, [](const owned_item *item) { return item->finishedAt; });
    finished.resize(std::min(finished.size(), kShownItems));
    std::string text;
    for (const owned_item *item : finished) {
        text += absl::StrFormat("%s: chunks %d, expected tokens %.0f, "
                                "started after %d ms, finished after %d ms, moves %d%s; ",
                                item->item.id.value, item->chunkCount, expectedTokens(item->item),
                                (item->firstStartedAt - batch.ownedAt).count(),
                                (item->finishedAt - batch.ownedAt).count(), item->moveCount,
                                item->isSurplus ? ", surplus" : "");
    }
    s.log("batch-slowest", batch.spec.id.value, text);
}

} // namespace

void dropOwnedBatch(step &s, const batch_id &id, const std::string &reason)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    logSlowest(s, batch);
    logStepTimeline(s, batch);
    const auto uncommitted = std::ranges::count_if(
            batch.items, [](const owned_item &item) { return item.phase != item_phase::committed; });
    for (std::size_t index = 0; index < batch.items.size(); ++index) {
        stopRun(s, batch.items[index]);
        stopReward(s, id, index, batch.items[index]);
    }
    retainOutputs(s, batch);
    // From now on, the waiting readers are served from the store.
    const std::vector<waiting_reader> readers = std::move(batch.readers);
    const account_id account = batch.spec.account;
    s.state.owned.erase(found);
    s.log("batch-dropped", id.value, reason + "; items not committed " + std::to_string(uncommitted));
    for (const waiting_reader &reader : readers) {
        page_read page{reader.exchange, id, account, reader.after, reader.until, s.ctx.now, false, {}};
        page.requestedAt = s.ctx.now;
        s.state.pages.insert_or_assign(reader.exchange, page);
    }
}

namespace {

/// Fragments of a long result in one transaction: about 800 KB as transferred.
constexpr std::size_t kLongResultFragmentsPerCommit = 10;

/// Leaves only the first of the results that are about to be committed.
void commitAlone(owned_batch &batch)
{
    batch.finished.insert(batch.finished.begin(), batch.committing.begin() + 1, batch.committing.end());
    batch.committing.resize(1);
}

/// @returns the next rows of a result that exceeds one transaction. Fragment 0 commits it: it follows the
/// others.
std::vector<row_put> nextLongResultPuts(owned_batch &batch)
{
    const batch_id &id = batch.spec.id;
    const std::size_t position = batch.committedResults.size();
    const std::vector<std::string> fragments
            = splitIntoFragments(encodeResult(resultOf(batch.items[batch.committing.front()])));
    batch.sentFragments = std::min(kLongResultFragmentsPerCommit, fragments.size() - batch.storedFragments);
    std::vector<row_put> puts;
    for (std::size_t i = 0; i < batch.sentFragments; ++i) {
        const std::size_t number = batch.storedFragments + i;
        puts.push_back({table_id::results, resultKey(id, position, number + 1), fragments[number]});
    }
    if (puts.empty()) {
        puts.push_back({table_id::results, resultKey(id, position, 0), encodeLongResult(fragments.size())});
    }
    return puts;
}

} // namespace

void commitFinished(step &s, owned_batch &batch)
{
    if (batch.commitOp.value != 0 || batch.handingOver) {
        return;
    }
    if (batch.committing.empty()) {
        if (batch.finished.empty()) {
            return;
        }
        std::size_t bytes = 0;
        std::size_t rows = 0;
        while (!batch.finished.empty()) {
            const owned_item &item = batch.items[batch.finished.front()];
            const std::size_t itemRows = item.text.size() / kMaxRowBytes + 1;
            const bool first = batch.committing.empty();
            if (!first
                && (rows + itemRows > kMaxResultRowsPerCommit
                    || bytes + item.text.size() > kMaxResultBytesPerCommit)) {
                break;
            }
            rows += itemRows;
            bytes += item.text.size();
            batch.committing.push_back(batch.finished.front());
            batch.finished.pop_front();
        }
    }
    const batch_id &id = batch.spec.id;
    const std::size_t position = batch.committedResults.size();
    commit_rows commit{{},
                       batchPartition(id),
                       {{table_id::heads, id.value, batch.headVersion},
                        {table_id::results, resultKey(id, position, 0), 0}},
                       {},
                       kResultsCommitTimeout};
    for (std::size_t i = 0; i < batch.committing.size(); ++i) {
        const owned_item &item = batch.items[batch.committing[i]];
        const std::vector<std::string> fragments = splitIntoFragments(encodeResult(resultOf(item)));
        for (std::size_t f = 0; f < fragments.size(); ++f) {
            commit.puts.push_back({table_id::results, resultKey(id, position + i, f), fragments[f]});
        }
    }
    if (!fitsOneTransaction(commit)) {
        commitAlone(batch);
        commit.puts = nextLongResultPuts(batch);
    }
    batch.commitOp = s.open(commit_operation{id});
    commit.op = batch.commitOp;
    s.emit(std::move(commit));
}

void onResultsCommitted(step &s, const batch_id &id)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    batch.commitOp = {};
    if (batch.sentFragments > 0) {
        batch.storedFragments += std::exchange(batch.sentFragments, 0);
        commitFinished(s, batch);
        return;
    }
    batch.storedFragments = 0;
    for (const std::size_t index : batch.committing) {
        owned_item &item = batch.items[index];
        item.phase = item_phase::committed;
        item.committedAt = s.ctx.now;
        item.timeline.enter(item_stage::commit, s.ctx.now);
        batch.committedResults.push_back(resultOf(item));
        item.text.clear();
    }
    s.emit(count{"items_listed", static_cast<double>(batch.committing.size())});
    batch.committing.clear();
    answerReaders(s, batch);
    commitFinished(s, batch);
}

void onResultsConflict(step &s, const batch_id &id, const rows_conflict &conflict)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    owned_batch &batch = found->second;
    batch.commitOp = {};
    batch.sentFragments = 0;
    const row *head = findRow(conflict.rows, table_id::heads, id.value);
    const bool committed
            = findRow(conflict.rows, table_id::results, resultKey(id, batch.committedResults.size(), 0))
              != nullptr;
    if (head == nullptr) {
        dropOwnedBatch(s, id, "head row is missing");
        return;
    }
    onHeadRow(s, *head);
    if (!s.state.owned.contains(id)) {
        return;
    }
    if (committed) {
        // Only the owner of this epoch writes result rows, so an earlier send of this transaction was
        // applied.
        onResultsCommitted(s, id);
        return;
    }
    commitFinished(s, batch);
}

void onResultsFailed(step &s, const batch_id &id)
{
    const auto found = s.state.owned.find(id);
    if (found == s.state.owned.end()) {
        return;
    }
    // Commits the same results at the same positions again: the unanswered transaction may still be applied.
    found->second.commitOp = {};
    found->second.sentFragments = 0;
    s.log("results-not-listed", id.value,
          std::to_string(found->second.committing.size())
                  + " results not confirmed by the store; committing them again");
    commitFinished(s, found->second);
}

void onBatchEndRequested(step &s, const batch_end_requested &request)
{
    const auto account = admitBatchRequest(s, request.exchange, request.batch, request.key);
    if (account && takesStoreRequest(s, request.exchange, request.batch.value)) {
        continueBatchEnd(s, {request.batch, request.exchange, *account, false});
    }
}

void continueBatchEnd(step &s, const batch_end_operation &operation)
{
    const auto found = s.state.heads.find(operation.batch);
    if (found == s.state.heads.end()) {
        if (operation.readingHead) {
            s.emit(refuse_call{operation.exchange, refusal::not_found, {}});
            return;
        }
        requestHeadRow(
                s, s.open(batch_end_operation{operation.batch, operation.exchange, operation.account, true}),
                operation.batch);
        return;
    }
    if (!mayAccess(found->second.spec.account, operation.account)) {
        refuseForeignBatch(s, operation.exchange, operation.batch, operation.account);
        return;
    }
    if (found->second.ended) {
        s.emit(answer_batch_ended{operation.exchange});
        return;
    }
    batch_head ended = found->second;
    ended.ended = true;
    const op_id op
            = s.open(batch_end_operation{operation.batch, operation.exchange, operation.account, false});
    s.emit(commit_rows{op,
                       batchPartition(operation.batch),
                       {{table_id::heads, operation.batch.value, found->second.rowVersion}},
                       {{table_id::heads, operation.batch.value, encodeHead(ended)}},
                       kEndTimeout});
}

void expireOverdueItems(step &s)
{
    const std::uint64_t now = storeTime(s.state, s.ctx.now);
    for (auto &[id, batch] : s.state.owned) {
        const route *batchRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
        const bool expired
                = batchRoute != nullptr && batchRoute->retention.count() > 0 && batch.acceptedAtMs > 0
                  && now > batch.acceptedAtMs + static_cast<std::uint64_t>(batchRoute->retention.count());
        if (!expired) {
            continue;
        }
        for (std::size_t i = 0; i < batch.items.size(); ++i) {
            owned_item &item = batch.items[i];
            if (item.phase != item_phase::finished && item.phase != item_phase::committed) {
                stopRun(s, item);
                stopReward(s, id, i, item);
                finishItem(s, batch, i, item_state::lost);
                s.log("item-expired", item.item.id.value, "retention time passed, batch " + id.value);
            }
        }
        commitFinished(s, batch);
    }
}

} // namespace jacinthvale::node
