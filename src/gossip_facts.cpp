#include <jacinthvale/gossip.h>

#include <jacinthvale/effect.h>

#include <algorithm>

namespace jacinthvale {

namespace {

/// Adds items, least sent first, while the encoded message stays within a datagram.
template <typename Item, typename Key, typename Find>
void addWhileFits(gossip_message &message, std::vector<Item> gossip_message::*list,
                  std::map<Key, std::size_t> &sends, std::size_t maxSends, std::size_t receivers, Find find)
{
    std::vector<std::pair<std::size_t, Key>> order;
    for (const auto &[key, count] : sends) {
        order.emplace_back(count, key);
    }
    std::ranges::sort(order);
    for (const auto &[count, key] : order) {
        (message.*list).push_back(find(key));
        if (encodeGossip(message).size() > kMaxDatagramPayload) {
            (message.*list).pop_back();
            return;
        }
        sends[key] += receivers;
    }
    std::erase_if(sends, [&](const auto &entry) { return entry.second >= maxSends; });
}

} // namespace

bool gossip_facts::merge(const upstream_observed &report)
{
    // An old observation's word of leaving holds for its incarnation all the same.
    if (report.draining) {
        merge(leaving_mark{report.upstream, report.incarnation});
    }
    const auto known = m_reports.find(report.upstream);
    if (known != m_reports.end() && report.order <= known->second.order) {
        return false;
    }
    m_reports[report.upstream] = report;
    m_reportSends[report.upstream] = 0;
    return true;
}

bool gossip_facts::merge(const leaving_mark &mark)
{
    const bool isNew = m_marks.insert(mark).second;
    if (isNew) {
        m_markSends[mark] = 0;
    }
    return isNew;
}

const upstream_observed *gossip_facts::find(const upstream_id &upstream) const
{
    const auto found = m_reports.find(upstream);
    return found == m_reports.end() ? nullptr : &found->second;
}

gossip_message gossip_facts::pack(const gossip_header &header, std::vector<peer_contact> contacts,
                                  std::size_t receivers)
{
    gossip_message message;
    message.header = header;
    message.contacts = std::move(contacts);
    addWhileFits(message, &gossip_message::marks, m_markSends, kMarkSends, receivers,
                 [](const leaving_mark &mark) { return mark; });
    addWhileFits(message, &gossip_message::reports, m_reportSends, kReportSends, receivers,
                 [&](const upstream_id &id) { return m_reports.at(id); });
    return message;
}

} // namespace jacinthvale
