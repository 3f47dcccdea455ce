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
void pollFeeds(step &s);
void onFeedRows(step &s, table_id table, const rows_arrived &what);
void onFeedHistoryTruncated(step &s, table_id table);
void onFeedFailed(step &s, table_id table, const store_failed &what);
table_feed &feedOf(node_state &state, table_id table);
/// A process never goes back to older weights: the newer version counts, whoever told it.
void advanceWeightVersion(upstream_entry &entry, const model_id &model, weight_version version);
// The table of upstreams read together (node_news.cpp).
/// Upstreams that went and are remembered; who asks after an older version is told all.
inline constexpr std::size_t kMaxRemovedUpstreams = 2000;
/// Daemon to ask for the upstreams instead of the store; none where this one is to read itself.
std::optional<endpoint> upstreamDeltaSource(const step &s, const table_feed &feed);
void onUpstreamDeltaRequested(step &s, const news_asked &what);
void onUpstreamDeltaReceived(step &s, const news_arrived &what);
void onUpstreamRow(step &s, const row_change &change);
/// Drops the upstreams that are not among these.
void retainUpstreams(step &s, const std::set<std::string> &ids);
/// True while the table is read whole, or is to be.
bool isFullReadPending(const table_feed &feed);
/// Notes that a table was read up to a version.
void recordFeedRead(step &s, table_feed &feed, std::uint64_t version);
/// Pause between two reads of a table, by the size of the fleet.
milliseconds pollIntervalOf(const node_state &state, table_id table);

// Daemons (node_members.cpp).
void sendHeartbeat(step &s);
void onHeartbeatCommitted(step &s, const rows_committed &what);
void onHeartbeatConflict(step &s, const rows_conflict &what);
void onMemberRow(step &s, const row &what);
bool isAlive(const node_state &state, const owner_name &who, instant now);
/// Living daemons in the order in which they should own the batches of a model, this one among them unless it
/// stops. The same daemon is first for all batches of a model as long as it lives: it knows the upstreams'
/// paces and keeps connections to them.
std::vector<owner_name> rankedOwners(const node_state &state, const model_id &model, instant now);
/// Delay before this host may take a batch over; rises with its place among the living hosts.
milliseconds takeoverDelay(const node_state &state, const model_id &model, instant now);
void updateReadiness(step &s);

// Batches: handed in, listed, ended (node_batches.cpp), read (node_pages.cpp), owned anew
// (node_takeover.cpp).
void onBatchReceived(step &s, const batch_received &what);
void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &what);
void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &what);
void onAcceptFailed(step &s, const batch_id &id, const store_failed &what);
void onHeadRow(step &s, const row &what);
void listFinished(step &s, owned_batch &batch);
void onListed(step &s, const batch_id &id);
void onListConflict(step &s, const batch_id &id, const rows_conflict &what);
void onListFailed(step &s, const batch_id &id);
void onBatchEndAsked(step &s, const batch_end_asked &what);
void continueEnd(step &s, const for_end &what);
/// Begins to run a batch whose head names this process.
void own(step &s, owned_batch batch);
/// Asks for the head row of a batch.
void readHead(step &s, op_id op, const batch_id &id);
void dropOwned(step &s, const batch_id &id, const std::string &why);
void expireOwned(step &s);

void onPageAsked(step &s, const page_asked &what);
void onPageRows(step &s, const for_page &what, const rows_arrived &rows);
void onItemAsked(step &s, const item_asked &what);
void onItemRows(step &s, for_item what, const rows_arrived &rows);
void serveReaders(step &s, owned_batch &batch);
void pollPages(step &s);

void takeOrphans(step &s);
void onClaimCommitted(step &s, const for_claim &what, const rows_committed &committed);
void onClaimEnded(step &s, const batch_id &id);
void onLoadRows(step &s, const batch_id &id, const rows_arrived &rows);
void loadBatch(step &s, batch_head head);
void handOver(step &s);
void checkpoint(step &s);

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
void hedgeAndExpireCalls(step &s);
void onCallerDisconnected(step &s, const caller_gone &what);

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
