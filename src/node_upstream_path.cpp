// Whether this daemon can reach the upstreams at all. A daemon that cannot has its calls sent by others, and
// leaves batches and the weights lease to them, until an upstream answers on a new connection.
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// An upstream is silent if nothing has been received from any upstream for this long after a request was
/// sent to it.
constexpr milliseconds kSilenceTime{250};

/// Number of silent upstreams from which on the path is lost; a single one may be down itself.
constexpr std::size_t kSilentUpstreams = 2;

/// Number of upstreams that are asked at one time, and the time between two rounds.
constexpr std::size_t kProbes = 2;
constexpr milliseconds kProbeInterval{400};

/// Time after the loss from which on others take over the batches and the lease.
constexpr milliseconds kRetireDelay{700};

void setLost(step &s, bool lost, const std::string &reason)
{
    upstream_path &path = s.state.path;
    path.lost = lost;
    s.log(lost ? "upstreams-lost" : "upstreams-regained", s.state.self.host.value, reason);
    s.emit(count{lost ? "upstream_path_losses_total" : "upstream_path_returns_total"});
    if (lost) {
        path.lostAt = s.ctx.now;
        path.heldSuspicions.clear();
        leaveLostPath(s);
    }
    s.state.ownAdvisory.withoutUpstreams = lost;
    s.state.advisoryPublication.changed = true;
    s.state.advisoryUrgent = true;
}

/// Records the silence of upstreams that have had a request for long enough.
void findSilentRequests(step &s)
{
    if (s.ctx.now - s.state.path.heardAt < kSilenceTime) {
        return;
    }
    const auto isSilent = [&](instant sentAt) {
        return s.ctx.now - std::max(sentAt, s.state.path.heardAt) >= kSilenceTime;
    };
    std::set<upstream_id> silent;
    bool probeFailed = false;
    for (const auto &[origin, call] : s.state.calls) {
        for (const call_attempt &attempt : call.running) {
            if (!attempt.upstream.empty() && isSilent(attempt.startedAt)) {
                silent.insert(attempt.upstream);
            }
        }
    }
    for (const auto &[op, probe] : s.state.path.probes) {
        if (isSilent(probe.second)) {
            silent.insert(probe.first);
            probeFailed = true;
        }
    }
    for (const auto &[id, batch] : s.state.owned) {
        for (const owned_item &item : batch.items) {
            if (item.phase == item_phase::running && isSilent(item.lastChunkAt)) {
                silent.insert(item.upstream);
            }
        }
    }
    for (const upstream_id &id : silent) {
        recordSilence(s, id);
    }
    s.state.path.probeFailed |= probeFailed;
}

/// Requests the status of some upstreams; preferably of those that have not been silent.
void sendProbes(step &s)
{
    upstream_path &path = s.state.path;
    path.nextProbeAt = s.ctx.now + kProbeInterval;
    std::vector<const upstream_view *> candidates;
    for (const auto &[id, view] : s.state.upstreams) {
        if (!isLeaving(s.state, view)) {
            candidates.push_back(&view);
        }
    }
    // Engines answer status requests; other upstreams refuse them as requests without an id.
    std::ranges::sort(candidates, {}, [&](const upstream_view *view) {
        return std::tuple(view->entry.weights.empty(), path.silent.contains(view->entry.id) && !path.lost,
                          stableHash(view->entry.id.value, s.ctx.random));
    });
    candidates.resize(std::min(candidates.size(), kProbes));
    for (const upstream_view *view : candidates) {
        const op_id op = s.open(path_operation{view->entry.id});
        path.probes.emplace(op, std::pair(view->entry.id, s.ctx.now));
        s.emit(request_upstream_status{op, view->entry.address, view->entry.id, true});
    }
}

} // namespace

void recordHeard(step &s)
{
    upstream_path &path = s.state.path;
    path.heardAt = s.ctx.now;
    path.silent.clear();
    if (!isPathDoubtful(s.state)) {
        path.probeFailed = false;
        releaseSuspicions(s);
    }
}

void recordSilence(step &s, const upstream_id &id)
{
    s.state.path.silent.insert(id);
    if (s.state.path.nextProbeAt <= s.ctx.now) {
        sendProbes(s);
    }
}

void recordUnreachable(step &s, const upstream_id &id)
{
    s.state.path.unreachable.insert(id);
    recordSilence(s, id);
}

void watchUpstreamPath(step &s)
{
    upstream_path &path = s.state.path;
    std::erase_if(path.probes, [&](const auto &probe) { return !s.state.ops.contains(probe.first); });
    findSilentRequests(s);
    if (!isPathDoubtful(s.state)) {
        return;
    }
    if (path.nextProbeAt <= s.ctx.now) {
        sendProbes(s);
    }
    const std::size_t failed = std::max(path.silent.size(), path.unreachable.size());
    if (!path.lost && path.probeFailed && failed >= std::min(kSilentUpstreams, s.state.upstreams.size())) {
        setLost(s, true,
                std::to_string(path.silent.size()) + " upstreams silent, "
                        + std::to_string(path.unreachable.size()) + " without a connection, none heard for "
                        + std::to_string((s.ctx.now - path.heardAt).count()) + " ms");
    }
}

void onPathProbed(step &s, const path_operation &operation, const upstream_status_received &report)
{
    upstream_path &path = s.state.path;
    const auto probe = path.probes.extract(report.op);
    if (report.reached) {
        path.unreachable.clear();
        path.probeFailed = false;
        if (path.lost) {
            path.heldSuspicions.clear();
            setLost(s, false,
                    operation.upstream.value + " answered on a new connection "
                            + std::to_string((s.ctx.now - path.lostAt).count()) + " ms after the loss");
        }
        recordHeard(s);
        return;
    }
    // A request from before the last answer says nothing about the path since.
    if (probe.empty() || (probe.mapped().second <= path.heardAt && path.unreachable.empty())) {
        return;
    }
    path.probeFailed = true;
    recordUnreachable(s, operation.upstream);
    watchUpstreamPath(s);
}

void onPeerLostUpstreams(step &s)
{
    // What cuts off one daemon may cut off others; one without requests would not notice.
    if (!isPathDoubtful(s.state) && s.ctx.now - s.state.path.heardAt >= kSilenceTime
        && s.state.path.nextProbeAt <= s.ctx.now) {
        sendProbes(s);
    }
}

bool isRetiring(const node_state &state, instant now)
{
    return state.stopping || (state.path.lost && now - state.path.lostAt >= kRetireDelay);
}

bool hasUpstreamPath(const node_state &state, const host_id &host)
{
    const auto advisory = state.peerAdvisories.find(host);
    return advisory == state.peerAdvisories.end() || !advisory->second.withoutUpstreams;
}

std::optional<std::pair<host_id, endpoint>> relayPeer(const step &s, const std::set<host_id> &tried)
{
    std::vector<std::pair<std::uint64_t, host_id>> candidates;
    for (const auto &[host, peer] : s.state.members) {
        if (host != s.state.self.host && !peer.leaving && hasUpstreamPath(s.state, host)
            && !tried.contains(host) && isAlive(s.state, {host, peer.incarnation}, s.ctx.now)) {
            candidates.emplace_back(stableHash(host.value, s.ctx.random), host);
        }
    }
    const auto best = std::ranges::min_element(candidates);
    if (best == candidates.end()) {
        return std::nullopt;
    }
    return std::pair(best->second, s.state.members.at(best->second).peer);
}

} // namespace jacinthvale::node
