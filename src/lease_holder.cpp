#include <jacinthvale/lease.h>

#include "overloaded.h"

#include <algorithm>

namespace jacinthvale {

namespace {

/// Own writes that may still turn up in the row.
constexpr std::size_t kMaxSentWrites = 8;

} // namespace

lease::lease(std::string key, host_id self, incarnation_id incarnation, lease_terms terms)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_terms(terms)
{}

void lease::observe(const std::optional<store_row> &row, instant askedAt, instant now)
{
    if (!m_pending && askedAt >= m_lastSettled) {
        takeRow(row, now);
    }
}

void lease::takeRow(const std::optional<store_row> &row, instant now)
{
    const std::uint64_t version = row ? row->version : 0;
    if (m_needsRead || version != m_version) {
        m_firstSeen = version == m_version && m_firstSeen != instant{} ? m_firstSeen : now;
        m_version = version;
        m_record = row ? decodeLease(row->value) : std::nullopt;
    }
    m_needsRead = false;
    if (m_record) {
        m_highestSeen = std::max(m_highestSeen, m_record->epoch);
    }
    const auto own = std::ranges::find_if(m_sent, [&](const sent_write &sent) {
        return row && sent.writeId == row->writeId && !sent.release;
    });
    m_owned = own != m_sent.end();
    m_validUntil = m_owned && !m_givenUp ? own->sentAt + m_terms.duration : instant{};
    m_epoch = m_owned ? own->epoch : m_epoch;
}

bool lease::isFree(instant now) const
{
    const bool lapsed = now >= m_firstSeen + m_terms.duration;
    return !m_record || m_record->released || lapsed;
}

store_transact lease::write(const lease_record &record, instant now)
{
    const std::string writeId
            = m_key + "/" + std::to_string(m_incarnation.value) + "/" + std::to_string(++m_lastWrite);
    const std::string value = encodeLease(record);
    m_sent.push_back({writeId, value, record.epoch, now, record.released});
    if (m_sent.size() > kMaxSentWrites) {
        m_sent.pop_front();
    }
    m_pending = writeId;
    m_lastSent = now;
    return {writeId, {}, {{m_key, m_version, value, false}}};
}

std::optional<store_transact> lease::acquire(instant now)
{
    if (m_pending || m_needsRead || m_owned || !isFree(now)) {
        return std::nullopt;
    }
    const bool handedOver = m_record && m_record->released;
    m_firstUnfencedOrder = handedOver ? now : now + m_terms.orderDeadline;
    m_givenUp = false;
    return write({m_self, m_incarnation, {m_highestSeen.value + 1}, false}, now);
}

std::optional<store_transact> lease::renew(instant now)
{
    const bool raise = m_highestSeen > m_epoch;
    if (m_pending || m_needsRead || !m_owned || m_givenUp
        || (!raise && now < m_lastSent + m_terms.renewEvery)) {
        return std::nullopt;
    }
    const fencing_number epoch = raise ? fencing_number{m_highestSeen.value + 1} : m_epoch;
    return write({m_self, m_incarnation, epoch, false}, now);
}

std::optional<store_transact> lease::release(instant now)
{
    m_givenUp = true;
    m_validUntil = instant{};
    if (m_pending || m_needsRead || !m_owned) {
        return std::nullopt;
    }
    return write({m_self, m_incarnation, m_epoch, true}, now);
}

void lease::settle(const store_outcome &outcome, instant now)
{
    if (!m_pending) {
        return;
    }
    const std::string writeId = *m_pending;
    m_pending.reset();
    m_lastSettled = now;
    const auto sent = std::ranges::find(m_sent, writeId, &sent_write::writeId);
    std::visit(overloaded{
                       [&](const store_committed &done) {
                           const std::uint64_t version = done.versions.empty() ? 0 : done.versions.front();
                           takeRow(store_row{m_key, version, writeId, sent->value}, now);
                       },
                       [&](const store_conflict &conflict) {
                           const auto row = std::ranges::find(conflict.rows, m_key, &store_row::key);
                           takeRow(row == conflict.rows.end() ? std::nullopt : std::optional(*row), now);
                       },
                       [&](const store_unavailable &) { m_sent.erase(sent); },
                       [&](const auto &) { m_needsRead = true; },
               },
               outcome);
}

void lease::sawFencing(fencing_number seen)
{
    m_highestSeen = std::max(m_highestSeen, seen);
}

bool lease::mayAct(instant now, milliseconds needed) const
{
    return m_validUntil != instant{} && now + needed + m_terms.margin <= m_validUntil;
}

bool lease::mayOrderUnfenced(instant now) const
{
    return mayAct(now) && now >= m_firstUnfencedOrder;
}

} // namespace jacinthvale
