// Planned stop: a request is taken only if its answer comes before the process ends, and each one that is
// open then is answered.
#include "node_call_policy.h"
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Part of the stop grace period for which the process no longer waits for batches, leases and duties that it
/// could not hand over.
constexpr milliseconds kHandoverReserve{1500};

/// Part of the stop grace period in which the last answers reach their callers.
constexpr milliseconds kLastAnswerReserve{500};

/// A request whose deadline lies after the end of the process is taken only if this multiple of the usual
/// duration is left.
constexpr double kDurationMargin = 2;

/// @returns true if the operation is a call to the store for a caller. Batches that are being stored are one.
bool servesCaller(const operation_purpose &purpose)
{
    return std::holds_alternative<page_operation>(purpose) || std::holds_alternative<item_operation>(purpose)
           || std::holds_alternative<batch_end_operation>(purpose)
           || std::holds_alternative<accept_operation>(purpose);
}

bool isRead(const operation_purpose &purpose)
{
    const auto *end = std::get_if<batch_end_operation>(&purpose);
    return end != nullptr ? end->readingHead : !std::holds_alternative<accept_operation>(purpose);
}

/// Answers the callers for which the store is being asked.
void failStoreRequests(step &s)
{
    std::vector<std::pair<op_id, operation_purpose>> requests;
    std::ranges::copy_if(s.state.ops, std::back_inserter(requests),
                         [](const auto &entry) { return servesCaller(entry.second); });
    for (const auto &[op, purpose] : requests) {
        s.state.ops.erase(op);
        onStoreFailed(s, purpose, {op, !isRead(purpose), "the process ends before the store has answered"});
    }
    for (const auto &[exchange, page] : std::exchange(s.state.pages, {})) {
        logPageLost(s, "page-not-read", page, "the process ends");
        s.emit(refuse_call{exchange, refusal::not_run, {}});
    }
}

/// Ends the waits of readers: they go on at another daemon.
void endLongPolls(step &s)
{
    for (auto &[exchange, page] : s.state.pages) {
        page.until = std::min(page.until, s.ctx.now);
    }
    for (auto &[id, batch] : s.state.owned) {
        for (waiting_reader &reader : batch.readers) {
            reader.until = std::min(reader.until, s.ctx.now);
        }
        answerReaders(s, batch);
    }
}

void refuseWhileStopping(step &s, exchange_id exchange, const std::string &subject, milliseconds needed)
{
    s.log("refused-while-stopping", subject, "its answer may come after the end of this process",
          {{"neededMs", needed.count()}, {"leftMs", (s.state.answersBy - s.ctx.now).count()}});
    s.emit(count{"refused_while_stopping_total"});
    // Other daemons take it at once.
    s.emit(refuse_call{exchange, refusal::not_run, milliseconds{0}});
}

} // namespace

bool takesWhileStopping(step &s, exchange_id exchange, const std::string &subject, instant deadline,
                        std::optional<double> usualMs)
{
    const node_state &state = s.state;
    if (!state.stopping || deadline <= state.answersBy) {
        return true;
    }
    // New callers still come; they are served where such requests usually end in time.
    const bool early = s.ctx.now < state.stopRequestedAt + kRotationTime;
    const auto left = static_cast<double>((state.answersBy - s.ctx.now).count());
    if (early && usualMs && *usualMs * kDurationMargin <= left) {
        return true;
    }
    refuseWhileStopping(s, exchange, subject, deadline - s.ctx.now);
    return false;
}

bool takesStoreRequest(step &s, exchange_id exchange, const std::string &subject)
{
    return takesWhileStopping(s, exchange, subject, s.ctx.now + kStoreReadDeadline, std::nullopt);
}

instant endBeforeExit(const node_state &state, instant deadline)
{
    return state.stopping ? std::min(deadline, state.answersBy) : deadline;
}

void onStop(step &s)
{
    node_state &state = s.state;
    if (state.stopping) {
        return;
    }
    state.stopping = true;
    state.stopRequestedAt = s.ctx.now;
    state.stopAt = s.ctx.now + state.self.stopGrace - kHandoverReserve;
    state.answersBy = s.ctx.now + state.self.stopGrace - kLastAnswerReserve;
    state.nextHeartbeatAt = s.ctx.now;
    for (auto &[origin, call] : state.calls) {
        call.deadline = endBeforeExit(state, call.deadline);
    }
    for (auto &[exchange, stream] : state.streams) {
        stream.deadline = endBeforeExit(state, stream.deadline);
    }
    s.log("stopping", state.self.host.value,
          "batches to hand over: " + std::to_string(state.owned.size())
                  + ", calls: " + std::to_string(state.calls.size())
                  + ", streams: " + std::to_string(state.streams.size()));
    updateReadiness(s);
    endLongPolls(s);
    handOverBatches(s);
}

void continueStop(step &s)
{
    node_state &state = s.state;
    if (!state.stopping) {
        return;
    }
    if (s.ctx.now >= state.answersBy) {
        failStoreRequests(s);
    }
    // Those of other daemons count, too.
    const bool answered
            = state.calls.empty() && state.streams.empty() && state.pages.empty()
              && std::ranges::none_of(state.ops, servesCaller, &decltype(state.ops)::value_type::second);
    const bool handedOver = !state.weightsLeader.held && areDutiesReleased(state) && state.owned.empty();
    if ((answered && (handedOver || s.ctx.now >= state.stopAt)) || s.ctx.now >= state.answersBy) {
        s.emit(end_process{});
    }
}

} // namespace jacinthvale::node
