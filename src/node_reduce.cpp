#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Told to callers who come while the store cannot be asked.
constexpr milliseconds kComeBackAfterStore{300};

/// Time kept at the end of a graceful stop in which the last answers leave.
constexpr milliseconds kStopReserve{1500};

void noteStore(step &s, std::uint64_t storeNowMs)
{
    s.state.lastStoreAnswerAt = s.ctx.now;
    if (storeNowMs != 0) {
        s.state.storeNowMs = storeNowMs;
        s.state.storeNowAt = s.ctx.now;
    }
}

void onTick(step &s)
{
    followFeeds(s);
    beat(s);
    claimOrphanedBatches(s);
    expireOverdueItems(s);
    watchCalls(s);
    moveStragglers(s);
    startRuns(s);
    checkpointBatches(s);
    pollPages(s);
    runWeightsLeader(s);
    updateReadiness(s);
    if (!s.state.stopping) {
        return;
    }
    handOverBatches(s);
    const bool idle = !s.state.weightsLeader.held && s.state.owned.empty() && s.state.calls.empty()
                      && s.state.pending.empty() && s.state.pages.empty();
    if (idle || s.ctx.now >= s.state.stopAt) {
        s.emit(end_process{});
    }
}

void onStop(step &s)
{
    if (s.state.stopping) {
        return;
    }
    s.state.stopping = true;
    s.state.stopAt = s.ctx.now + s.state.self.stopGrace - kStopReserve;
    s.state.nextHeartbeatAt = s.ctx.now;
    s.log("stopping", s.state.self.host.value,
          "batches to hand over " + std::to_string(s.state.owned.size()));
    updateReadiness(s);
    handOverBatches(s);
}

void onRows(step &s, operation_purpose what, const rows_received &rows)
{
    noteStore(s, rows.storeNowMs);
    std::visit(overloaded{[&](const feed_operation &of) { onFeedRows(s, of.table, rows); },
                          [&](const page_operation &of) { onPageRows(s, of, rows); },
                          [&](const item_operation &of) { onItemRows(s, of, rows); },
                          [&](const load_operation &of) { onLoadRows(s, of.batch, rows); },
                          [&](const batch_end_operation &of) {
                              for (const row_change &change : rows.rows) {
                                  onHeadRow(s, change.row);
                              }
                              continueBatchEnd(s, of);
                          },
                          [](const auto &) {}},
               what);
}

void onCommitted(step &s, operation_purpose what, const rows_committed &committed)
{
    noteStore(s, committed.storeNowMs);
    std::visit(overloaded{[&](const heartbeat_operation &) { onBeatCommitted(s, committed); },
                          [&](const accept_operation &of) { onAcceptCommitted(s, of.batch, committed); },
                          [&](const commit_operation &of) { onResultsCommitted(s, of.batch); },
                          [&](const claim_operation &of) {
                              onClaimFinished(s, of.batch);
                              onClaimCommitted(s, of, committed);
                          },
                          [&](const lease_operation &) { onLeaseCommitted(s, committed); },
                          [&](const release_operation &of) { dropOwnedBatch(s, of.batch, "handed over"); },
                          [&](const batch_end_operation &of) {
                              batch_head head = s.state.heads[of.batch];
                              head.ended = true;
                              head.rowVersion = committed.version;
                              s.state.heads[of.batch] = head;
                              s.log("batch-ended", of.batch.value);
                              dropOwnedBatch(s, of.batch, "ended");
                              s.emit(answer_batch_ended{of.exchange});
                          },
                          [](const auto &) {}},
               what);
}

void onConflict(step &s, operation_purpose what, const rows_conflict &conflict)
{
    noteStore(s, 0);
    const auto readHead = [&](const batch_id &id) {
        for (const row &present : conflict.rows) {
            if (present.key.table == table_id::heads && present.key.key == id.value) {
                onHeadRow(s, present);
            }
        }
    };
    std::visit(overloaded{[&](const heartbeat_operation &) { onBeatConflict(s, conflict); },
                          [&](const accept_operation &of) { onAcceptConflict(s, of.batch, conflict); },
                          [&](const commit_operation &of) { onResultsConflict(s, of.batch, conflict); },
                          [&](const claim_operation &of) {
                              readHead(of.batch);
                              onClaimFinished(s, of.batch);
                          },
                          [&](const checkpoint_operation &of) { readHead(of.batch); },
                          [&](const lease_operation &) { onLeaseConflict(s, conflict); },
                          [&](const release_operation &of) {
                              readHead(of.batch);
                              if (const auto found = s.state.owned.find(of.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [&](const batch_end_operation &of) {
                              readHead(of.batch);
                              continueBatchEnd(s, of);
                          },
                          [](const auto &) {}},
               what);
}

void onStoreFailed(step &s, operation_purpose what, const store_failed &failed)
{
    const auto refuse = [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, failed.outcomeUnknown ? refusal::may_have_run : refusal::not_run,
                           kComeBackAfterStore});
    };
    s.emit(count{"store_failures"});
    std::visit(overloaded{[&](const feed_operation &of) { onFeedFailed(s, of.table, failed); },
                          [&](const heartbeat_operation &) {
                              s.state.heartbeatRunning = false;
                              s.log("beat-failed", s.state.self.host.value, failed.reason);
                          },
                          [&](const accept_operation &of) { onAcceptFailed(s, of.batch, failed); },
                          [&](const commit_operation &of) { onResultsFailed(s, of.batch); },
                          [&](const claim_operation &of) { onClaimFinished(s, of.batch); },
                          [&](const lease_operation &) { onLeaseFailed(s); },
                          [&](const page_operation &of) {
                              const auto page = s.state.pages.extract(of.exchange);
                              if (!page.empty()) {
                                  s.log("page-not-read", page.mapped().batch.value, failed.reason);
                                  refuse(of.exchange);
                              }
                          },
                          [&](const item_operation &of) {
                              s.log("item-not-read", of.item.value, failed.reason);
                              refuse(of.exchange);
                          },
                          [&](const batch_end_operation &of) {
                              s.log("end-not-stored", of.batch.value, failed.reason);
                              refuse(of.exchange);
                          },
                          [&](const load_operation &of) {
                              s.log("batch-not-loaded", of.batch.value, failed.reason);
                              s.state.loading.erase(of.batch);
                          },
                          [&](const release_operation &of) {
                              if (const auto found = s.state.owned.find(of.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [](const auto &) {}},
               what);
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
    // Takes the purpose of an operation that ends; an operation that was given up has none.
    const auto close = [&](op_id op, const auto &handle) {
        const auto node = state.ops.extract(op);
        if (!node.empty()) {
            handle(node.mapped());
        }
    };
    std::visit(overloaded{[&](const started &now) {
                              state.incarnation = now.incarnation;
                              state.lastStoreAnswerAt = ctx.now;
                              startFeeds(s);
                              updateReadiness(s);
                              followFeeds(s);
                          },
                          [&](const tick &) { onTick(s); },
                          [&](const call_received &now) { onCallReceived(s, now); },
                          [&](const batch_received &now) { onBatchReceived(s, now); },
                          [&](const page_requested &now) { onPageRequested(s, now); },
                          [&](const item_requested &now) { onItemRequested(s, now); },
                          [&](const batch_end_requested &now) { onBatchEndRequested(s, now); },
                          [&](const caller_disconnected &now) { onCallerGone(s, now); },
                          [&](const rows_received &now) {
                              close(now.op, [&](const operation_purpose &of) { onRows(s, of, now); });
                              if (std::exchange(state.headsChanged, false)) {
                                  claimOrphanedBatches(s);
                              }
                              followFeeds(s);
                          },
                          [&](const history_expired &now) {
                              close(now.op, [&](const operation_purpose &of) {
                                  noteStore(s, 0);
                                  if (const auto *feed = std::get_if<feed_operation>(&of)) {
                                      onFeedGone(s, feed->table);
                                  }
                              });
                          },
                          [&](const rows_committed &now) {
                              close(now.op, [&](const operation_purpose &of) { onCommitted(s, of, now); });
                          },
                          [&](const rows_conflict &now) {
                              close(now.op, [&](const operation_purpose &of) { onConflict(s, of, now); });
                          },
                          [&](const store_failed &now) {
                              close(now.op, [&](const operation_purpose &of) { onStoreFailed(s, of, now); });
                          },
                          [&](const run_progressed &now) {
                              const auto found = state.ops.find(now.op);
                              if (found != state.ops.end()) {
                                  if (const auto *run = std::get_if<run_operation>(&found->second)) {
                                      const run_operation of = *run;
                                      onRunProgress(s, of, now);
                                  }
                              }
                          },
                          [&](const run_ended &now) {
                              close(now.op, [&](const operation_purpose &of) {
                                  if (const auto *run = std::get_if<run_operation>(&of)) {
                                      onRunEnded(s, *run, now.end);
                                  }
                              });
                          },
                          [&](const call_ended &now) {
                              close(now.op, [&](const operation_purpose &of) {
                                  if (const auto *call = std::get_if<call_operation>(&of)) {
                                      onCallEnded(s, *call, now);
                                  } else if (const auto *order = std::get_if<order_operation>(&of)) {
                                      onOrderEnded(s, *order, now);
                                  }
                              });
                          },
                          [&](const upstream_status_received &now) {
                              close(now.op, [&](const operation_purpose &of) {
                                  if (const auto *order = std::get_if<order_operation>(&of)) {
                                      onUpstreamStatus(s, *order, now);
                                  }
                              });
                          },
                          [&](const upstream_delta_requested &now) { onNewsAsked(s, now); },
                          [&](const upstream_delta_received &now) {
                              close(now.op, [&](const operation_purpose &) { onNewsArrived(s, now); });
                          },
                          [&](const stop_requested &) { onStop(s); }},
               incoming);
    return std::move(s.out);
}

} // namespace jacinthvale::node
