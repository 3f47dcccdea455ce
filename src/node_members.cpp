#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <cmath>

namespace jacinthvale::node {

namespace {

/// Minimum time between two heartbeats of a daemon.
constexpr milliseconds kMinHeartbeatPeriod{400};

/// Minimum time between a heartbeat and one that is sent early because of an urgent advisory, as a part of
/// the heartbeat period.
constexpr int kUrgentHeartbeatPart = 4;

/// The heartbeat period grows by this time for each daemon of the fleet. Each daemon reads the heartbeats of
/// all: 6 ms per daemon limit that to 167 rows per second, a thousandth of a core.
constexpr double kHeartbeatMsPerDaemon = 6;

/// Share of the store's write capacity that heartbeats may use.
constexpr double kHeartbeatWriteShare = 0.2;

/// A daemon is considered failed when its row has not changed for this many heartbeat periods, plus one poll
/// interval, the duration of one read, and twice the duration of this daemon's own last heartbeat write. A
/// false detection makes runs execute twice but never commits a wrong result.
constexpr int kMissedHeartbeats = 3;

/// Time after which a heartbeat without an answer is sent again; doubles from the fourth one on, up to the
/// maximum, for a store whose answers take longer. Four lost answers in a row fit in the failure timeout.
constexpr milliseconds kHeartbeatTimeout{300};
constexpr milliseconds kMaxHeartbeatTimeout{3000};
constexpr unsigned kQuickHeartbeatRetries = 3;

/// Duration of one read of the table of daemons.
constexpr milliseconds kMemberReadDuration{50};

/// Time without an answer of the store, directly or through a relay, after which this daemon reports itself
/// not ready, so that callers use another daemon. Well above the duration of one slow answer, and below the
/// 3 s within which a host must work again after a network fault ends.
constexpr milliseconds kStoreUnavailableAfter{2500};

/// Maximum age of an inter-chunk latency measured by this daemon. An older one is not advertised to other
/// daemons and is replaced by what they advertise. Covers two heartbeats.
constexpr milliseconds kMaxMeasurementAge{1400};

/// Delay between the attempts of successive hosts, by rank, to take over a batch: the duration of one claim
/// at a slow store.
constexpr milliseconds kTakeoverStagger{500};

std::map<std::string, double> measuredLatencies(const step &s)
{
    std::map<std::string, double> latencies;
    for (const auto &[id, view] : s.state.upstreams) {
        if (view.interChunkLatencyMs > 0 && s.ctx.now - view.latencyMeasuredAt <= kMaxMeasurementAge) {
            latencies.emplace(id.value, view.interChunkLatencyMs);
        }
    }
    return latencies;
}

/// Applies the inter-chunk latencies that another daemon advertises, for upstreams where this daemon has no
/// recent measurement of its own.
void applyPeerLatencies(step &s, const member &peer)
{
    for (const auto &[id, latencyMs] : peer.interChunkLatencies) {
        const auto found = s.state.upstreams.find({id});
        if (found != s.state.upstreams.end()
            && s.ctx.now - found->second.latencyMeasuredAt > kMaxMeasurementAge) {
            found->second.interChunkLatencyMs = latencyMs;
            double &best = found->second.bestInterChunkLatencyMs;
            best = best > 0 ? std::min(best, latencyMs) : latencyMs;
            found->second.latencyUpdatedAt = s.ctx.now;
        }
    }
}

/// Exponent of the processor share in the owner ranking: a host with four times the processor share ranks
/// first 64 times as often. The work of an owner, a tenth of a core, would saturate the smallest hosts.
constexpr double kProcessorShareExponent = 3;

/// Upper bound of the uniform draw; keeps its logarithm below zero.
constexpr double kMaxUniformDraw = 1 - 1e-12;

milliseconds heartbeatPeriod(const node_state &state)
{
    constexpr double kSecondMs = 1000;
    const double perDaemonMs = std::max(kHeartbeatMsPerDaemon,
                                        kSecondMs / (kHeartbeatWriteShare * state.self.storeWritesPerSecond));
    const milliseconds fleetPeriod{
            static_cast<std::int64_t>(perDaemonMs * static_cast<double>(state.members.size()))};
    return std::max(kMinHeartbeatPeriod, fleetPeriod);
}

milliseconds heartbeatTimeout(const node_state &state)
{
    const unsigned doublings
            = state.unansweredHeartbeats < kQuickHeartbeatRetries
                      ? 0
                      : std::min(state.unansweredHeartbeats - kQuickHeartbeatRetries + 1, 4U);
    return std::min(kMaxHeartbeatTimeout,
                    std::max(kHeartbeatTimeout, 2 * state.heartbeatDuration) * (1U << doublings));
}

milliseconds failureTimeout(const node_state &state)
{
    return heartbeatPeriod(state) * kMissedHeartbeats + pollIntervalOf(state, table_id::daemons)
           + kMemberReadDuration + 2 * state.heartbeatDuration;
}

} // namespace

std::uint64_t storeTime(const node_state &state, instant now)
{
    if (state.storeNowMs == 0) {
        return 0;
    }
    return state.storeNowMs + static_cast<std::uint64_t>((now - state.storeNowAt).count());
}

void sendHeartbeat(step &s)
{
    node_state &state = s.state;
    const bool urgent = state.advisoryUrgent
                        && s.ctx.now - state.heartbeatSentAt >= heartbeatPeriod(state) / kUrgentHeartbeatPart;
    if (state.heartbeatRunning || (state.nextHeartbeatAt > s.ctx.now && !urgent)
        || !feedOf(state, table_id::daemons).synced) {
        return;
    }
    state.heartbeatRunning = true;
    state.heartbeatSentAt = s.ctx.now;
    ++state.heartbeatCount;
    const member self{state.incarnation,
                      state.self.peer,
                      state.stopping,
                      state.heartbeatCount,
                      measuredLatencies(s),
                      state.self.processorShare,
                      {},
                      0};
    std::vector<row_put> rows{{table_id::daemons, state.self.host.value, encodeMember(self)}};
    appendAdvisoryRows(s, rows);
    s.emit(commit_rows{s.open(heartbeat_operation{}),
                       memberPartition(state.self.host),
                       {{table_id::daemons, state.self.host.value, state.ownRowVersion}},
                       std::move(rows),
                       heartbeatTimeout(state)});
}

void onHeartbeatFailed(step &s, const store_failed &failure)
{
    s.state.heartbeatRunning = false;
    onAdvisoryRowsWritten(s, false);
    ++s.state.unansweredHeartbeats;
    s.log("heartbeat-failed", s.state.self.host.value,
          failure.reason + "; unanswered " + std::to_string(s.state.unansweredHeartbeats));
}

void onHeartbeatCommitted(step &s, const rows_committed &committed)
{
    s.state.heartbeatRunning = false;
    onAdvisoryRowsWritten(s, true);
    s.state.unansweredHeartbeats = 0;
    s.state.ownRowVersion = committed.version;
    s.state.heartbeatDuration = s.ctx.now - s.state.heartbeatSentAt;
    if (s.ctx.now - s.state.lastHeartbeatAt > maxAnswerGap({}) + heartbeatPeriod(s.state)) {
        s.state.gaplessHeartbeatsSince = s.ctx.now;
    }
    s.state.lastHeartbeatAt = s.ctx.now;
    s.state.nextHeartbeatAt
            = s.ctx.now + std::max(milliseconds{0}, heartbeatPeriod(s.state) - s.state.heartbeatDuration);
}

void onHeartbeatConflict(step &s, const rows_conflict &conflict)
{
    // The row was written by an earlier heartbeat whose answer was lost, or by the previous process of this
    // host.
    s.state.heartbeatRunning = false;
    onAdvisoryRowsWritten(s, false);
    s.state.ownRowVersion = conflict.rows.empty() ? 0 : conflict.rows.front().version;
    s.state.nextHeartbeatAt = s.ctx.now;
}

void onMemberRow(step &s, const row &received)
{
    if (isLeavingKey(received.key.key)) {
        onLeavingRow(s, received);
        return;
    }
    if (isAdvisoryKey(received.key.key)) {
        onAdvisoryRow(s, received);
        return;
    }
    const host_id host{received.key.key};
    if (host == s.state.self.host) {
        s.state.ownRowVersion = std::max(s.state.ownRowVersion, received.removed ? 0 : received.version);
    }
    if (received.removed) {
        s.state.members.erase(host);
        return;
    }
    auto decoded = decodeMember(received);
    if (!decoded) {
        s.log("daemon-row-unreadable", host.value);
        return;
    }
    const auto found = s.state.members.find(host);
    if (found == s.state.members.end() || found->second.incarnation != decoded->incarnation) {
        s.log("daemon-discovered", host.value, "incarnation " + std::to_string(decoded->incarnation.value));
    } else if (!found->second.leaving && decoded->leaving) {
        s.log("daemon-leaving", host.value);
    }
    decoded->changedAt = found != s.state.members.end() && found->second.rowVersion == decoded->rowVersion
                                 ? found->second.changedAt
                                 : s.ctx.now;
    if (host != s.state.self.host) {
        applyPeerLatencies(s, *decoded);
    }
    s.state.members[host] = *std::move(decoded);
}

bool isAlive(const node_state &state, const owner_name &owner, instant now)
{
    if (owner.host == state.self.host) {
        return owner == ownName(state);
    }
    const auto found = state.members.find(owner.host);
    if (found == state.members.end() || found->second.incarnation != owner.incarnation) {
        return false;
    }
    // While the table cannot be read, no heartbeat is seen, so every daemon counts as alive; the failure
    // timeout starts once reads succeed again.
    const table_feed &feed = *std::ranges::find(state.feeds, table_id::daemons, &table_feed::table);
    // The same applies while this daemon's own heartbeats fail: the store may serve reads but not writes.
    if (now - feed.answeredAt > maxAnswerGap(feed.pollInterval)
        || now - state.lastHeartbeatAt > maxAnswerGap({}) + heartbeatPeriod(state)) {
        return true;
    }
    return now - std::max({found->second.changedAt, feed.gaplessSince, state.gaplessHeartbeatsSince})
           < failureTimeout(state);
}

std::vector<owner_name> rankedOwners(const node_state &state, const model_id &model, instant now)
{
    struct owner_candidate
    {
        double score;
        owner_name owner;
    };
    const auto scoreOf = [&](const host_id &host, double share) {
        // Weighted rendezvous hashing: the probability that a host ranks first is proportional to its weight.
        constexpr double kHashRange = 18446744073709551616.0;
        const double uniformDraw
                = (static_cast<double>(stableHash(model.value + '\n' + host.value)) + 1) / kHashRange;
        return std::pow(share, kProcessorShareExponent) / -std::log(std::min(uniformDraw, kMaxUniformDraw));
    };
    std::vector<owner_candidate> candidates;
    std::vector<owner_candidate> withoutUpstreams;
    for (const auto &[host, peer] : state.members) {
        const owner_name owner{host, peer.incarnation};
        if (host != state.self.host && !peer.leaving && isAlive(state, owner, now)) {
            (hasUpstreamPath(state, host) ? candidates : withoutUpstreams)
                    .push_back({scoreOf(host, peer.processorShare), owner});
        }
    }
    if (!state.stopping) {
        (state.path.lost ? withoutUpstreams : candidates)
                .push_back({scoreOf(state.self.host, state.self.processorShare), ownName(state)});
    }
    if (candidates.empty()) {
        candidates = std::move(withoutUpstreams);
    }
    std::ranges::sort(candidates, std::greater<>{}, &owner_candidate::score);
    std::vector<owner_name> owners;
    std::ranges::transform(candidates, std::back_inserter(owners), &owner_candidate::owner);
    return owners;
}

milliseconds takeoverDelay(const node_state &state, const model_id &model, instant now)
{
    const auto owners = rankedOwners(state, model, now);
    const auto self
            = std::ranges::find(owners, state.self.host, [](const owner_name &owner) { return owner.host; });
    return kTakeoverStagger * static_cast<int>(self - owners.begin());
}

void updateReadiness(step &s)
{
    node_state &state = s.state;
    std::vector<endpoint> relays;
    for (const auto &[host, other] : state.members) {
        if (host != state.self.host && isAlive(state, {host, other.incarnation}, s.ctx.now)) {
            relays.push_back(other.peer);
        }
    }
    if (relays.empty()) {
        std::ranges::copy_if(state.self.seeds, std::back_inserter(relays),
                             [&](const endpoint &seed) { return seed != state.self.peer; });
    }
    if (relays != state.relays) {
        state.relays = relays;
        s.emit(set_relays{std::move(relays)});
    }
    // A large fleet does not wait for the table of heads: if all daemons start at the same time, the store
    // needs seconds to serve that table to each. A head row that is not known yet is read when a request
    // needs it.
    const bool large = state.members.size() >= state.self.sharedReadMinFleetSize;
    const bool synced = std::ranges::all_of(state.feeds, [&](const table_feed &feed) {
        return feed.synced || (large && feed.table == table_id::heads);
    });
    // Without a path of its own this daemon serves callers through others, if there are any.
    const bool served = !state.path.lost || relayPeer(s, {}).has_value();
    const bool current = isConfigurationCurrent(state, s.ctx.now);
    const bool ready = state.configKnown && synced && !state.stopping && served && current
                       && s.ctx.now - state.lastStoreAnswerAt < kStoreUnavailableAfter;
    if (ready != state.ready) {
        state.ready = ready;
        s.log(ready ? "ready" : "not-ready", state.self.host.value,
              "last answer of the store " + std::to_string((s.ctx.now - state.lastStoreAnswerAt).count())
                      + " ms ago" + (served ? "" : ", no path to the upstreams and no daemon that has one")
                      + (current ? "" : ", configuration may have changed without this daemon knowing"));
        s.emit(set_readiness{ready});
    }
}

} // namespace jacinthvale::node
