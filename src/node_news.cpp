#include "node_step.h"

#include <algorithm>
#include <range/v3/view/map.hpp>

namespace jacinthvale::node {

namespace {

/// Daemons that read the table of upstreams for a large fleet. Each row changes with each beat of its
/// upstream: 3,000 upstreams make 2,500 changes a second, five reads and a twentieth of a core for each that
/// reads them. Eight of them are 40 reads a second, and two zones may be lost.
constexpr std::size_t kReaders = 8;

/// Daemons asked in vain before the store is read directly: two of eight may be gone.
constexpr unsigned kAskedInVain = 3;

/// Daemons that read for the others, largest first.
std::vector<const member *> readersOf(const node_state &state, instant now)
{
    std::vector<std::pair<const member *, const host_id *>> living;
    for (const auto &[host, who] : state.members) {
        if (!who.leaving && isAlive(state, {host, who.incarnation}, now)) {
            living.emplace_back(&who, &host);
        }
    }
    std::ranges::sort(living, [](const auto &left, const auto &right) {
        return std::pair(right.first->processorShare, stableHash(left.second->value))
               < std::pair(left.first->processorShare, stableHash(right.second->value));
    });
    living.resize(std::min(living.size(), kReaders));
    std::vector<const member *> readers;
    std::ranges::copy(living | ranges::views::keys, std::back_inserter(readers));
    return readers;
}

} // namespace

std::optional<endpoint> newsSource(const step &s, const table_feed &feed)
{
    const node_state &state = s.state;
    if (feed.table != table_id::upstreams || state.members.size() < state.self.sharedReadMinFleetSize
        || feed.failedPeerReads >= kAskedInVain) {
        return std::nullopt;
    }
    const auto readers = readersOf(state, s.ctx.now);
    if (readers.empty() || std::ranges::find(readers, state.self.peer, &member::peer) != readers.end()) {
        return std::nullopt;
    }
    return readers[(s.ctx.random + feed.failedPeerReads) % readers.size()]->peer;
}

void onNewsAsked(step &s, const upstream_delta_requested &what)
{
    const table_feed &feed = feedOf(s.state, table_id::upstreams);
    upstream_delta delta;
    delta.available = feed.synced && !readingWhole(feed)
                      && s.ctx.now - feed.answeredAt <= maxAnswerGap(feed.pollInterval);
    if (delta.available) {
        const auto &gone = s.state.removedUpstreams;
        delta.version = feed.version;
        delta.isFullSnapshot
                = what.after == 0 || (gone.size() >= kMaxRemovedUpstreams && what.after < gone.front().first);
        for (const auto &[id, view] : s.state.upstreams) {
            if (delta.isFullSnapshot || view.lastChangeVersion > what.after) {
                delta.changed.push_back(view.lastRow);
            }
        }
        for (const auto &[version, id] : gone) {
            if (!delta.isFullSnapshot && version > what.after && !s.state.upstreams.contains(id)) {
                delta.removed.push_back(id);
            }
        }
    }
    s.emit(answer_upstream_delta{what.exchange, std::move(delta)});
}

void onNewsArrived(step &s, const upstream_delta_received &what)
{
    table_feed &feed = feedOf(s.state, table_id::upstreams);
    const upstream_delta &delta = what.delta;
    feed.readOp = {};
    if (!delta.available) {
        ++feed.failedPeerReads;
        feed.nextAt = s.ctx.now + (feed.failedPeerReads < kAskedInVain ? kTickPeriod * 2 : milliseconds{0});
        return;
    }
    feed.failedPeerReads = 0;
    feed.version = std::max(feed.version, delta.version);
    const auto change = [&](const upstream_id &id, decoded_row row, bool removed) {
        onUpstreamRow(s, {{{table_id::upstreams, "", id.value}, delta.version, {}, removed}, std::move(row)});
    };
    for (const upstream_entry &entry : delta.changed) {
        change(entry.id, entry, false);
    }
    for (const upstream_id &id : delta.removed) {
        change(id, std::monostate{}, true);
    }
    if (delta.isFullSnapshot) {
        std::set<std::string> named;
        std::ranges::transform(delta.changed, std::inserter(named, named.end()),
                               [](const upstream_entry &entry) { return entry.id.value; });
        keepUpstreams(s, named);
    }
    feed.partitionIndex = feed.partitions.size();
    feed.seenKeys.clear();
    noteRead(s, feed, delta.version);
}

} // namespace jacinthvale::node
