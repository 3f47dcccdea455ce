#include "node_step.h"

#include <algorithm>
#include <range/v3/numeric/accumulate.hpp>
#include <range/v3/view/map.hpp>
#include <range/v3/view/transform.hpp>

namespace jacinthvale::node {

namespace {

/// Number of daemons that read the table of upstreams from the store in a large fleet. Each row changes with
/// each heartbeat of its upstream: 3,000 upstreams make 2,500 changes per second, which cost a reader five
/// reads per second and a twentieth of a core. Eight readers make 40 reads per second and tolerate the loss
/// of two availability zones.
constexpr std::size_t kStoreReaderCount = 8;

/// Number of failed reads from peers after which the store is read directly: two of eight readers may have
/// failed.
constexpr unsigned kMaxFailedPeerReads = 3;

/// Returns the daemons that read from the store for the others, largest processor share first.
std::vector<const member *> storeReadersOf(const node_state &state, instant now)
{
    std::vector<std::pair<const member *, const host_id *>> alive;
    for (const auto &[host, peer] : state.members) {
        if (!peer.leaving && isAlive(state, {host, peer.incarnation}, now)) {
            alive.emplace_back(&peer, &host);
        }
    }
    std::ranges::sort(alive, [](const auto &left, const auto &right) {
        return std::pair(right.first->processorShare, stableHash(left.second->value))
               < std::pair(left.first->processorShare, stableHash(right.second->value));
    });
    alive.resize(std::min(alive.size(), kStoreReaderCount));
    std::vector<const member *> readers;
    std::ranges::copy(alive | ranges::views::keys, std::back_inserter(readers));
    return readers;
}

/// Digest of the rows of all upstreams, regardless of their order.
std::uint64_t tableDigest(const node_state &state)
{
    const auto digests = state.upstreams | ranges::views::values
                         | ranges::views::transform(&upstream_view::lastRowDigest);
    return ranges::accumulate(digests, std::uint64_t{0});
}

void applyDelta(step &s, const upstream_delta &delta)
{
    const auto applyChange = [&](const upstream_id &id, decoded_row row, bool removed) {
        onUpstreamRow(s, {{{table_id::upstreams, "", id.value}, delta.version, {}, removed}, std::move(row)});
    };
    for (const upstream_entry &entry : delta.changed) {
        applyChange(entry.id, entry, false);
    }
    for (const upstream_id &id : delta.removed) {
        applyChange(id, std::monostate{}, true);
    }
    if (delta.isFullSnapshot) {
        std::set<std::string> receivedIds;
        std::ranges::transform(delta.changed, std::inserter(receivedIds, receivedIds.end()),
                               [](const upstream_entry &entry) { return entry.id.value; });
        retainUpstreams(s, receivedIds);
        s.state.removalsKnownSince = delta.version;
    }
}

void recordFailedPeerRead(step &s, table_feed &feed)
{
    ++feed.failedPeerReads;
    feed.nextAt
            = s.ctx.now + (feed.failedPeerReads < kMaxFailedPeerReads ? kTickPeriod * 2 : milliseconds{0});
}

} // namespace

std::optional<endpoint> upstreamDeltaSource(const step &s, const table_feed &feed)
{
    const node_state &state = s.state;
    if (feed.table != table_id::upstreams || state.members.size() < state.self.sharedReadMinFleetSize
        || feed.failedPeerReads >= kMaxFailedPeerReads) {
        return std::nullopt;
    }
    const auto readers = storeReadersOf(state, s.ctx.now);
    if (readers.empty() || std::ranges::find(readers, state.self.peer, &member::peer) != readers.end()) {
        return std::nullopt;
    }
    return readers[(s.ctx.random + feed.failedPeerReads) % readers.size()]->peer;
}

void onUpstreamDeltaRequested(step &s, const upstream_delta_requested &request)
{
    const table_feed &feed = feedOf(s.state, table_id::upstreams);
    upstream_delta delta;
    delta.available = feed.synced && !isFullReadPending(feed)
                      && s.ctx.now - feed.answeredAt <= maxAnswerGap(feed.pollInterval);
    if (delta.available) {
        const auto &removed = s.state.removedUpstreams;
        delta.version = feed.version;
        delta.digest = tableDigest(s.state);
        // Differences say that nothing else was removed since, which this daemon must know.
        delta.isFullSnapshot = request.after == 0 || request.after < s.state.removalsKnownSince;
        for (const auto &[id, view] : s.state.upstreams) {
            if (delta.isFullSnapshot || view.lastChangeVersion > request.after) {
                delta.changed.push_back(view.lastRow);
            }
        }
        for (const auto &[version, id] : removed) {
            if (!delta.isFullSnapshot && version > request.after && !s.state.upstreams.contains(id)) {
                delta.removed.push_back(id);
            }
        }
    }
    s.emit(answer_upstream_delta{request.exchange, std::move(delta)});
}

void onUpstreamDeltaReceived(step &s, const upstream_delta_received &received)
{
    table_feed &feed = feedOf(s.state, table_id::upstreams);
    const upstream_delta &delta = received.delta;
    feed.readOp = {};
    if (!delta.available) {
        recordFailedPeerRead(s, feed);
        return;
    }
    if (delta.version < feed.version && delta.isFullSnapshot) {
        // It lacks changes that are applied here already, and no later answer would name them.
        s.log("upstream-snapshot-old", std::to_string(delta.version),
              "version " + std::to_string(feed.version) + " is known; asking another daemon or the store");
        s.emit(count{"upstream_snapshots_old_total"});
        recordFailedPeerRead(s, feed);
        return;
    }
    feed.failedPeerReads = 0;
    // Differences up to an older version hold nothing new.
    const bool isCurrent = delta.version >= feed.version;
    if (isCurrent) {
        feed.version = delta.version;
        applyDelta(s, delta);
    }
    feed.partitionIndex = feed.partitions.size();
    feed.seenKeys.clear();
    recordFeedRead(s, feed, delta.version);
    if (isCurrent && !delta.isFullSnapshot && delta.digest && *delta.digest != tableDigest(s.state)) {
        s.log("upstream-table-differs", std::to_string(delta.version),
              "differences from another daemon left another table than its own; starting a full read");
        s.emit(count{"upstream_tables_differed_total"});
        restartFullRead(feed);
        feed.nextAt = s.ctx.now;
    }
}

} // namespace jacinthvale::node
