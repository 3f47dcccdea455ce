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

/// @returns true where the store says that it did nothing and gives no result.
bool refusedBeforeEffect(int status)
{
    const bool clientError = status >= kHttpBadRequest && status < kHttpInternalError;
    return status == kHttpUnavailable || (clientError && status != kHttpConflict);
}

bool isTransaction(const store_operation &operation)
{
    return std::holds_alternative<store_transact>(operation);
}

/// Looks for rows that bear this transaction's write id.
/// @returns the versions of its writes if an earlier copy took effect.
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

std::vector<store_action> store_session::submit(const call_store &call, const context &at)
{
    if (isOpen(at.now)) {
        return {store_answered{call.operation, store_unavailable{"store does not answer"}}};
    }
    running_operation &running = m_running[++m_lastOperation];
    running.call = call;
    running.deadline = at.now + call.deadline;
    running.notBefore = at.now;
    return {makeAttempt(running, at)};
}

store_attempt store_session::makeAttempt(running_operation &running, const context &at)
{
    running.attempt = store_attempt_id{++m_lastAttempt};
    ++running.attempts;
    const store_http_request request = toHttp(running.call.what);
    const auto left = std::max(running.deadline - at.now, milliseconds{1});
    return {*running.attempt, request.method, request.path, request.body,
            std::min(left, m_pace.attemptTimeout)};
}

std::vector<store_action> store_session::finished(store_attempt_id attempt, const http_call_finished &result,
                                                  const context &at)
{
    const auto found = std::ranges::find_if(
            m_running, [&](const auto &entry) { return entry.second.attempt == attempt; });
    if (found == m_running.end()) {
        return {};
    }
    running_operation &running = found->second;
    running.attempt.reset();
    noteAnswer(result.outcome == transfer_outcome::complete && !refusedBeforeEffect(result.status), at.now);
    if (std::optional<store_outcome> outcome = judge(running, result)) {
        const operation_id operation = running.call.operation;
        m_running.erase(found);
        return {store_answered{operation, std::move(*outcome)}};
    }
    const bool effectPossible
            = result.outcome != transfer_outcome::nothing_sent
              && !(result.outcome == transfer_outcome::complete && refusedBeforeEffect(result.status));
    running.lostAnswer = running.lostAnswer || effectPossible;
    scheduleRetry(running, at);
    return {};
}

std::optional<store_outcome> store_session::judge(const running_operation &running,
                                                  const http_call_finished &result) const
{
    if (result.outcome != transfer_outcome::complete) {
        return std::nullopt;
    }
    std::optional<store_outcome> outcome = readStoreAnswer(running.call.what, result.status, result.body);
    if (!outcome || !running.lostAnswer) {
        return outcome;
    }
    if (auto *conflict = std::get_if<store_conflict>(&*outcome)) {
        const auto &transact = std::get<store_transact>(running.call.what);
        if (const auto own = findOwnCommit(transact, *conflict)) {
            return *own;
        }
        conflict->afterLostAnswer = true;
    }
    return outcome;
}

void store_session::noteAnswer(bool answered, instant now)
{
    m_consecutiveFailures = answered ? 0 : m_consecutiveFailures + 1;
    if (m_consecutiveFailures >= m_pace.breakerFailures) {
        m_openUntil = now + m_pace.breakerPause;
    }
}

void store_session::scheduleRetry(running_operation &running, const context &at) const
{
    constexpr int kMaxDoublings = 10;
    const auto doubled = m_pace.firstBackoff * (1 << std::min(running.attempts - 1, kMaxDoublings));
    const auto backoff = std::min(doubled, m_pace.maxBackoff);
    // Full jitter over the upper half keeps retries of many daemons apart.
    const auto half = std::max<std::int64_t>(backoff.count() / 2, 1);
    const auto jitter = static_cast<std::int64_t>(at.random % static_cast<std::uint64_t>(half));
    running.notBefore = at.now + milliseconds{half + jitter};
}

store_outcome store_session::outcomeWithoutAnswer(const running_operation &running, const std::string &reason)
{
    if (isTransaction(running.call.what) && (running.lostAnswer || running.attempt)) {
        return store_unknown{};
    }
    return store_unavailable{reason};
}

std::vector<store_action> store_session::advance(const context &at)
{
    std::vector<store_action> actions;
    for (auto entry = m_running.begin(); entry != m_running.end();) {
        running_operation &running = entry->second;
        if (at.now >= running.deadline) {
            actions.emplace_back(store_answered{
                    running.call.operation, outcomeWithoutAnswer(running, "no answer before the deadline")});
            entry = m_running.erase(entry);
            continue;
        }
        if (!running.attempt && at.now >= running.notBefore && !isOpen(at.now)) {
            actions.emplace_back(makeAttempt(running, at));
        }
        ++entry;
    }
    return actions;
}

} // namespace jacinthvale
