#include "node_placement.h"
#include "node_rows.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr milliseconds kClaimTimeout{2000};
constexpr milliseconds kReleaseTimeout{3000};

/// Delay before a failed claim is retried.
constexpr milliseconds kClaimRetryDelay{300};

/// Interval between checkpoints of a batch's unfinished texts. A killed owner loses at most this much of each
/// run.
constexpr milliseconds kCheckpointInterval{1000};

/// Unfinished items with fewer chunks and no failures are not stored: they are generated again in less than
/// half a second.
constexpr std::uint64_t kMinCheckpointChunks = 6;

/// Maximum bytes of the progress in one transaction. The platform accepts 1 MB; encoding makes values a third
/// larger.
constexpr std::size_t kMaxProgressBytes = 500'000;

/// Bytes of an item's progress beside its texts and versions.
constexpr std::size_t kProgressOverheadBytes = 96;

std::size_t progressBytes(const owned_item &item)
{
    return kProgressOverheadBytes + item.item.id.value.size() + item.text.size() + item.score.size()
           + item.versions.size() * sizeof(std::uint64_t) + item.build.service.value.size()
           + item.build.softwareVersion.size();
}

std::vector<item_progress> progressOf(const owned_batch &batch)
{
    std::vector<item_progress> result;
    std::size_t bytes = 0;
    for (const owned_item &item : batch.items) {
        const bool complete
                = item.phase == item_phase::unscored || item.phase == item_phase::scoring
                  || (item.phase == item_phase::finished && item.outcome == item_state::succeeded);
        const bool started = item.chunkCount >= kMinCheckpointChunks || item.failures > 0;
        if ((!complete && !(item.isGenerating() && started))
            || bytes + progressBytes(item) > kMaxProgressBytes) {
            continue;
        }
        bytes += progressBytes(item);
        result.push_back({item.item.id, item.text, item.chunkCount,
                          std::vector<std::uint64_t>(item.versions.begin(), item.versions.end()),
                          item.failures, complete, item.score, item.rewardFailures, item.build});
    }
    return result;
}

void putProgress(commit_rows &commit, const batch_id &id, const std::vector<item_progress> &progress)
{
    const std::vector<std::string> fragments = splitIntoFragments(encodeProgress(progress));
    for (std::size_t i = 0; i < fragments.size(); ++i) {
        commit.puts.push_back({table_id::items, progressKey(id, i), fragments[i]});
    }
}

void claimBatch(step &s, batch_head &head)
{
    batch_head claimed = head;
    claimed.owner = ownName(s.state);
    ++claimed.epoch;
    const batch_id &id = head.spec.id;
    s.log("batch-claim", id.value,
          "from " + head.owner.host.value + ", epoch " + std::to_string(claimed.epoch));
    // Marks the current head only: the claimed copy replaces it once the claim is committed.
    head.claiming = true;
    const op_id op = s.open(claim_operation{id, claimed});
    s.emit(commit_rows{op,
                       batchPartition(id),
                       {{table_id::heads, id.value, head.rowVersion}},
                       {{table_id::heads, id.value, encodeHead(claimed)}},
                       kClaimTimeout});
}

void continueLoading(step &s, loading_batch &loading)
{
    const batch_id &id = loading.head.spec.id;
    const op_id op = s.open(load_operation{id});
    loading.op = op;
    const auto read = [&](table_id table, const std::string &first, const std::string &end) {
        s.emit(read_rows{op, table, batchPartition(id), loading.nextFrom.empty() ? first : loading.nextFrom,
                         end});
    };
    switch (loading.stage) {
    case load_stage::rows:
        read(table_id::items, extensionsKeyPrefix(id), batchKeysEnd(id));
        break;
    case load_stage::sections: {
        const store_attempt_id attempt = loading.sections->manifest.attempt;
        read(table_id::items, sectionRowsBegin(id, attempt), sectionRowsEnd(id, attempt));
        break;
    }
    case load_stage::results:
        read(table_id::results, resultKey(id, 0, 0), batchKeysEnd(id));
        break;
    }
}

/// Moves on once a stage is read completely. @returns false after the last stage.
bool startNextStage(loading_batch &loading)
{
    if (loading.stage == load_stage::results) {
        return false;
    }
    loading.nextFrom.clear();
    if (loading.stage == load_stage::rows) {
        if (auto manifest = decodeManifest(loading.itemBytes)) {
            loading.sections = section_reader{*std::move(manifest)};
            loading.stage = load_stage::sections;
            return true;
        }
    }
    loading.stage = load_stage::results;
    return true;
}

/// @returns nullopt if the items cannot be decoded.
std::optional<std::vector<batch_item>> takeItems(loading_batch &loading)
{
    if (!loading.sections) {
        return decodeItems(loading.itemBytes);
    }
    return isComplete(*loading.sections) ? std::optional(std::move(loading.sections->items)) : std::nullopt;
}

void finishLoading(step &s, const batch_id &id)
{
    const auto extracted = s.state.loading.extract(id);
    loading_batch &loading = extracted.mapped();
    auto items = takeItems(loading);
    if (!items) {
        s.log("items-unreadable", id.value, "cannot decode the items; the batch is not run");
        return;
    }
    if (!loading.extensionBytes.empty() && !applyExtensions(loading.extensionBytes, *items)) {
        s.log("item-extensions-unreadable", id.value,
              "cannot decode prompt tokens and reward calls; the batch is not run");
        return;
    }
    owned_batch batch;
    batch.spec = loading.head.spec;
    batch.epoch = loading.head.epoch;
    batch.headVersion = loading.head.rowVersion;
    batch.acceptedAtMs = loading.head.acceptedAtMs;
    std::map<item_id, std::size_t> index;
    for (batch_item &item : *items) {
        index.emplace(item.id, batch.items.size());
        owned_item ownedItem;
        ownedItem.item = std::move(item);
        batch.items.push_back(std::move(ownedItem));
    }
    std::vector<std::size_t> completeTexts;
    std::vector<item_progress> none;
    auto checkpointed = decodeProgress(loading.progressBytes);
    for (item_progress &progress : checkpointed ? *checkpointed : none) {
        const auto found = index.find(progress.id);
        if (found == index.end()) {
            continue;
        }
        owned_item &item = batch.items[found->second];
        item.text = std::move(progress.text);
        item.chunkCount = progress.chunkCount;
        item.versions = {progress.versions.begin(), progress.versions.end()};
        item.build = std::move(progress.build);
        item.stoppedAt = s.ctx.now;
        item.failures = progress.failures;
        item.rewardFailures = progress.rewardFailures;
        item.score = std::move(progress.score);
        if (progress.complete) {
            completeTexts.push_back(found->second);
        }
    }
    for (item_result &result : loading.results) {
        if (const auto found = index.find(result.id); found != index.end()) {
            owned_item &item = batch.items[found->second];
            item.phase = item_phase::committed;
            item.outcome = result.state;
            item.text.clear();
        }
        batch.committedResults.push_back(std::move(result));
    }
    for (const std::size_t complete : completeTexts) {
        if (batch.items[complete].phase == item_phase::waiting) {
            onTextComplete(s, batch, complete);
        }
    }
    s.log("batch-taken-over", id.value,
          "committed " + std::to_string(batch.committedResults.size()) + " of "
                  + std::to_string(batch.items.size()));
    s.emit(count{"batches_taken_over"});
    adoptBatch(s, std::move(batch));
}

} // namespace

void claimOrphanedBatches(step &s)
{
    node_state &state = s.state;
    if (state.stopping || !state.configKnown || !feedOf(state, table_id::daemons).synced) {
        return;
    }
    for (auto &[id, head] : state.heads) {
        if (head.ended || head.claiming || state.owned.contains(id) || state.loading.contains(id)
            || state.pending.contains(id)) {
            continue;
        }
        if (head.owner == ownName(state)) {
            // Another daemon accepted the batch for this process or handed it over to it, or an unanswered
            // write of this process was applied.
            loadBatch(s, head);
            continue;
        }
        if (isAlive(state, head.owner, s.ctx.now)) {
            head.orphanSince.reset();
            continue;
        }
        if (!head.orphanSince) {
            head.orphanSince = s.ctx.now;
        }
        if (s.ctx.now - *head.orphanSince >= takeoverDelay(state, head.spec.model, s.ctx.now)) {
            claimBatch(s, head);
        }
    }
}

void onClaimFinished(step &s, const batch_id &id)
{
    const auto found = s.state.heads.find(id);
    if (found != s.state.heads.end()) {
        found->second.claiming = false;
        // Delays the retry if the claim failed.
        found->second.orphanSince = s.ctx.now + kClaimRetryDelay;
    }
}

void onClaimCommitted(step &s, const claim_operation &operation, const rows_committed &committed)
{
    batch_head head = operation.claimedHead;
    head.rowVersion = committed.version;
    batch_head &cached = s.state.heads[operation.batch];
    if (cached.rowVersion > head.rowVersion) {
        return;
    }
    cached = head;
    loadBatch(s, std::move(head));
}

void loadBatch(step &s, batch_head head)
{
    const batch_id id = head.spec.id;
    loading_batch loading;
    loading.head = std::move(head);
    const auto stored = s.state.loading.insert_or_assign(id, std::move(loading)).first;
    continueLoading(s, stored->second);
}

void onLoadRows(step &s, const batch_id &id, const rows_received &rows)
{
    const auto found = s.state.loading.find(id);
    if (found == s.state.loading.end() || found->second.op != rows.op) {
        return;
    }
    loading_batch &loading = found->second;
    if (loading.stage == load_stage::sections) {
        readSectionRows(*loading.sections, rows.rows);
    }
    for (const row_change &change : rows.rows) {
        if (loading.stage != load_stage::rows) {
            break;
        }
        if (isExtensionsKey(id, change.row.key.key)) {
            loading.extensionBytes += change.row.value;
        } else if (isProgressKey(id, change.row.key.key)) {
            loading.progressBytes += change.row.value;
        } else {
            loading.itemBytes += change.row.value;
        }
    }
    if (loading.stage == load_stage::results) {
        for (const row_change &change : rows.rows) {
            loading.assembler.add(change.row);
        }
        std::vector<item_result> results = loading.assembler.takeComplete();
        std::ranges::move(results, std::back_inserter(loading.results));
    }
    if (rows.truncated && !rows.rows.empty()) {
        loading.nextFrom = rows.rows.back().row.key.key + '\1';
        continueLoading(s, loading);
        return;
    }
    if (startNextStage(loading)) {
        continueLoading(s, loading);
        return;
    }
    const batch_head &cached = s.state.heads[id];
    if (cached.rowVersion > loading.head.rowVersion && (cached.ended || cached.epoch != loading.head.epoch)) {
        s.log("batch-not-taken-over", id.value,
              cached.ended ? "ended while loading" : "owner changed while loading");
        s.state.loading.erase(found);
        return;
    }
    loading.head.rowVersion = std::max(loading.head.rowVersion, cached.rowVersion);
    finishLoading(s, id);
}

void handOverBatches(step &s)
{
    for (auto &[id, batch] : s.state.owned) {
        if (batch.handingOver || batch.commitOp.value != 0) {
            continue;
        }
        batch.handingOver = true;
        batch_head released = s.state.heads[id];
        const auto owners = rankedOwners(s.state, batch.spec.model, s.ctx.now);
        released.owner = owners.empty() ? owner_name{} : owners.front();
        ++released.epoch;
        const op_id op = s.open(release_operation{id});
        commit_rows commit{op,
                           batchPartition(id),
                           {{table_id::heads, id.value, batch.headVersion}},
                           {{table_id::heads, id.value, encodeHead(released)}},
                           kReleaseTimeout};
        putProgress(commit, id, progressOf(batch));
        s.emit(std::move(commit));
    }
}

void checkpointBatches(step &s)
{
    for (auto &[id, batch] : s.state.owned) {
        if (batch.handingOver || batch.nextCheckpoint > s.ctx.now) {
            continue;
        }
        batch.nextCheckpoint = s.ctx.now + kCheckpointInterval;
        const std::vector<item_progress> progress = progressOf(batch);
        if (progress.empty()) {
            continue;
        }
        commit_rows commit{s.open(checkpoint_operation{id}),
                           batchPartition(id),
                           {{table_id::heads, id.value, batch.headVersion}},
                           {},
                           kCheckpointInterval};
        putProgress(commit, id, progress);
        s.emit(std::move(commit));
    }
}

} // namespace jacinthvale::node
