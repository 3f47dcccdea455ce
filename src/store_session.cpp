#include <jacinthvale/store_session.h>

#include "store_json.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace jacinthvale {

namespace {

constexpr int kHttpBadRequest = 400;
constexpr int kHttpInternalError = 500;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnavailable = 503;

/// @returns true if the status proves that the operation had no effect and has no result.
bool refusedBeforeEffect(int status)
{
    const bool clientError = status >= kHttpBadRequest && status < kHttpInternalError;
    return status == kHttpUnavailable || (clientError && status != kHttpConflict);
}

bool isTransaction(const store_operation &operation)
{
    return std::holds_alternative<store_transact>(operation);
}

/// Searches the rows of a conflict for the write id of this transaction.
/// @returns the versions of its writes if an earlier attempt of it took effect.
std::optional<store_committed> findOwnCommit(const store_transact &transact, const store_conflict &conflict)
{
    store_committed committed;
    bool found = false;
    for (const store_write &write : transact.writes) {
        const auto row = std::ranges::find(conflict.rows, write.key, &store_row::key);
        const bool own = row != conflict.rows.end() && row->writeId == transact.writeId;
        found = found || own;
        committed.versions.push_back(own ? row->version : 0);
    }
    return found ? std::optional(committed) : std::nullopt;
}

} // namespace

std::vector<store_action> store_session::submit(const call_store &call, const context &ctx)
{
    if (isBreakerOpen(ctx.now)) {
        return {store_call_finished{call.operation,
                                    store_unavailable{"the store does not answer; its circuit breaker is "
                                                      "open, so the operation was not sent"}}};
    }
    running_operation &running = m_running[++m_lastOperation];
    running.call = call;
    running.deadline = ctx.now + call.deadline;
    running.notBefore = ctx.now;
    return {startAttempt(running, ctx)};
}

store_attempt store_session::startAttempt(running_operation &running, const context &ctx)
{
    running.attempt = store_attempt_id{++m_lastAttempt};
    ++running.attempts;
    const store_http_request request = toHttpRequest(running.call.request);
    const auto remaining = std::max(running.deadline - ctx.now, milliseconds{1});
    return {*running.attempt, request.method, request.path, request.body,
            std::min(remaining, m_retryPolicy.attemptTimeout)};
}

std::vector<store_action> store_session::finished(store_attempt_id attempt, const http_call_finished &result,
                                                  const context &ctx)
{
    const auto found = std::ranges::find_if(
            m_running, [&](const auto &entry) { return entry.second.attempt == attempt; });
    if (found == m_running.end()) {
        return {};
    }
    running_operation &running = found->second;
    running.attempt.reset();
    updateBreaker(result.outcome == transfer_outcome::complete && !refusedBeforeEffect(result.status),
                  ctx.now);
    if (std::optional<store_outcome> outcome = interpretResponse(running, result)) {
        const operation_id operation = running.call.operation;
        m_running.erase(found);
        return {store_call_finished{operation, std::move(*outcome)}};
    }
    const bool effectPossible
            = !isUnsent(result.outcome)
              && !(result.outcome == transfer_outcome::complete && refusedBeforeEffect(result.status));
    running.lostAnswer = running.lostAnswer || effectPossible;
    scheduleRetry(running, ctx);
    return {};
}

std::optional<store_outcome> store_session::interpretResponse(const running_operation &running,
                                                              const http_call_finished &result) const
{
    if (result.outcome != transfer_outcome::complete) {
        return std::nullopt;
    }
    std::optional<store_outcome> outcome
            = parseStoreResponse(running.call.request, result.status, result.body);
    if (!outcome || !running.lostAnswer) {
        return outcome;
    }
    if (auto *conflict = std::get_if<store_conflict>(&*outcome)) {
        const auto &transact = std::get<store_transact>(running.call.request);
        if (const auto own = findOwnCommit(transact, *conflict)) {
            return *own;
        }
        conflict->afterLostAnswer = true;
    }
    return outcome;
}

void store_session::updateBreaker(bool answered, instant now)
{
    m_consecutiveFailures = answered ? 0 : m_consecutiveFailures + 1;
    if (m_consecutiveFailures >= m_retryPolicy.breakerFailureThreshold) {
        m_openUntil = now + m_retryPolicy.breakerOpenTime;
    }
}

void store_session::scheduleRetry(running_operation &running, const context &ctx) const
{
    constexpr int kMaxDoublings = 10;
    const auto doubled = m_retryPolicy.initialBackoff * (1 << std::min(running.attempts - 1, kMaxDoublings));
    const auto backoff = std::min(doubled, m_retryPolicy.maxBackoff);
    // Random jitter over the upper half of the backoff spreads the retries of many daemons.
    const auto half = std::max<std::int64_t>(backoff.count() / 2, 1);
    const auto jitter = static_cast<std::int64_t>(ctx.random % static_cast<std::uint64_t>(half));
    running.notBefore = ctx.now + milliseconds{half + jitter};
}

store_outcome store_session::outcomeWithoutAnswer(const running_operation &running, const std::string &reason)
{
    if (isTransaction(running.call.request) && (running.lostAnswer || running.attempt)) {
        return store_unknown{};
    }
    return store_unavailable{reason};
}

std::vector<store_action> store_session::advance(const context &ctx)
{
    std::vector<store_action> actions;
    for (auto entry = m_running.begin(); entry != m_running.end();) {
        running_operation &running = entry->second;
        if (ctx.now >= running.deadline) {
            actions.emplace_back(store_call_finished{
                    running.call.operation,
                    outcomeWithoutAnswer(running, "the store did not answer before the deadline")});
            entry = m_running.erase(entry);
            continue;
        }
        if (!running.attempt && ctx.now >= running.notBefore && !isBreakerOpen(ctx.now)) {
            actions.emplace_back(startAttempt(running, ctx));
        }
        ++entry;
    }
    return actions;
}

} // namespace jacinthvale
