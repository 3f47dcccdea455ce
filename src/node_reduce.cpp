#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Retry-after delay for callers whose request needs the store while the store does not respond.
constexpr milliseconds kStoreRetryAfter{300};

/// Part of the stop grace period that is reserved for sending the last responses.
constexpr milliseconds kStopResponseReserve{1500};

void recordStoreResponse(step &s, std::uint64_t storeNowMs)
{
    s.state.storeSeenAt = s.at.now;
    if (storeNowMs != 0) {
        s.state.storeNowMs = storeNowMs;
        s.state.storeNowAt = s.at.now;
    }
}

void onTick(step &s)
{
    pollFeeds(s);
    sendHeartbeat(s);
    takeOrphans(s);
    expireOwned(s);
    hedgeAndExpireCalls(s);
    moveStragglers(s);
    startRuns(s);
    checkpoint(s);
    pollPages(s);
    conduct(s);
    updateReadiness(s);
    if (!s.state.stopping) {
        return;
    }
    handOver(s);
    const bool idle = !s.state.conductor.held && s.state.owned.empty() && s.state.calls.empty()
                      && s.state.pending.empty() && s.state.pages.empty();
    if (idle || s.at.now >= s.state.stopAt) {
        s.emit(end_process{});
    }
}

void onStop(step &s)
{
    if (s.state.stopping) {
        return;
    }
    s.state.stopping = true;
    s.state.stopAt = s.at.now + s.state.self.stopGrace - kStopResponseReserve;
    s.state.nextBeatAt = s.at.now;
    s.log("stopping", s.state.self.host.value,
          "batches to hand over: " + std::to_string(s.state.owned.size()));
    updateReadiness(s);
    handOver(s);
}

void onRows(step &s, purpose operation, const rows_arrived &rows)
{
    recordStoreResponse(s, rows.storeNowMs);
    std::visit(overloaded{[&](const for_feed &feed) { onFeedRows(s, feed.table, rows); },
                          [&](const for_page &page) { onPageRows(s, page, rows); },
                          [&](const for_item &item) { onItemRows(s, item, rows); },
                          [&](const for_load &load) { onLoadRows(s, load.batch, rows); },
                          [&](const for_end &end) {
                              for (const row_change &change : rows.rows) {
                                  onHeadRow(s, change.what);
                              }
                              continueEnd(s, end);
                          },
                          [](const auto &) {}},
               operation);
}

void onCommitted(step &s, purpose operation, const rows_committed &committed)
{
    recordStoreResponse(s, committed.storeNowMs);
    std::visit(overloaded{[&](const for_beat &) { onHeartbeatCommitted(s, committed); },
                          [&](const for_accept &accept) { onAcceptCommitted(s, accept.batch, committed); },
                          [&](const for_commit &commit) { onListed(s, commit.batch); },
                          [&](const for_claim &claim) {
                              onClaimEnded(s, claim.batch);
                              onClaimCommitted(s, claim, committed);
                          },
                          [&](const for_lease &) { onLeaseCommitted(s, committed); },
                          [&](const for_release &release) { dropOwned(s, release.batch, "handed over"); },
                          [&](const for_end &end) {
                              batch_head head = s.state.heads[end.batch];
                              head.ended = true;
                              head.rowVersion = committed.version;
                              s.state.heads[end.batch] = head;
                              s.log("batch-ended", end.batch.value);
                              dropOwned(s, end.batch, "ended");
                              s.emit(answer_ended{end.exchange});
                          },
                          [](const auto &) {}},
               operation);
}

void onConflict(step &s, purpose operation, const rows_conflict &conflict)
{
    recordStoreResponse(s, 0);
    const auto applyHeadRow = [&](const batch_id &id) {
        for (const row &current : conflict.rows) {
            if (current.key.table == table_id::heads && current.key.key == id.value) {
                onHeadRow(s, current);
            }
        }
    };
    std::visit(overloaded{[&](const for_beat &) { onHeartbeatConflict(s, conflict); },
                          [&](const for_accept &accept) { onAcceptConflict(s, accept.batch, conflict); },
                          [&](const for_commit &commit) { onListConflict(s, commit.batch, conflict); },
                          [&](const for_claim &claim) {
                              applyHeadRow(claim.batch);
                              onClaimEnded(s, claim.batch);
                          },
                          [&](const for_checkpoint &checkpointed) { applyHeadRow(checkpointed.batch); },
                          [&](const for_lease &) { onLeaseConflict(s, conflict); },
                          [&](const for_release &release) {
                              applyHeadRow(release.batch);
                              if (const auto found = s.state.owned.find(release.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [&](const for_end &end) {
                              applyHeadRow(end.batch);
                              continueEnd(s, end);
                          },
                          [](const auto &) {}},
               operation);
}

void onStoreFailed(step &s, purpose operation, const store_failed &failed)
{
    const auto refuseExchange = [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, failed.mayHappen ? refusal::may_have_run : refusal::not_run,
                           kStoreRetryAfter});
    };
    s.emit(count{"store_failures"});
    std::visit(overloaded{[&](const for_feed &feed) { onFeedFailed(s, feed.table, failed); },
                          [&](const for_beat &) {
                              s.state.beatRunning = false;
                              s.log("heartbeat-failed", s.state.self.host.value, failed.reason);
                          },
                          [&](const for_accept &accept) { onAcceptFailed(s, accept.batch, failed); },
                          [&](const for_commit &commit) { onListFailed(s, commit.batch); },
                          [&](const for_claim &claim) { onClaimEnded(s, claim.batch); },
                          [&](const for_lease &) { onLeaseFailed(s); },
                          [&](const for_page &page) {
                              const auto read = s.state.pages.extract(page.exchange);
                              if (!read.empty()) {
                                  s.log("page-not-read", read.mapped().batch.value, failed.reason);
                                  refuseExchange(page.exchange);
                              }
                          },
                          [&](const for_item &item) {
                              s.log("item-not-read", item.item.value, failed.reason);
                              refuseExchange(item.exchange);
                          },
                          [&](const for_end &end) {
                              s.log("end-not-stored", end.batch.value, failed.reason);
                              refuseExchange(end.exchange);
                          },
                          [&](const for_load &load) {
                              s.log("batch-not-loaded", load.batch.value, failed.reason);
                              s.state.loading.erase(load.batch);
                          },
                          [&](const for_release &release) {
                              if (const auto found = s.state.owned.find(release.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [](const auto &) {}},
               operation);
}

} // namespace

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
    std::visit(overloaded{[&](const started &process) {
                              state.incarnation = process.incarnation;
                              state.storeSeenAt = ctx.now;
                              startFeeds(s);
                              updateReadiness(s);
                              pollFeeds(s);
                          },
                          [&](const tick &) { onTick(s); },
                          [&](const call_received &received) { onCallReceived(s, received); },
                          [&](const batch_received &received) { onBatchReceived(s, received); },
                          [&](const page_asked &request) { onPageAsked(s, request); },
                          [&](const item_asked &request) { onItemAsked(s, request); },
                          [&](const batch_end_asked &request) { onBatchEndAsked(s, request); },
                          [&](const caller_gone &disconnected) { onCallerDisconnected(s, disconnected); },
                          [&](const rows_arrived &rows) {
                              closeOperation(rows.op,
                                             [&](const purpose &operation) { onRows(s, operation, rows); });
                              if (std::exchange(state.headsChanged, false)) {
                                  takeOrphans(s);
                              }
                              pollFeeds(s);
                          },
                          [&](const history_gone &truncated) {
                              closeOperation(truncated.op, [&](const purpose &operation) {
                                  recordStoreResponse(s, 0);
                                  if (const auto *feed = std::get_if<for_feed>(&operation)) {
                                      onFeedHistoryTruncated(s, feed->table);
                                  }
                              });
                          },
                          [&](const rows_committed &committed) {
                              closeOperation(committed.op, [&](const purpose &operation) {
                                  onCommitted(s, operation, committed);
                              });
                          },
                          [&](const rows_conflict &conflict) {
                              closeOperation(conflict.op, [&](const purpose &operation) {
                                  onConflict(s, operation, conflict);
                              });
                          },
                          [&](const store_failed &failed) {
                              closeOperation(failed.op, [&](const purpose &operation) {
                                  onStoreFailed(s, operation, failed);
                              });
                          },
                          [&](const run_progressed &progress) {
                              const auto found = state.ops.find(progress.op);
                              if (found != state.ops.end()) {
                                  if (const auto *run = std::get_if<for_run>(&found->second)) {
                                      const for_run operation = *run;
                                      onRunProgress(s, operation, progress);
                                  }
                              }
                          },
                          [&](const run_ended &ended) {
                              closeOperation(ended.op, [&](const purpose &operation) {
                                  if (const auto *run = std::get_if<for_run>(&operation)) {
                                      onRunEnded(s, *run, ended.end);
                                  }
                              });
                          },
                          [&](const call_ended &ended) {
                              closeOperation(ended.op, [&](const purpose &operation) {
                                  if (const auto *call = std::get_if<for_call>(&operation)) {
                                      onCallEnded(s, *call, ended);
                                  } else if (const auto *order = std::get_if<for_order>(&operation)) {
                                      onOrderEnded(s, *order, ended);
                                  }
                              });
                          },
                          [&](const load_reported &report) {
                              closeOperation(report.op, [&](const purpose &operation) {
                                  if (const auto *order = std::get_if<for_order>(&operation)) {
                                      onLoadReported(s, *order, report);
                                  }
                              });
                          },
                          [&](const news_asked &request) { onUpstreamDeltaRequested(s, request); },
                          [&](const news_arrived &received) {
                              closeOperation(received.op,
                                             [&](const purpose &) { onUpstreamDeltaReceived(s, received); });
                          },
                          [&](const stop_requested &) { onStop(s); }},
               incoming);
    return std::move(s.out);
}

} // namespace jacinthvale::node
