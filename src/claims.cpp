#include <jacinthvale/claims.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace jacinthvale {

std::optional<store_transact> claim_batcher::nextTransaction(std::uint64_t operation,
                                                             const std::string &writeId, bool sendNow)
{
    const bool due = m_inFlight.empty() || sendNow || m_queued.size() >= kEagerSendWrites;
    if (m_queued.empty() || !due || m_inFlight.size() >= kMaxTransactions) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_queued.size(), kMaxWritesPerTransaction));
    std::vector<store_write> &batch = m_inFlight[operation];
    batch.assign(m_queued.begin(), m_queued.begin() + count);
    m_queued.erase(m_queued.begin(), m_queued.begin() + count);
    return store_transact{writeId, {}, batch};
}

std::vector<claim_batcher::result> claim_batcher::finishTransaction(std::uint64_t operation,
                                                                    const store_outcome &storeOutcome)
{
    auto entry = m_inFlight.extract(operation);
    if (entry.empty()) {
        return {};
    }
    std::vector<store_write> writes = std::move(entry.mapped());
    if (const auto *conflicting = std::get_if<store_conflict>(&storeOutcome)) {
        return resolveConflict(std::move(writes), *conflicting);
    }
    const auto *committedWrites = std::get_if<store_committed>(&storeOutcome);
    const bool noEffect = std::holds_alternative<store_unavailable>(storeOutcome);
    std::vector<result> results;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        write_outcome outcome = noEffect ? write_outcome{unavailable{}} : write_outcome{unknown{}};
        if (committedWrites != nullptr && i < committedWrites->versions.size()) {
            outcome = committed{committedWrites->versions[i]};
        }
        results.push_back({std::move(writes[i]), outcome});
    }
    return results;
}

/// A conflict proves that none of the writes took effect, so the writes whose expected version matches may be
/// sent again.
std::vector<claim_batcher::result> claim_batcher::resolveConflict(std::vector<store_write> writes,
                                                                  const store_conflict &conflicting)
{
    std::vector<result> results;
    std::vector<store_write> resend;
    for (store_write &write : writes) {
        const auto row = std::ranges::find(conflicting.rows, write.key, &store_row::key);
        const std::uint64_t version = row == conflicting.rows.end() ? 0 : row->version;
        if (version == write.expectedVersion) {
            resend.push_back(std::move(write));
            continue;
        }
        conflict rowConflict;
        if (row != conflicting.rows.end()) {
            rowConflict.row = *row;
        }
        results.push_back({std::move(write), rowConflict});
    }
    m_queued.insert(m_queued.begin(), std::make_move_iterator(resend.begin()),
                    std::make_move_iterator(resend.end()));
    return results;
}

std::size_t claim_batcher::pending() const
{
    return std::accumulate(m_inFlight.begin(), m_inFlight.end(), m_queued.size(),
                           [](std::size_t sum, const auto &entry) { return sum + entry.second.size(); });
}

} // namespace jacinthvale
