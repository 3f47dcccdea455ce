/// Parts of the daemon's reducer. Each file holds one of them; all share the state and append effects.
#pragma once

#include "overloaded.h"

#include <jacinthvale/node.h>

#include <algorithm>

namespace jacinthvale::node {

/// Answers further apart than this do not count as steady: what others wrote meanwhile was not seen. Shorter
/// than the time after which a daemon is taken for dead, whatever the pace of reading.
constexpr milliseconds steadyGap(milliseconds pace)
{
    return std::max(milliseconds{1500}, pace * 3 / 2);
}

/// One call of reduce().
struct step
{
    node_state &state;
    const context &at;
    effects out;

    /// Draws a number for an operation.
    op_id open(purpose what)
    {
        const op_id op{++state.lastOp};
        state.ops.emplace(op, std::move(what));
        return op;
    }

    template <typename Effect>
    void emit(Effect what)
    {
        out.emplace_back(std::move(what));
    }

    void log(std::string what, std::string subject, std::string detail = {})
    {
        out.emplace_back(log_decision{std::move(what), std::move(subject), std::move(detail)});
    }
};

/// Names this process as an owner.
inline owner_name ownName(const node_state &state)
{
    return {state.self.host, state.incarnation};
}

/// Present time of the store's clock, as far as it is known.
std::uint64_t storeTime(const node_state &state, instant now);

// Tables that are followed (node_feeds.cpp).
void startFeeds(step &s);
void followFeeds(step &s);
void onFeedRows(step &s, table_id table, const rows_arrived &what);
void onFeedGone(step &s, table_id table);
void onFeedFailed(step &s, table_id table, const store_failed &what);
table_feed &feedOf(node_state &state, table_id table);
/// A process never goes back to older weights: the newer version counts, whoever told it.
void raiseWeights(upstream_entry &entry, const model_id &model, weight_version version);
// The table of upstreams read together (node_news.cpp).
/// Upstreams that went and are remembered; who asks after an older version is told all.
inline constexpr std::size_t kMostGoneUpstreams = 2000;
/// Daemon to ask for the upstreams instead of the store; none where this one is to read itself.
std::optional<endpoint> newsSource(const step &s, const table_feed &feed);
void onNewsAsked(step &s, const news_asked &what);
void onNewsArrived(step &s, const news_arrived &what);
void onUpstreamRow(step &s, const row_change &change);
/// Drops the upstreams that are not among these.
void keepUpstreams(step &s, const std::set<std::string> &ids);
/// True while the table is read whole, or is to be.
bool readingWhole(const table_feed &feed);
/// Notes that a table was read up to a version.
void noteRead(step &s, table_feed &feed, std::uint64_t version);
/// Pause between two reads of a table, by the size of the fleet.
milliseconds readPace(const node_state &state, table_id table);

// Daemons (node_members.cpp).
void beat(step &s);
void onBeatCommitted(step &s, const rows_committed &what);
void onBeatConflict(step &s, const rows_conflict &what);
void onMemberRow(step &s, const row &what);
bool isAlive(const node_state &state, const owner_name &who, instant now);
/// Living daemons in the order in which they should own the batches of a model, this one among them unless it
/// stops. The same daemon is first for all batches of a model as long as it lives: it knows the upstreams'
/// paces and keeps connections to them.
std::vector<owner_name> ownersInOrder(const node_state &state, const model_id &model, instant now);
/// Delay before this host may take a batch over; rises with its place among the living hosts.
milliseconds takeOverDelay(const node_state &state, const model_id &model, instant now);
void updateReadiness(step &s);

// Batches: acceptance, commit of results and end (node_batches.cpp), pages of results (node_pages.cpp),
// takeover (node_takeover.cpp).
void onBatchReceived(step &s, const batch_received &received);
void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &committed);
void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onAcceptFailed(step &s, const batch_id &id, const store_failed &failure);
void onHeadRow(step &s, const row &headRow);
/// Writes the results of finished items to the store unless a transaction of the batch is running.
void commitFinished(step &s, owned_batch &batch);
void onResultsCommitted(step &s, const batch_id &id);
void onResultsConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onResultsFailed(step &s, const batch_id &id);
void onBatchEndRequested(step &s, const batch_end_asked &request);
/// Ends a batch in the store; reads the head row first where it is unknown.
void continueBatchEnd(step &s, const for_end &operation);
/// Starts to run a batch whose head row names this process as its owner.
void adoptBatch(step &s, owned_batch batch);
/// Reads the head row of a batch from the store.
void requestHeadRow(step &s, op_id op, const batch_id &id);
/// Stops the runs of an owned batch and forgets it; waiting readers are served from the store.
void dropOwnedBatch(step &s, const batch_id &id, const std::string &reason);
/// Ends unfinished items as lost once the retention time of their batch has passed.
void expireOverdueItems(step &s);

void onPageRequested(step &s, const page_asked &request);
void onPageRows(step &s, const for_page &operation, const rows_arrived &rows);
void onItemRequested(step &s, const item_asked &request);
void onItemRows(step &s, for_item operation, const rows_arrived &rows);
/// Answers the waiting readers of a batch for whom there are results or whose wait is over.
void answerReaders(step &s, owned_batch &batch);
/// Reads due pages from the store again and answers the readers of owned batches.
void pollPages(step &s);

/// Claims batches whose owner is dead, each after the takeover delay of this host.
void claimOrphanedBatches(step &s);
void onClaimCommitted(step &s, const for_claim &operation, const rows_committed &committed);
/// Clears the mark of a running claim, whatever its outcome.
void onClaimFinished(step &s, const batch_id &id);
void onLoadRows(step &s, const batch_id &id, const rows_arrived &rows);
/// Reads items, progress and results of a batch from the store, then adopts it.
void loadBatch(step &s, batch_head head);
/// Hands all owned batches over to their next owners, with the progress of their items.
void handOverBatches(step &s);
/// Stores the progress of unfinished items of owned batches at regular intervals.
void checkpointBatches(step &s);

// Runs of items (node_runs.cpp).
/// Ends an item; its result waits to be listed.
void finish(step &s, owned_batch &batch, std::size_t index, item_state outcome);
void startRuns(step &s);
void moveStragglers(step &s);
void onRunProgress(step &s, const for_run &what, const run_progressed &progress);
void onRunEnded(step &s, const for_run &what, call_end end);
void stopRun(step &s, owned_item &item);
void markSpare(owned_batch &batch);

// Forwarded calls (node_calls.cpp).
void onCallReceived(step &s, const call_received &what);
void onCallEnded(step &s, const for_call &what, const call_ended &end);
void watchCalls(step &s);
void onCallerGone(step &s, const caller_gone &what);

// Weights (node_weights.cpp).
void conduct(step &s);
void onLeaseRow(step &s, const row &what);
void onLeaseCommitted(step &s, const rows_committed &what);
void onLeaseConflict(step &s, const rows_conflict &what);
void onLeaseFailed(step &s);
void onLoadReported(step &s, const for_order &what, const load_reported &report);
void onOrderEnded(step &s, const for_order &what, const call_ended &end);

/// Takes an upstream off for a while because of what a request showed.
void rest(step &s, const upstream_id &id, milliseconds time, const std::string &why);

} // namespace jacinthvale::node
