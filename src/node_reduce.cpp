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
    s.state.storeSeenAt = s.at.now;
    if (storeNowMs != 0) {
        s.state.storeNowMs = storeNowMs;
        s.state.storeNowAt = s.at.now;
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
    conduct(s);
    updateReadiness(s);
    if (!s.state.stopping) {
        return;
    }
    handOverBatches(s);
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
    s.state.stopAt = s.at.now + s.state.self.stopGrace - kStopReserve;
    s.state.nextBeatAt = s.at.now;
    s.log("stopping", s.state.self.host.value,
          "batches to hand over " + std::to_string(s.state.owned.size()));
    updateReadiness(s);
    handOverBatches(s);
}

void onRows(step &s, purpose what, const rows_arrived &rows)
{
    noteStore(s, rows.storeNowMs);
    std::visit(overloaded{[&](const for_feed &of) { onFeedRows(s, of.table, rows); },
                          [&](const for_page &of) { onPageRows(s, of, rows); },
                          [&](const for_item &of) { onItemRows(s, of, rows); },
                          [&](const for_load &of) { onLoadRows(s, of.batch, rows); },
                          [&](const for_end &of) {
                              for (const row_change &change : rows.rows) {
                                  onHeadRow(s, change.what);
                              }
                              continueBatchEnd(s, of);
                          },
                          [](const auto &) {}},
               what);
}

void onCommitted(step &s, purpose what, const rows_committed &committed)
{
    noteStore(s, committed.storeNowMs);
    std::visit(overloaded{[&](const for_beat &) { onBeatCommitted(s, committed); },
                          [&](const for_accept &of) { onAcceptCommitted(s, of.batch, committed); },
                          [&](const for_commit &of) { onResultsCommitted(s, of.batch); },
                          [&](const for_claim &of) {
                              onClaimFinished(s, of.batch);
                              onClaimCommitted(s, of, committed);
                          },
                          [&](const for_lease &) { onLeaseCommitted(s, committed); },
                          [&](const for_release &of) { dropOwnedBatch(s, of.batch, "handed over"); },
                          [&](const for_end &of) {
                              batch_head head = s.state.heads[of.batch];
                              head.ended = true;
                              head.rowVersion = committed.version;
                              s.state.heads[of.batch] = head;
                              s.log("batch-ended", of.batch.value);
                              dropOwnedBatch(s, of.batch, "ended");
                              s.emit(answer_ended{of.exchange});
                          },
                          [](const auto &) {}},
               what);
}

void onConflict(step &s, purpose what, const rows_conflict &conflict)
{
    noteStore(s, 0);
    const auto readHead = [&](const batch_id &id) {
        for (const row &present : conflict.rows) {
            if (present.key.table == table_id::heads && present.key.key == id.value) {
                onHeadRow(s, present);
            }
        }
    };
    std::visit(overloaded{[&](const for_beat &) { onBeatConflict(s, conflict); },
                          [&](const for_accept &of) { onAcceptConflict(s, of.batch, conflict); },
                          [&](const for_commit &of) { onResultsConflict(s, of.batch, conflict); },
                          [&](const for_claim &of) {
                              readHead(of.batch);
                              onClaimFinished(s, of.batch);
                          },
                          [&](const for_checkpoint &of) { readHead(of.batch); },
                          [&](const for_lease &) { onLeaseConflict(s, conflict); },
                          [&](const for_release &of) {
                              readHead(of.batch);
                              if (const auto found = s.state.owned.find(of.batch);
                                  found != s.state.owned.end()) {
                                  found->second.handingOver = false;
                              }
                          },
                          [&](const for_end &of) {
                              readHead(of.batch);
                              continueBatchEnd(s, of);
                          },
                          [](const auto &) {}},
               what);
}

void onStoreFailed(step &s, purpose what, const store_failed &failed)
{
    const auto refuse = [&](exchange_id exchange) {
        s.emit(refuse_call{exchange, failed.mayHappen ? refusal::may_have_run : refusal::not_run,
                           kComeBackAfterStore});
    };
    s.emit(count{"store_failures"});
    std::visit(overloaded{[&](const for_feed &of) { onFeedFailed(s, of.table, failed); },
                          [&](const for_beat &) {
                              s.state.beatRunning = false;
                              s.log("beat-failed", s.state.self.host.value, failed.reason);
                          },
                          [&](const for_accept &of) { onAcceptFailed(s, of.batch, failed); },
                          [&](const for_commit &of) { onResultsFailed(s, of.batch); },
                          [&](const for_claim &of) { onClaimFinished(s, of.batch); },
                          [&](const for_lease &) { onLeaseFailed(s); },
                          [&](const for_page &of) {
                              const auto page = s.state.pages.extract(of.exchange);
                              if (!page.empty()) {
                                  s.log("page-not-read", page.mapped().batch.value, failed.reason);
                                  refuse(of.exchange);
                              }
                          },
                          [&](const for_item &of) {
                              s.log("item-not-read", of.item.value, failed.reason);
                              refuse(of.exchange);
                          },
                          [&](const for_end &of) {
                              s.log("end-not-stored", of.batch.value, failed.reason);
                              refuse(of.exchange);
                          },
                          [&](const for_load &of) {
                              s.log("batch-not-loaded", of.batch.value, failed.reason);
                              s.state.loading.erase(of.batch);
                          },
                          [&](const for_release &of) {
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

effects reduce(node_state &state, const event &what, const context &at)
{
    step s{state, at, {}};
    // Takes the purpose of an operation that ends; an operation that was given up has none.
    const auto close = [&](op_id op, const auto &handle) {
        const auto node = state.ops.extract(op);
        if (!node.empty()) {
            handle(node.mapped());
        }
    };
    std::visit(overloaded{[&](const started &now) {
                              state.incarnation = now.incarnation;
                              state.storeSeenAt = at.now;
                              startFeeds(s);
                              updateReadiness(s);
                              followFeeds(s);
                          },
                          [&](const tick &) { onTick(s); },
                          [&](const call_received &now) { onCallReceived(s, now); },
                          [&](const batch_received &now) { onBatchReceived(s, now); },
                          [&](const page_asked &now) { onPageRequested(s, now); },
                          [&](const item_asked &now) { onItemRequested(s, now); },
                          [&](const batch_end_asked &now) { onBatchEndRequested(s, now); },
                          [&](const caller_gone &now) { onCallerGone(s, now); },
                          [&](const rows_arrived &now) {
                              close(now.op, [&](const purpose &of) { onRows(s, of, now); });
                              if (std::exchange(state.headsChanged, false)) {
                                  claimOrphanedBatches(s);
                              }
                              followFeeds(s);
                          },
                          [&](const history_gone &now) {
                              close(now.op, [&](const purpose &of) {
                                  noteStore(s, 0);
                                  if (const auto *feed = std::get_if<for_feed>(&of)) {
                                      onFeedGone(s, feed->table);
                                  }
                              });
                          },
                          [&](const rows_committed &now) {
                              close(now.op, [&](const purpose &of) { onCommitted(s, of, now); });
                          },
                          [&](const rows_conflict &now) {
                              close(now.op, [&](const purpose &of) { onConflict(s, of, now); });
                          },
                          [&](const store_failed &now) {
                              close(now.op, [&](const purpose &of) { onStoreFailed(s, of, now); });
                          },
                          [&](const run_progressed &now) {
                              const auto found = state.ops.find(now.op);
                              if (found != state.ops.end()) {
                                  if (const auto *run = std::get_if<for_run>(&found->second)) {
                                      const for_run of = *run;
                                      onRunProgress(s, of, now);
                                  }
                              }
                          },
                          [&](const run_ended &now) {
                              close(now.op, [&](const purpose &of) {
                                  if (const auto *run = std::get_if<for_run>(&of)) {
                                      onRunEnded(s, *run, now.end);
                                  }
                              });
                          },
                          [&](const call_ended &now) {
                              close(now.op, [&](const purpose &of) {
                                  if (const auto *call = std::get_if<for_call>(&of)) {
                                      onCallEnded(s, *call, now);
                                  } else if (const auto *order = std::get_if<for_order>(&of)) {
                                      onOrderEnded(s, *order, now);
                                  }
                              });
                          },
                          [&](const load_reported &now) {
                              close(now.op, [&](const purpose &of) {
                                  if (const auto *order = std::get_if<for_order>(&of)) {
                                      onLoadReported(s, *order, now);
                                  }
                              });
                          },
                          [&](const news_asked &now) { onNewsAsked(s, now); },
                          [&](const news_arrived &now) {
                              close(now.op, [&](const purpose &) { onNewsArrived(s, now); });
                          },
                          [&](const stop_requested &) { onStop(s); }},
               what);
    return std::move(s.out);
}

} // namespace jacinthvale::node
