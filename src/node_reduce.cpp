#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Retry-after delay for callers whose request needs the store while the store does not answer.
constexpr milliseconds kStoreRetryAfter{300};

void recordStoreAnswer(step &s, std::uint64_t storeNowMs)
{
    s.state.lastStoreAnswerAt = s.ctx.now;
    if (storeNowMs != 0) {
        s.state.storeNowMs = storeNowMs;
        s.state.storeNowAt = s.ctx.now;
        s.state.storeClock.add(storeNowMs, s.ctx.now);
    }
}

void onTick(step &s)
{
    pollFeeds(s);
    sendHeartbeat(s);
    claimOrphanedBatches(s);
    expireOverdueItems(s);
    updateLimitShares(s);
    withdrawSuspicions(s);
    watchUpstreamPath(s);
    hedgeAndExpireCalls(s);
    advanceStreams(s);
    endSilentRuns(s);
    moveStragglers(s);
    startRewards(s);
    startRuns(s);
    checkpointBatches(s);
    pollPages(s);
    removeAbandonedAttempts(s);
    runWeightsLeader(s);
    runDuties(s);
    logLimitedUse(s);
    updateReadiness(s);
    const auto &model = s.state.owned.empty() ? model_id{} : s.state.owned.begin()->second.spec.model;
    if (isRetiring(s.state, s.ctx.now) && !s.state.owned.empty()) {
        const auto owners = rankedOwners(s.state, model, s.ctx.now);
        if (s.state.stopping || (!owners.empty() && owners.front() != ownName(s.state))) {
            handOverBatches(s);
        }
    }
    continueStop(s);
}

void onRows(step &s, operation_purpose operation, const rows_received &rows)
{
    recordStoreAnswer(s, rows.storeNowMs);
    std::visit(
            overloaded{[&](const feed_operation &feed) { onFeedRows(s, feed.table, rows); },
                       [&](const page_operation &page) { onPageRows(s, page, rows); },
                       [&](const item_operation &item) { onItemRows(s, item, rows); },
                       [&](const load_operation &load) { onLoadRows(s, load.batch, rows); },
                       [&](const attempt_removal_operation &removal) { onAbandonedRows(s, removal, rows); },
                       [&](const batch_end_operation &end) {
                           for (const row_change &change : rows.rows) {
                               onHeadRow(s, change.row);
                           }
                           continueBatchEnd(s, end);
                       },
                       [](const auto &) {}},
            operation);
}

void onCommitted(step &s, operation_purpose operation, const rows_committed &committed)
{
    recordStoreAnswer(s, committed.storeNowMs);
    std::visit(
            overloaded{[&](const heartbeat_operation &) { onHeartbeatCommitted(s, committed); },
                       [&](const accept_operation &accept) { onAcceptCommitted(s, accept.batch, committed); },
                       [&](const commit_operation &commit) { onResultsCommitted(s, commit.batch); },
                       [&](const claim_operation &claim) {
                           onClaimFinished(s, claim.batch);
                           onClaimCommitted(s, claim, committed);
                       },
                       [&](const lease_operation &lease) {
                           lease.lease == lease_id::weights ? onLeaseCommitted(s, committed)
                                                            : onDutyLeaseCommitted(s, committed);
                       },
                       [&](const release_operation &release) {
                           dropOwnedBatch(s, release.batch, "handed over");
                       },
                       [&](const attempt_removal_operation &removal) {
                           onAttemptRemoved(s, removal, committed);
                       },
                       [&](const batch_end_operation &end) {
                           batch_head head = s.state.heads[end.batch];
                           head.ended = true;
                           head.rowVersion = committed.version;
                           s.state.heads[end.batch] = head;
                           s.log("batch-ended", end.batch.value);
                           dropOwnedBatch(s, end.batch, "ended");
                           s.emit(answer_batch_ended{end.exchange});
                       },
                       [](const auto &) {}},
            operation);
}

void onConflict(step &s, operation_purpose operation, const rows_conflict &conflict)
{
    recordStoreAnswer(s, 0);
    const auto applyHeadRow = [&](const batch_id &id) {
        for (const row &current : conflict.rows) {
            if (current.key.table == table_id::heads && current.key.key == id.value) {
                onHeadRow(s, current);
            }
        }
    };
    std::visit(
            overloaded{[&](const heartbeat_operation &) { onHeartbeatConflict(s, conflict); },
                       [&](const accept_operation &accept) { onAcceptConflict(s, accept.batch, conflict); },
                       [&](const commit_operation &commit) { onResultsConflict(s, commit.batch, conflict); },
                       [&](const claim_operation &claim) {
                           applyHeadRow(claim.batch);
                           onClaimFinished(s, claim.batch);
                       },
                       [&](const checkpoint_operation &checkpointed) { applyHeadRow(checkpointed.batch); },
                       [&](const lease_operation &lease) {
                           lease.lease == lease_id::weights ? onLeaseConflict(s, conflict)
                                                            : onDutyLeaseConflict(s, conflict);
                       },
                       [&](const attempt_removal_operation &removal) {
                           onAttemptRemovalConflict(s, removal, conflict);
                       },
                       [&](const release_operation &release) {
                           applyHeadRow(release.batch);
                           if (const auto found = s.state.owned.find(release.batch);
                               found != s.state.owned.end()) {
                               found->second.handingOver = false;
                           }
                       },
                       [&](const batch_end_operation &end) {
                           applyHeadRow(end.batch);
                           continueBatchEnd(s, end);
                       },
                       [](const auto &) {}},
            operation);
}

} // namespace

void onStoreFailed(step &s, operation_purpose operation, const store_failed &failed)
{
    const auto refuseExchange = [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, failed.outcomeUnknown ? refusal::may_have_run : refusal::not_run,
                           kStoreRetryAfter});
    };
    s.emit(count{"store_failures"});
    std::visit(overloaded{[&](const feed_operation &feed) { onFeedFailed(s, feed.table, failed); },
                          [&](const heartbeat_operation &) { onHeartbeatFailed(s, failed); },
                          [&](const accept_operation &accept) { onAcceptFailed(s, accept.batch, failed); },
                          [&](const commit_operation &commit) { onResultsFailed(s, commit.batch); },
                          [&](const claim_operation &claim) { onClaimFinished(s, claim.batch); },
                          [&](const lease_operation &lease) {
                              lease.lease == lease_id::weights ? onLeaseFailed(s) : onDutyLeaseFailed(s);
                          },
                          [&](const page_operation &page) {
                              const auto read = s.state.pages.extract(page.exchange);
                              if (!read.empty()) {
                                  logPageLost(s, "page-not-read", read.mapped(), failed.reason);
                                  refuseExchange(page.exchange);
                              }
                          },
                          [&](const item_operation &item) {
                              s.log("item-not-read", item.item.value, failed.reason);
                              refuseExchange(item.exchange);
                          },
                          [&](const batch_end_operation &end) {
                              s.log("end-not-stored", end.batch.value, failed.reason);
                              refuseExchange(end.exchange);
                          },
                          [&](const load_operation &load) {
                              s.log("batch-not-loaded", load.batch.value, failed.reason);
                              s.state.loading.erase(load.batch);
                          },
                          [&](const attempt_removal_operation &removal) {
                              onAttemptRemovalFailed(s, removal, failed.reason);
                          },
                          [&](const release_operation &release) {
                              if (const auto found = s.state.owned.find(release.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [](const auto &) {}},
               operation);
}

node_state makeNodeState(const node_identity &self)
{
    node_state state;
    state.self = self;
    return state;
}

effects reduce(node_state &state, const event &incoming, const context &ctx)
{
    step s{state, ctx, {}};
    // Removes an operation that ended and passes it to the handler. Operations that were abandoned before are
    // no longer registered; their events are ignored.
    const auto closeOperation = [&](op_id op, const auto &handle) {
        const auto closed = state.ops.extract(op);
        if (!closed.empty()) {
            handle(closed.mapped());
        }
    };
    const auto streamOf = [&](op_id op) -> std::optional<exchange_id> {
        const auto found = state.ops.find(op);
        if (found == state.ops.end()) {
            return std::nullopt;
        }
        if (const auto *stream = std::get_if<stream_operation>(&found->second)) {
            return stream->exchange;
        }
        const auto *relayed = std::get_if<relay_operation>(&found->second);
        const auto *exchange = relayed == nullptr ? nullptr : std::get_if<exchange_id>(&relayed->origin);
        return exchange == nullptr ? std::nullopt : std::optional(*exchange);
    };
    std::visit(
            overloaded{
                    [&](const started &process) {
                        state.incarnation = process.incarnation;
                        state.lastStoreAnswerAt = ctx.now;
                        startFeeds(s);
                        updateReadiness(s);
                        pollFeeds(s);
                    },
                    [&](const tick &) { onTick(s); },
                    [&](const call_received &received) { onCallReceived(s, received); },
                    [&](const batch_received &received) { onBatchReceived(s, received); },
                    [&](const page_requested &request) { onPageRequested(s, request); },
                    [&](const item_requested &request) { onItemRequested(s, request); },
                    [&](const batch_end_requested &request) { onBatchEndRequested(s, request); },
                    [&](const caller_disconnected &disconnected) { onCallerDisconnected(s, disconnected); },
                    [&](const rows_received &rows) {
                        closeOperation(rows.op, [&](const operation_purpose &operation) {
                            onRows(s, operation, rows);
                        });
                        if (std::exchange(state.headsChanged, false)) {
                            claimOrphanedBatches(s);
                        }
                        pollFeeds(s);
                    },
                    [&](const history_expired &expired) {
                        closeOperation(expired.op, [&](const operation_purpose &operation) {
                            recordStoreAnswer(s, 0);
                            if (const auto *feed = std::get_if<feed_operation>(&operation)) {
                                onFeedHistoryExpired(s, feed->table);
                            }
                        });
                    },
                    [&](const rows_committed &committed) {
                        closeOperation(committed.op, [&](const operation_purpose &operation) {
                            onCommitted(s, operation, committed);
                        });
                    },
                    [&](const rows_conflict &conflict) {
                        closeOperation(conflict.op, [&](const operation_purpose &operation) {
                            onConflict(s, operation, conflict);
                        });
                    },
                    [&](const store_failed &failed) {
                        closeOperation(failed.op, [&](const operation_purpose &operation) {
                            onStoreFailed(s, operation, failed);
                        });
                    },
                    [&](const run_progressed &progress) {
                        const auto found = state.ops.find(progress.op);
                        if (found != state.ops.end()) {
                            if (const auto *run = std::get_if<run_operation>(&found->second)) {
                                const run_operation operation = *run;
                                onRunProgress(s, operation, progress);
                            }
                        }
                    },
                    [&](const run_ended &ended) {
                        closeOperation(ended.op, [&](const operation_purpose &operation) {
                            if (const auto *run = std::get_if<run_operation>(&operation)) {
                                onRunEnded(s, *run, ended.end);
                            }
                        });
                    },
                    [&](const call_ended &ended) {
                        closeOperation(ended.op, [&](const operation_purpose &operation) {
                            if (const auto *call = std::get_if<call_operation>(&operation)) {
                                onCallEnded(s, *call, ended);
                            } else if (const auto *order = std::get_if<order_operation>(&operation)) {
                                onOrderEnded(s, *order, ended);
                            } else if (const auto *stream = std::get_if<stream_operation>(&operation)) {
                                onStreamEnded(s, *stream, ended);
                            } else if (const auto *duty = std::get_if<duty_operation>(&operation)) {
                                onDutyCallEnded(s, duty->call, ended);
                            }
                        });
                    },
                    [&](const upstream_status_received &report) {
                        if (report.reached) {
                            recordHeard(s);
                        }
                        closeOperation(report.op, [&](const operation_purpose &operation) {
                            if (const auto *order = std::get_if<order_operation>(&operation)) {
                                if (!report.reached) {
                                    recordSilence(s, order->upstream);
                                }
                                onUpstreamStatus(s, *order, report);
                            } else if (const auto *path = std::get_if<path_operation>(&operation)) {
                                onPathProbed(s, *path, report);
                            } else if (const auto *identity = std::get_if<identity_operation>(&operation)) {
                                onUpstreamIdentified(s, *identity, report);
                            }
                        });
                    },
                    [&](const upstream_leave_announced &announced) {
                        onUpstreamLeaveAnnounced(s, announced);
                    },
                    [&](const upstream_limit_read &read) { onUpstreamLimitRead(s, read); },
                    [&](const upstream_delta_requested &request) { onUpstreamDeltaRequested(s, request); },
                    [&](const upstream_delta_received &received) {
                        closeOperation(received.op, [&](const operation_purpose &) {
                            onUpstreamDeltaReceived(s, received);
                        });
                    },
                    [&](const stream_started &begun) {
                        if (const auto exchange = streamOf(begun.op)) {
                            onStreamStarted(s, *exchange, begun);
                        }
                    },
                    [&](const stream_progressed &progress) {
                        if (const auto exchange = streamOf(progress.op)) {
                            onStreamProgress(s, *exchange, progress);
                        }
                    },
                    [&](const stream_origin_shared &shared) { onStreamOriginShared(s, shared); },
                    [&](const stream_origin_requested &request) { onStreamOriginRequested(s, request); },
                    [&](const stream_origin_received &received) {
                        closeOperation(received.op, [&](const operation_purpose &operation) {
                            if (const auto *asked = std::get_if<stream_origin_operation>(&operation)) {
                                onStreamOriginReceived(s, *asked, received);
                            }
                        });
                    },
                    [&](const relayed_call_received &received) { onRelayedCallReceived(s, received); },
                    [&](const relayed_call_ended &ended) {
                        closeOperation(ended.op, [&](const operation_purpose &operation) {
                            if (const auto *relayed = std::get_if<relay_operation>(&operation)) {
                                onRelayedCallEnded(s, *relayed, ended);
                            }
                        });
                    },
                    [&](const answers_unread &measured) { onAnswersUnread(s, measured); },
                    [&](const stop_requested &) { onStop(s); }},
            incoming);
    return std::move(s.out);
}

} // namespace jacinthvale::node
