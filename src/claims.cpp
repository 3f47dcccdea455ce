#include <jacinthvale/claims.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace jacinthvale {

std::optional<store_transact> claim_batcher::next(std::uint64_t operation, const std::string &writeId,
                                                  bool overdue)
{
    const bool due = m_sent.empty() || overdue || m_waiting.size() >= kEagerWrites;
    if (m_waiting.empty() || !due || m_sent.size() >= kMaxTransactions) {
        return std::nullopt;
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_waiting.size(), kMaxWritesPerTransaction));
    std::vector<store_write> &batch = m_sent[operation];
    batch.assign(m_waiting.begin(), m_waiting.begin() + count);
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + count);
    return store_transact{writeId, {}, batch};
}

std::vector<claim_batcher::result> claim_batcher::finished(std::uint64_t operation, const store_outcome &how)
{
    auto node = m_sent.extract(operation);
    if (node.empty()) {
        return {};
    }
    std::vector<store_write> writes = std::move(node.mapped());
    if (const auto *met = std::get_if<store_conflict>(&how)) {
        return settleConflict(std::move(writes), *met);
    }
    const auto *done = std::get_if<store_committed>(&how);
    const bool nothingDone = std::holds_alternative<store_unavailable>(how);
    std::vector<result> results;
    for (std::size_t i = 0; i < writes.size(); ++i) {
        outcome each = nothingDone ? outcome{unavailable{}} : outcome{unknown{}};
        if (done != nullptr && i < done->versions.size()) {
            each = committed{done->versions[i]};
        }
        results.push_back({std::move(writes[i]), each});
    }
    return results;
}

/// A conflict proves that none of the writes took effect, so those whose rows fit may be sent again.
std::vector<claim_batcher::result> claim_batcher::settleConflict(std::vector<store_write> writes,
                                                                 const store_conflict &how)
{
    std::vector<result> results;
    std::vector<store_write> again;
    for (store_write &write : writes) {
        const auto row = std::ranges::find(how.rows, write.key, &store_row::key);
        const std::uint64_t version = row == how.rows.end() ? 0 : row->version;
        if (version == write.expectedVersion) {
            again.push_back(std::move(write));
            continue;
        }
        conflict met;
        if (row != how.rows.end()) {
            met.row = *row;
        }
        results.push_back({std::move(write), met});
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(again.begin()),
                     std::make_move_iterator(again.end()));
    return results;
}

std::size_t claim_batcher::pending() const
{
    return std::accumulate(m_sent.begin(), m_sent.end(), m_waiting.size(),
                           [](std::size_t sum, const auto &sent) { return sum + sent.second.size(); });
}

} // namespace jacinthvale
