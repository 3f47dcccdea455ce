// Upstreams that announce in a response that they are leaving: they get no new work from this daemon from
// then on, and the other daemons learn of it with the next heartbeat.
#include "node_rows.h"
#include "node_step.h"

namespace jacinthvale::node {

namespace {

/// Number of announcements from which on those of upstreams that left the table are forgotten.
constexpr std::size_t kMaxLeavingUpstreams = 2000;

void forgetRemoved(const node_state &state, leaving_upstreams &leaving)
{
    std::erase_if(leaving, [&](const auto &entry) { return !state.upstreams.contains(entry.first); });
}

/// @returns true if the announcement was not known yet.
bool recordLeaving(step &s, const upstream_id &id, std::uint64_t startedAtMs, const std::string &source)
{
    leaving_upstreams &leaving = s.state.leavingUpstreams;
    if (leaving.size() >= kMaxLeavingUpstreams) {
        forgetRemoved(s.state, leaving);
    }
    const auto [known, isNew] = leaving.try_emplace(id, startedAtMs);
    if (!isNew && known->second >= startedAtMs) {
        return false;
    }
    known->second = startedAtMs;
    s.log("upstream-leaving", id.value,
          source + ", process started at " + std::to_string(startedAtMs) + "; no new work");
    dropOrder(s, id);
    return true;
}

} // namespace

bool isLeaving(const node_state &state, const upstream_view &view)
{
    if (view.entry.draining) {
        return true;
    }
    const auto found = state.leavingUpstreams.find(view.entry.id);
    return found != state.leavingUpstreams.end() && found->second == view.entry.startedAtMs;
}

void onUpstreamLeaveAnnounced(step &s, const upstream_leave_announced &announced)
{
    const auto view = s.state.upstreams.find(announced.upstream);
    if (view == s.state.upstreams.end()) {
        s.log("leave-ignored", announced.upstream.value, "the table does not list the upstream");
        return;
    }
    if (announced.op <= view->second.lastEarlierOp) {
        s.log("leave-ignored", announced.upstream.value, "the response came from an earlier process");
        return;
    }
    const std::uint64_t startedAtMs = view->second.entry.startedAtMs;
    if (recordLeaving(s, announced.upstream, startedAtMs, "announced in a response")) {
        s.state.leavingAdvertisement.upstreams[announced.upstream] = startedAtMs;
        s.state.leavingAdvertisement.publication.changed = true;
    }
}

row_put leavingRow(step &s)
{
    leaving_upstreams &upstreams = s.state.leavingAdvertisement.upstreams;
    forgetRemoved(s.state, upstreams);
    return {table_id::daemons, leavingKey(s.state.self.host), encodeLeaving(upstreams)};
}

void onLeavingRow(step &s, const row &received)
{
    if (received.removed) {
        return;
    }
    const auto advertised = decodeLeaving(received);
    if (!advertised) {
        s.log("leaving-row-unreadable", received.key.key, "its announcements are not applied");
        return;
    }
    // What the former process of this host was told is news, and goes on being told.
    const bool isOwn = received.key.key == leavingKey(s.state.self.host);
    for (const auto &[id, startedAtMs] : *advertised) {
        const bool isNew = recordLeaving(s, id, startedAtMs, "reported in row " + received.key.key);
        if (isNew && isOwn) {
            s.state.leavingAdvertisement.upstreams[id] = startedAtMs;
        }
    }
}

} // namespace jacinthvale::node
