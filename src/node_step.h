/// Internal functions of the node daemon's reducer, grouped by source file. All work on the shared state of a
/// step and append effects to it.
#pragma once

#include "overloaded.h"

#include <jacinthvale/node.h>

#include <algorithm>

namespace jacinthvale::node {

/// Longest time between two answers of a feed without a gap: after a longer time, writes of others may have
/// gone unnoticed. Shorter than the time after which a daemon counts as dead, for any poll interval.
constexpr milliseconds maxAnswerGap(milliseconds pollInterval)
{
    return std::max(milliseconds{1500}, pollInterval * 3 / 2);
}

/// Context of one call of reduce().
struct step
{
    node_state &state;
    const context &ctx;
    effects out;

    /// Registers a new operation. @returns its id.
    op_id open(operation_purpose purpose)
    {
        const op_id op{++state.lastOp};
        state.ops.emplace(op, std::move(purpose));
        return op;
    }

    template <typename Effect>
    void emit(Effect emitted)
    {
        out.emplace_back(std::move(emitted));
    }

    void log(std::string eventName, std::string subject, std::string detail = {})
    {
        out.emplace_back(log_decision{std::move(eventName), std::move(subject), std::move(detail)});
    }
};

/// @returns the name under which this process owns batches.
inline owner_name ownName(const node_state &state)
{
    return {state.self.host, state.incarnation};
}

/// @returns the estimated current time of the store's clock, in ms.
std::uint64_t storeTime(const node_state &state, instant now);

// Table feeds (node_feeds.cpp).
void startFeeds(step &s);
void followFeeds(step &s);
void onFeedRows(step &s, table_id table, const rows_received &rows);
void onFeedGone(step &s, table_id table);
void onFeedFailed(step &s, table_id table, const store_failed &failure);
table_feed &feedOf(node_state &state, table_id table);
/// Raises the known version of a model's weights. A process never returns to older weights, so the highest
/// reported version applies, regardless of its source.
void raiseWeights(upstream_entry &entry, const model_id &model, weight_version version);

// Shared reading of the table of upstreams (node_news.cpp).
/// Maximum number of removed upstreams to remember; a request for changes after an older version gets the
/// full table.
inline constexpr std::size_t kMaxRemovedUpstreams = 2000;
/// @returns the daemon from which to read the table of upstreams; none if this process reads it from the
/// store.
std::optional<endpoint> newsSource(const step &s, const table_feed &feed);
void onNewsAsked(step &s, const upstream_delta_requested &request);
void onNewsArrived(step &s, const upstream_delta_received &received);
void onUpstreamRow(step &s, const row_change &change);
/// Removes all upstreams whose id is not in `ids`.
void keepUpstreams(step &s, const std::set<std::string> &ids);
/// True while a full read of the table is pending or in progress.
bool readingWhole(const table_feed &feed);
/// Records that a table was read up to a version.
void noteRead(step &s, table_feed &feed, std::uint64_t version);
/// Time between two reads of a table, for the current size of the fleet.
milliseconds readPace(const node_state &state, table_id table);

// Membership of daemons (node_members.cpp).
void beat(step &s);
void onBeatCommitted(step &s, const rows_committed &committed);
void onBeatConflict(step &s, const rows_conflict &conflict);
void onMemberRow(step &s, const row &changed);
bool isAlive(const node_state &state, const owner_name &who, instant now);
/// @returns the living daemons in order of preference as owners of a model's batches, including this one
/// unless it is stopping. The same daemon stays first for all batches of a model while it lives, because it
/// knows the inter-chunk latencies of the upstreams and keeps connections to them.
std::vector<owner_name> ownersInOrder(const node_state &state, const model_id &model, instant now);
/// Delay before this host may take over a batch; increases with its position in ownersInOrder().
milliseconds takeOverDelay(const node_state &state, const model_id &model, instant now);
void updateReadiness(step &s);

// Batches: accept, commit results, end (node_batches.cpp), read results (node_pages.cpp), take over
// (node_takeover.cpp).
void onBatchReceived(step &s, const batch_received &request);
void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &committed);
void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onAcceptFailed(step &s, const batch_id &id, const store_failed &failure);
void onHeadRow(step &s, const row &changed);
void listFinished(step &s, owned_batch &batch);
void onListed(step &s, const batch_id &id);
void onListConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onListFailed(step &s, const batch_id &id);
void onBatchEndAsked(step &s, const batch_end_requested &request);
void continueEnd(step &s, const batch_end_operation &operation);
/// Starts to run a batch whose head row names this process as the owner.
void own(step &s, owned_batch batch);
/// Reads the head row of a batch.
void readHead(step &s, op_id op, const batch_id &id);
void dropOwned(step &s, const batch_id &id, const std::string &reason);
void expireOwned(step &s);

void onPageAsked(step &s, const page_requested &request);
void onPageRows(step &s, const page_operation &operation, const rows_received &rows);
void onItemAsked(step &s, const item_requested &request);
void onItemRows(step &s, item_operation operation, const rows_received &rows);
void serveReaders(step &s, owned_batch &batch);
void pollPages(step &s);

void takeOrphans(step &s);
void onClaimCommitted(step &s, const claim_operation &operation, const rows_committed &committed);
void onClaimEnded(step &s, const batch_id &id);
void onLoadRows(step &s, const batch_id &id, const rows_received &rows);
void loadBatch(step &s, batch_head head);
void handOver(step &s);
void checkpoint(step &s);

// Runs of items (node_runs.cpp).
/// Marks an item as finished and queues its result for commit.
void finishItem(step &s, owned_batch &batch, std::size_t index, item_state outcome);
void startRuns(step &s);
void moveStragglers(step &s);
void onRunProgress(step &s, const run_operation &operation, const run_progressed &progress);
void onRunEnded(step &s, const run_operation &operation, call_end end);
void stopRun(step &s, owned_item &item);
void markSurplus(owned_batch &batch);

// Forwarded calls (node_calls.cpp).
void onCallReceived(step &s, const call_received &request);
void onCallEnded(step &s, const call_operation &operation, const call_ended &end);
void watchCalls(step &s);
void onCallerGone(step &s, const caller_disconnected &disconnect);

// Weights (node_weights.cpp).
void runWeightsLeader(step &s);
void onLeaseRow(step &s, const row &changed);
void onLeaseCommitted(step &s, const rows_committed &committed);
void onLeaseConflict(step &s, const rows_conflict &conflict);
void onLeaseFailed(step &s);
void onUpstreamStatus(step &s, const order_operation &operation, const upstream_status_received &report);
void onOrderEnded(step &s, const order_operation &operation, const call_ended &end);

/// Excludes an upstream from new work for a while, after a failed request.
void ejectUpstream(step &s, const upstream_id &id, milliseconds duration, const std::string &reason);

} // namespace jacinthvale::node
