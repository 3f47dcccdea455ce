/// Internal functions of the node daemon's reducer, grouped by source file. All work on the shared state of a
/// step and append effects to it.
#pragma once

#include "overloaded.h"

#include <jacinthvale/node.h>

#include <algorithm>

namespace jacinthvale::node {

/// Maximum time between two answers of a feed that counts as continuous: after a longer time, this process
/// may have missed writes of others. Shorter than the time after which a daemon counts as dead, for any poll
/// interval.
constexpr milliseconds maxAnswerGap(milliseconds pollInterval)
{
    return std::max(milliseconds{1500}, pollInterval * 3 / 2);
}

/// Deadline of store reads, which is the longest that clients wait.
inline constexpr milliseconds kStoreReadDeadline{3000};

/// Time after the stop signal within which the load balancer may still send new callers: it removes a
/// stopping process only after two readiness checks, which are one second apart.
inline constexpr milliseconds kRotationTime{2800};

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

    void log(std::string eventName, std::string subject, std::string detail = {}, log_fields fields = {})
    {
        out.emplace_back(
                log_decision{std::move(eventName), std::move(subject), std::move(detail), std::move(fields)});
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
void pollFeeds(step &s);
void onFeedRows(step &s, table_id table, const rows_received &rows);
void onFeedHistoryExpired(step &s, table_id table);
void onFeedFailed(step &s, table_id table, const store_failed &failure);
/// The next read of the table is a full one.
void restartFullRead(table_feed &feed);
table_feed &feedOf(node_state &state, table_id table);
/// Raises the known version of a model's weights. A process never returns to older weights, so the highest
/// reported version applies, regardless of its source.
void advanceWeightVersion(upstream_entry &entry, const model_id &model, weight_version version);

// Shared reading of the table of upstreams (node_upstream_delta.cpp).
/// Maximum number of removed upstreams to remember; a request for changes after an older version gets the
/// full table.
inline constexpr std::size_t kMaxRemovedUpstreams = 2000;
/// @returns the daemon from which to read the table of upstreams; none if this process reads it from the
/// store.
std::optional<endpoint> upstreamDeltaSource(const step &s, const table_feed &feed);
void onUpstreamDeltaRequested(step &s, const upstream_delta_requested &request);
void onUpstreamDeltaReceived(step &s, const upstream_delta_received &received);
void onUpstreamRow(step &s, const row_change &change);
/// Removes all upstreams whose id is not in `ids`.
void retainUpstreams(step &s, const std::set<std::string> &ids);
/// True while a full read of the table is pending or in progress.
bool isFullReadPending(const table_feed &feed);
/// Records that a table was read up to a version.
void recordFeedRead(step &s, table_feed &feed, std::uint64_t version);
/// Time between two reads of a table, for the current size of the fleet.
milliseconds pollIntervalOf(const node_state &state, table_id table);

// Membership of daemons (node_members.cpp).
void sendHeartbeat(step &s);
void onHeartbeatFailed(step &s, const store_failed &failure);
void onHeartbeatCommitted(step &s, const rows_committed &committed);
void onHeartbeatConflict(step &s, const rows_conflict &conflict);
void onMemberRow(step &s, const row &changed);
bool isAlive(const node_state &state, const owner_name &who, instant now);
/// @returns the living daemons in order of preference as owners of a model's batches, including this one
/// unless it is stopping. The same daemon stays first for all batches of a model while it lives, because it
/// knows the inter-chunk latencies of the upstreams and keeps connections to them.
std::vector<owner_name> rankedOwners(const node_state &state, const model_id &model, instant now);
/// Delay before this host may take over a batch; increases with its position in rankedOwners().
milliseconds takeoverDelay(const node_state &state, const model_id &model, instant now);
void updateReadiness(step &s);

// Upstreams that announce that they are leaving (node_leaving.cpp).
/// True if the upstream gets no new work because it is leaving, by its table entry or by its announcement.
bool isLeaving(const node_state &state, const upstream_view &view);
void onUpstreamLeaveAnnounced(step &s, const upstream_leave_announced &announced);
/// @returns the row that tells other daemons of leaving upstreams.
row_put leavingRow(step &s);
/// Applies the row of another daemon.
void onLeavingRow(step &s, const row &received);

// What daemons tell each other beside their heartbeats (node_advisories.cpp).
/// Starts to write a row. @returns true if it has to be part of the heartbeat that is about to be sent.
bool beginPublication(row_publication &publication);
/// The heartbeat in progress ended. @param committed its rows were written.
void endPublication(row_publication &publication, bool committed);
/// Appends the rows beside the heartbeat that have changed.
void appendAdvisoryRows(step &s, std::vector<row_put> &rows);
void onAdvisoryRowsWritten(step &s, bool committed);
/// Applies the advisory of a daemon; that of this host comes from its former process.
void onAdvisoryRow(step &s, const row &received);

// Calls whose content crashes upstreams (node_quarantine.cpp).
content_hash contentOf(const client_call &call);
/// @returns the log field by which calls with the same content are found.
log_fields contentField(content_hash content);
/// True if so many upstreams ended under calls with this content that it is not sent any more.
bool isQuarantined(const node_state &state, content_hash content);
/// Records that a call broke off at an upstream.
void suspectCrash(step &s, content_hash content, const upstream_id &upstream);
/// Publishes the suspicions that were held while the path to the upstreams was in doubt.
void releaseSuspicions(step &s);
/// Records that an upstream answered a call with this content.
void recordContentAnswered(step &s, content_hash content);
/// Records that an upstream's process ran at a time.
void recordSignOfLife(step &s, const upstream_id &upstream, instant at);
/// Withdraws suspicions against contents whose upstream has shown a sign of life since.
void withdrawSuspicions(step &s);
/// Computes the suspected contents from all advisories. Called after one has changed.
void updateSuspectedContents(step &s);

// Upstreams that limit the requests per second of all daemons together (node_limits.cpp).
void onUpstreamLimitRead(step &s, const upstream_limit_read &read);
/// Applies the limits that another daemon reports.
void applyReportedLimits(step &s, const daemon_advisory &advisory, const std::string &source);
/// Sets limits and demand of the own advisory. @returns true if other daemons need them now.
bool updateOwnLimits(step &s);
/// Records requests that this daemon has for a service, whether they can be sent or not.
void recordDemand(step &s, const service_id &service, double requests);
void recordBatchDemand(step &s, const owned_batch &batch);
/// Computes the shares of this daemon in the limits, and what it may send by now.
void updateLimitShares(step &s);
/// True if the upstream has no limit, or this daemon may send it a request now.
bool hasLimitToken(const upstream_view &view);
/// @returns the limited upstreams of a service.
std::set<upstream_id> limitedUpstreams(const node_state &state, const service_id &service);
/// Records a request that is sent to the upstream. @param isRepeated the call or run was sent before.
void recordSent(step &s, upstream_view &view, bool isRepeated);
/// Logs the requests that were sent to limited upstreams.
void logLimitedUse(step &s);

// Batches: accept, commit results, end (node_batches.cpp), read results (node_pages.cpp), take over
// (node_takeover.cpp).
void onBatchReceived(step &s, const batch_received &request);
void onAcceptCommitted(step &s, const batch_id &id, const rows_committed &committed);
void onAcceptConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onAcceptFailed(step &s, const batch_id &id, const store_failed &failure);
void onHeadRow(step &s, const row &changed);
/// Time to store a batch before the trainer is told to try another daemon. About a third of the 12 s that
/// trainers wait, so that their second attempt still has time.
inline constexpr milliseconds kAcceptTimeout{3500};
/// @returns the head row of a batch that is about to be accepted.
batch_head newHead(const step &s, const pending_batch &pending);
/// Ends the acceptance of a batch and passes its callers to `answer`.
void answerPendingExchanges(step &s, const batch_id &id, const std::function<void(exchange_id)> &answer);
/// Refuses a batch that was not stored.
void refusePending(step &s, const batch_id &id, refusal reason, const std::string &detail);
/// @returns the existing row with this key; nullptr if there is none.
const row *findRow(const std::vector<row> &rows, table_id table, const std::string &key);

// Batches that exceed one transaction of the store (node_large_batches.cpp): sections of the items are
// written first, the head row last.
void startStoring(step &s, pending_batch &pending);
/// True while sections are written: the batch is not accepted, whatever became of the last transaction.
bool isStoringSections(const pending_batch &pending);
/// The running transaction was committed at a version.
void onSectionsStored(step &s, pending_batch &pending, std::uint64_t version);
/// A transaction found no head row but another row of the attempt than expected.
void onStoringConflict(step &s, pending_batch &pending, const rows_conflict &conflict);
/// Applies the row of an attempt. @returns false if the row is another one.
bool onAttemptRow(step &s, const row &received);
/// Starts to remove the rows of an attempt that is over.
void removeAbandonedAttempts(step &s);
void onAttemptRemoved(step &s, const attempt_removal_operation &operation, const rows_committed &committed);
void onAbandonedRows(step &s, const attempt_removal_operation &operation, const rows_received &rows);
void onAttemptRemovalFailed(step &s, const attempt_removal_operation &operation, const std::string &reason);
void onAttemptRemovalConflict(step &s, const attempt_removal_operation &operation,
                              const rows_conflict &conflict);
/// Writes the results of finished items to the store unless a transaction of the batch is running.
void commitFinished(step &s, owned_batch &batch);
void onResultsCommitted(step &s, const batch_id &id);
void onResultsConflict(step &s, const batch_id &id, const rows_conflict &conflict);
void onResultsFailed(step &s, const batch_id &id);
void onBatchEndRequested(step &s, const batch_end_requested &request);
/// Ends a batch in the store; reads the head row first where it is unknown.
void continueBatchEnd(step &s, const batch_end_operation &operation);
/// Starts to run a batch whose head row names this process as the owner.
void adoptBatch(step &s, owned_batch batch);
/// Reads the head row of a batch.
void requestHeadRow(step &s, op_id op, const batch_id &id);
/// Stops the runs of an owned batch and removes it from the state; waiting readers are served from the store.
void dropOwnedBatch(step &s, const batch_id &id, const std::string &reason);
/// Ends unfinished items as lost once the retention time of their batch has passed.
void expireOverdueItems(step &s);

void onPageRequested(step &s, const page_requested &request);
/// Logs that a reader got no page, with the position and the time that it waited.
void logPageLost(step &s, const std::string &eventName, const page_read &page, const std::string &reason);
void onPageRows(step &s, const page_operation &operation, const rows_received &rows);
void onItemRequested(step &s, const item_requested &request);
void onItemRows(step &s, item_operation operation, const rows_received &rows);
/// Answers the waiting readers of a batch that have results available or whose wait time has passed.
void answerReaders(step &s, owned_batch &batch);
/// Reads due pages from the store again and answers the readers of owned batches.
void pollPages(step &s);

/// Claims batches whose owner is dead, each after the takeover delay of this host.
void claimOrphanedBatches(step &s);
void onClaimCommitted(step &s, const claim_operation &operation, const rows_committed &committed);
/// Clears the mark of a running claim, whatever its outcome.
void onClaimFinished(step &s, const batch_id &id);
void onLoadRows(step &s, const batch_id &id, const rows_received &rows);
/// Reads items, progress and results of a batch from the store, then adopts it.
void loadBatch(step &s, batch_head head);
/// Hands all owned batches over to their next owners, with the progress of their items.
void handOverBatches(step &s);
/// Stores the progress of unfinished items of owned batches at regular intervals.
void checkpointBatches(step &s);

// Runs of items (node_runs.cpp).
/// Marks an item as finished and queues its result for commit.
void finishItem(step &s, owned_batch &batch, std::size_t index, item_state outcome);
void startRuns(step &s);
void moveStragglers(step &s);
/// Marks an item whose text is complete: scored if it has a reward call, otherwise finished.
void onTextComplete(step &s, owned_batch &batch, std::size_t index);
void onRunProgress(step &s, const run_operation &operation, const run_progressed &progress);
void onRunEnded(step &s, const run_operation &operation, call_end end);
void stopRun(step &s, owned_item &item);
/// Records that a request broke off at an upstream, or found no connection: its process may have been
/// replaced.
void recordBreak(step &s, const upstream_id &id);
void onUpstreamIdentified(step &s, const identity_operation &operation,
                          const upstream_status_received &report);
/// Discards the output of the items that run at an upstream which started again with other software: either
/// process may have generated it.
void dropOutputOf(step &s, const upstream_id &id);
/// Ends runs without a complete chunk for their progress timeout, also if bytes still arrive.
void endSilentRuns(step &s);
void markSurplus(owned_batch &batch);

// Log lines from which the duration of a step can be explained (node_step_log.cpp).
/// Logs where the time of a batch went, up to the commit of the last group that its trainer waits for.
void logStepTimeline(step &s, const owned_batch &batch);

// Output of items that return in a later batch (node_retained.cpp).
/// Keeps the output of items in incomplete groups of a batch that ended: they may return in a later batch.
void retainOutputs(step &s, const owned_batch &batch);
/// Sets retained output of items that return in this batch, if its weight versions fit.
void reuseOutputs(step &s, owned_batch &batch);

// Reward calls of items with a complete text (node_rewards.cpp).
/// Queues the reward call of an item whose text is complete.
void queueReward(step &s, owned_item &item);
/// Starts reward calls of queued items, as far as the limits of the service allow.
void startRewards(step &s);
/// Cancels the reward call of an item; its text stays complete.
void stopReward(step &s, const batch_id &batch, std::size_t index, owned_item &item);
/// An upstream answered: sets the score, or gives the item up if its reward call always fails.
void onRewardAnswered(step &s, const reward_origin &origin, const call_state &call, const call_ended &ended);
/// No upstream answered within the limits of the route; the call is repeated later.
void onRewardUnanswered(step &s, const reward_origin &origin, const call_state &call,
                        const std::string &reason);

// Who may send a request (node_access.cpp).
/// @returns the verdict on a request, by the configuration and its evidence as they are now.
access_verdict accessOf(const node_state &state, const credential &key, bool isPublic, instant now);
/// Decides on a request, and refuses its exchange unless access is granted. @param subject id for the log.
/// @returns the account, empty for a request that needs no key; nullopt if the request was refused.
std::optional<account_id> admitRequest(step &s, exchange_id exchange, const std::string &subject,
                                       const credential &key, bool isPublic);
/// Decides on a request about a batch, which names no route.
std::optional<account_id> admitBatchRequest(step &s, exchange_id exchange, const batch_id &id,
                                            const credential &key);
/// Refuses a request about a batch that exists only for another account.
void refuseForeignBatch(step &s, exchange_id exchange, const batch_id &id, const account_id &account);
/// @returns the account as requests to upstreams name it; nullopt where requests need no key.
std::optional<account_id> accountForUpstream(const node_state &state, const account_id &account);
/// @returns the greatest age of the evidence that admits keys; nullopt if any does.
std::optional<milliseconds> admissionLimitOf(const node_state &state);
/// False if keys may have been taken away so long ago that none is accepted any more.
bool isConfigurationCurrent(const node_state &state, instant now);

// Planned stop (node_stop.cpp).
void onStop(step &s);
/// Ends the process once nothing is left to do for it. While it has callers they get their answers first.
void continueStop(step &s);
/// Refuses a request whose answer may come after the end of this process. @param usualMs usual duration of
/// such requests, if known. @returns false if it was refused.
bool takesWhileStopping(step &s, exchange_id exchange, const std::string &subject, instant deadline,
                        std::optional<double> usualMs);
/// The same for a request that waits for the store.
bool takesStoreRequest(step &s, exchange_id exchange, const std::string &subject);
/// @returns the deadline of a request that this process has taken.
instant endBeforeExit(const node_state &state, instant deadline);
/// The store gave no answer to an operation.
void onStoreFailed(step &s, operation_purpose operation, const store_failed &failed);

// Forwarded calls (node_calls.cpp).
/// Updates the smoothed duration of the requests of a route.
void recordRouteDuration(step &s, const route &matchedRoute, double durationMs);
/// @returns the smoothed duration in ms of the requests of a route; nullopt until one is measured.
std::optional<double> measuredDuration(const node_state &state, const route &matchedRoute);
/// Starts a call of a client or of an item. `call` names the request, the route, and whether it may repeat.
void startCall(step &s, const call_origin &origin, call_state call);
/// Cancels the attempts of a call, if it exists.
void cancelCall(step &s, const call_origin &origin);
/// @returns the expected duration of an item's reward call in ms; 0 if no route serves it.
double expectedRewardDuration(const node_state &state, const reward_call &reward);
/// Counts how a request to an upstream ended, and records what it says about the path to the upstreams.
void countUpstreamRequest(step &s, call_end end);

/// @returns what the upstream did, for the log; only for calls without a whole answer.
std::string_view howItBroke(call_end end);
/// Releases the upstream slot of an attempt that ended.
void releaseSlot(step &s, const upstream_id &id);
/// @returns the time by which a caller gets its answer.
instant callDeadline(const client_call &call, const route &matchedRoute, instant now);
void countCallOutcome(step &s, const std::string &outcome);
void onCallReceived(step &s, const call_received &request);
void onRelayedCallReceived(step &s, const relayed_call_received &received);
/// True if a relayed call certainly did not run.
bool isNotRun(const relayed_call_ended &ended);
void onRelayedCallEnded(step &s, const relay_operation &operation, const relayed_call_ended &ended);
void onCallEnded(step &s, const call_operation &operation, const call_ended &end);
void hedgeAndExpireCalls(step &s);
void onCallerDisconnected(step &s, const caller_disconnected &disconnect);

// Own path to the upstreams (node_upstream_path.cpp).
/// Records that a byte of an upstream arrived.
void recordHeard(step &s);
/// Records that nothing was received from an upstream in time.
void recordSilence(step &s, const upstream_id &id);
/// Records that an upstream accepted no connection.
void recordUnreachable(step &s, const upstream_id &id);
/// Looks for requests without a response, requests the status of upstreams while the path is in doubt, and
/// decides whether it is lost.
void watchUpstreamPath(step &s);
void onPathProbed(step &s, const path_operation &operation, const upstream_status_received &report);
/// Another daemon has lost its path.
void onPeerLostUpstreams(step &s);
/// Sends what waits for upstreams that this daemon cannot reach to other daemons (node_calls.cpp,
/// node_streams.cpp).
void leaveLostPath(step &s);
void leaveLostStreams(step &s);
/// True if the path may be lost: upstreams were silent, and none has been heard since.
inline bool isPathDoubtful(const node_state &state)
{
    return state.path.lost || !state.path.silent.empty() || !state.path.unreachable.empty();
}
/// True unless a request that was sent then found no path: nothing was heard of any upstream since.
inline bool mayHaveArrived(const node_state &state, instant sentAt)
{
    return !state.path.lost || sentAt <= state.path.heardAt;
}
/// True if this daemon should leave batches and the weights lease to others.
bool isRetiring(const node_state &state, instant now);
/// True unless the daemon of a host has reported that it has no path.
bool hasUpstreamPath(const node_state &state, const host_id &host);
/// @returns a daemon that can send a call to an upstream; none of `tried`.
std::optional<std::pair<host_id, endpoint>> relayPeer(const step &s, const std::set<host_id> &tried);

// Streams that are forwarded to callers (node_streams.cpp).
void onStreamRequested(step &s, const client_call &call, const route &matchedRoute);
void onRelayedStreamEnded(step &s, exchange_id exchange, const relayed_call_ended &ended);
void onStreamStarted(step &s, exchange_id exchange, const stream_started &started);
void onStreamProgress(step &s, exchange_id exchange, const stream_progressed &progress);
void onStreamEnded(step &s, const stream_operation &operation, const call_ended &ended);
/// Starts waiting streams, releases held events, and ends streams whose time is over.
void advanceStreams(step &s);
/// Cancels the stream of a caller that disconnected, if there is one.
void cancelStream(step &s, exchange_id exchange);
void onStreamOriginShared(step &s, const stream_origin_shared &shared);
void onStreamOriginRequested(step &s, const stream_origin_requested &request);
void onStreamOriginReceived(step &s, const stream_origin_operation &operation,
                            const stream_origin_received &received);

// Origins of streams (node_stream_origins.cpp).
void recordStreamOrigin(step &s, const request_id &stream, const upstream_build &build);
/// @returns what this daemon knows.
stream_origin findStreamOrigin(const node_state &state, const request_id &stream, const service_id &service,
                               instant now);
/// @returns the daemons that keep the origin of a stream, in the order in which to ask them.
std::vector<endpoint> originKeepers(const node_state &state, const request_id &stream, instant now);
/// Number of daemons to which the origin of a stream is told.
inline constexpr std::size_t kOriginCopies = 2;
/// Number of daemons that are asked: members come and go, so the first ones may not be those that were told.
inline constexpr std::size_t kOriginQueries = 12;
/// Records that the table lists an upstream of this build.
void recordBuildListed(step &s, const upstream_build &build);

// Memory held for slow readers (node_memory.cpp).
void onAnswersUnread(step &s, const answers_unread &measured);

// Weights (node_weights.cpp).
void runWeightsLeader(step &s);
void onLeaseRow(step &s, const row &changed);
void onLeaseCommitted(step &s, const rows_committed &committed);
void onLeaseConflict(step &s, const rows_conflict &conflict);
void onLeaseFailed(step &s);
void onUpstreamStatus(step &s, const order_operation &operation, const upstream_status_received &report);
void onOrderEnded(step &s, const order_operation &operation, const call_ended &end);

// Duties (node_duties.cpp).
/// @returns the incarnation that the host of a lease's holder reported after the lease row was written.
std::optional<incarnation_id> replacementOf(const node_state &state, const lease_state &lease);
/// True if this process may make calls of the duties now.
bool isDutyHolder(const step &s);
/// @returns the record that the lease row shall hold; it is written at once. Only for the holder.
duty_record &dutyRecord(step &s);
/// @returns the record that the lease row holds. Calls depend on nothing else, so that a successor repeats
/// them.
const duty_record &committedDutyRecord(const node_state &state);
/// Calls the platform if this process is the holder, the subject has no call in progress and no back-off, and
/// the rate of all calls allows one. @returns false if the call cannot be made now.
bool callDuty(step &s, duty_call call);
void runDuties(step &s);
void onDutyLeaseRow(step &s, const row &changed);
void onDutyLeaseCommitted(step &s, const rows_committed &committed);
void onDutyLeaseConflict(step &s, const rows_conflict &conflict);
void onDutyLeaseFailed(step &s);
void onDutyCallEnded(step &s, const duty_call &call, const call_ended &ended);
/// True if nothing of the duties keeps this process from ending.
bool areDutiesReleased(const node_state &state);

// Usage (node_usage.cpp).
/// Counts a request that an upstream begins. @returns the window in which it counts; nullopt if it has no
/// account or usage is not reported.
std::optional<std::uint64_t> countUsage(step &s, const client_call &call);
/// Takes a request back that no upstream began.
void uncountUsage(step &s, const client_call &call, std::uint64_t window);
/// Sets the own clock and counts in the advisory. Called before it is written.
void updateUsageAdvisory(step &s);
/// True if the store has all counts of this process.
bool isUsageTold(const node_state &state);
/// Reports usage. Only for the holder of the duties.
void reportUsage(step &s);
void onUsageReported(step &s, const usage_report &report, const call_ended &ended);

// Number of upstreams (node_scaling.cpp).
/// Sets the work in the own advisory. @returns true if the other daemons need it now.
bool updateOwnWork(step &s);
/// Remembers the work that a daemon told.
void recordToldWork(step &s, const scaling_advisory &advisory);
/// Decides and orders the numbers of upstreams, if this process holds the duties.
void decideNumbersOfUpstreams(step &s);
void onUpstreamsOrdered(step &s, const upstream_order &order, const call_ended &ended);

/// Drops the order to load weights on an upstream, if there is one.
void dropOrder(step &s, const upstream_id &id);

/// Excludes an upstream from new work for a while, after a failed request.
void ejectUpstream(step &s, const upstream_id &id, milliseconds duration, const std::string &reason);

} // namespace jacinthvale::node
