#include "node_rows.h"
#include "node_step.h"

#include <algorithm>
#include <cmath>

namespace jacinthvale::node {

namespace {

/// Shortest time between two beats of a daemon, the time for each daemon of the fleet, and the share of the
/// store's writes that beats may use. Each daemon reads the beats of all: 6 ms for each keep that at 167 rows
/// a second, a thousandth of a core.
constexpr milliseconds kLeastBeatPeriod{400};
constexpr double kBeatMsPerDaemon = 6;
constexpr double kBeatShare = 0.2;

/// A daemon is taken for dead when its row has not changed for this many beats, the pause between two reads
/// with the time of one, and twice the time that this daemon's own last beat took. A wrong guess costs runs
/// done twice, never a wrong listing.
constexpr int kBeatsMissed = 3;
constexpr milliseconds kReadMargin{50};

/// Without an answer of the store for this long, by any way, callers are better off at another daemon. Well
/// above one slow answer, below the time after which a healed host must work again (3 s).
constexpr milliseconds kStoreSilence{2500};

/// A pace measured longer ago than this is not told to others, and gives way to what others tell: two beats.
constexpr milliseconds kPaceShown{1400};

/// Pause between the hosts that may take a batch over, in their order: time for one claim at a slow store.
constexpr milliseconds kTakeOverStep{500};

std::map<std::string, double> ownPaces(const step &s)
{
    std::map<std::string, double> interChunkLatencies;
    for (const auto &[id, view] : s.state.upstreams) {
        if (view.interChunkLatencyMs > 0 && s.ctx.now - view.latencyMeasuredAt <= kPaceShown) {
            interChunkLatencies.emplace(id.value, view.interChunkLatencyMs);
        }
    }
    return interChunkLatencies;
}

/// A pace that another daemon measured counts where this one has not measured of late.
void takePaces(step &s, const member &who)
{
    for (const auto &[id, pace] : who.interChunkLatencies) {
        const auto found = s.state.upstreams.find({id});
        if (found != s.state.upstreams.end() && s.ctx.now - found->second.latencyMeasuredAt > kPaceShown) {
            found->second.interChunkLatencyMs = pace;
            double &best = found->second.bestInterChunkLatencyMs;
            best = best > 0 ? std::min(best, pace) : pace;
            found->second.latencyUpdatedAt = s.ctx.now;
        }
    }
}

/// How much a larger host is preferred as an owner: one with four times the processor is first 64 times as
/// often. An owner's work, a tenth of a core, would fill the smallest hosts.
constexpr double kShareExponent = 3;
constexpr double kAlmostOne = 1 - 1e-12;

milliseconds beatPeriod(const node_state &state)
{
    constexpr double kSecondMs = 1000;
    const double each
            = std::max(kBeatMsPerDaemon, kSecondMs / (kBeatShare * state.self.storeWritesPerSecond));
    const milliseconds all{static_cast<std::int64_t>(each * static_cast<double>(state.members.size()))};
    return std::max(kLeastBeatPeriod, all);
}

milliseconds deadAfter(const node_state &state)
{
    return beatPeriod(state) * kBeatsMissed + readPace(state, table_id::daemons) + kReadMargin
           + 2 * state.heartbeatDuration;
}

} // namespace

std::uint64_t storeTime(const node_state &state, instant now)
{
    if (state.storeNowMs == 0) {
        return 0;
    }
    return state.storeNowMs + static_cast<std::uint64_t>((now - state.storeNowAt).count());
}

void beat(step &s)
{
    node_state &state = s.state;
    if (state.heartbeatRunning || state.nextHeartbeatAt > s.ctx.now
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
                      ownPaces(s),
                      state.self.processorShare,
                      {},
                      0};
    s.emit(commit_rows{s.open(heartbeat_operation{}),
                       memberPart(state.self.host),
                       {{table_id::daemons, state.self.host.value, state.ownRowVersion}},
                       {{table_id::daemons, state.self.host.value, encodeMember(self)}},
                       milliseconds{3000}});
}

void onBeatCommitted(step &s, const rows_committed &what)
{
    s.state.heartbeatRunning = false;
    s.state.ownRowVersion = what.version;
    s.state.heartbeatDuration = s.ctx.now - s.state.heartbeatSentAt;
    if (s.ctx.now - s.state.lastHeartbeatAt > maxAnswerGap({}) + beatPeriod(s.state)) {
        s.state.gaplessHeartbeatsSince = s.ctx.now;
    }
    s.state.lastHeartbeatAt = s.ctx.now;
    s.state.nextHeartbeatAt
            = s.ctx.now + std::max(milliseconds{0}, beatPeriod(s.state) - s.state.heartbeatDuration);
}

void onBeatConflict(step &s, const rows_conflict &what)
{
    // An earlier beat whose answer was lost, or the row of this host's process before.
    s.state.heartbeatRunning = false;
    s.state.ownRowVersion = what.rows.empty() ? 0 : what.rows.front().version;
    s.state.nextHeartbeatAt = s.ctx.now;
}

void onMemberRow(step &s, const row &what)
{
    const host_id host{what.key.key};
    if (host == s.state.self.host) {
        s.state.ownRowVersion = std::max(s.state.ownRowVersion, what.removed ? 0 : what.version);
    }
    if (what.removed) {
        s.state.members.erase(host);
        return;
    }
    auto row = decodeMember(what);
    if (!row) {
        s.log("daemon-row-unreadable", host.value);
        return;
    }
    const auto found = s.state.members.find(host);
    if (found == s.state.members.end() || found->second.incarnation != row->incarnation) {
        s.log("daemon-seen", host.value, "incarnation " + std::to_string(row->incarnation.value));
    } else if (!found->second.leaving && row->leaving) {
        s.log("daemon-leaving", host.value);
    }
    row->changedAt = found != s.state.members.end() && found->second.rowVersion == row->rowVersion
                             ? found->second.changedAt
                             : s.ctx.now;
    if (host != s.state.self.host) {
        takePaces(s, *row);
    }
    s.state.members[host] = *std::move(row);
}

bool isAlive(const node_state &state, const owner_name &who, instant now)
{
    if (who.host == state.self.host) {
        return who == ownName(state);
    }
    const auto found = state.members.find(who.host);
    if (found == state.members.end() || found->second.incarnation != who.incarnation) {
        return false;
    }
    // While the table cannot be read nobody's beat is seen: nobody is dead, and silence counts from the end
    // of that.
    const table_feed &feed = *std::ranges::find(state.feeds, table_id::daemons, &table_feed::table);
    // The same holds while this daemon's own beats do not get through: reads may be served and writes not.
    if (now - feed.answeredAt > maxAnswerGap(feed.pollInterval)
        || now - state.lastHeartbeatAt > maxAnswerGap({}) + beatPeriod(state)) {
        return true;
    }
    return now - std::max({found->second.changedAt, feed.gaplessSince, state.gaplessHeartbeatsSince})
           < deadAfter(state);
}

std::vector<owner_name> ownersInOrder(const node_state &state, const model_id &model, instant now)
{
    struct bid
    {
        double score;
        owner_name who;
    };
    const auto scoreOf = [&](const host_id &host, double share) {
        // Weighted rendezvous hashing: each host's chance to be first is in proportion to its weight.
        constexpr double kHashes = 18446744073709551616.0;
        const double drawn = (static_cast<double>(stableHash(model.value + '\n' + host.value)) + 1) / kHashes;
        return std::pow(share, kShareExponent) / -std::log(std::min(drawn, kAlmostOne));
    };
    std::vector<bid> bids;
    for (const auto &[host, who] : state.members) {
        const owner_name name{host, who.incarnation};
        if (host != state.self.host && !who.leaving && isAlive(state, name, now)) {
            bids.push_back({scoreOf(host, who.processorShare), name});
        }
    }
    if (!state.stopping) {
        bids.push_back({scoreOf(state.self.host, state.self.processorShare), ownName(state)});
    }
    std::ranges::sort(bids, std::greater<>{}, &bid::score);
    std::vector<owner_name> owners;
    std::ranges::transform(bids, std::back_inserter(owners), &bid::who);
    return owners;
}

milliseconds takeOverDelay(const node_state &state, const model_id &model, instant now)
{
    const auto owners = ownersInOrder(state, model, now);
    const auto self
            = std::ranges::find(owners, state.self.host, [](const owner_name &who) { return who.host; });
    return kTakeOverStep * static_cast<int>(self - owners.begin());
}

void updateReadiness(step &s)
{
    node_state &state = s.state;
    std::vector<endpoint> relays;
    for (const auto &[host, who] : state.members) {
        if (host != state.self.host && isAlive(state, {host, who.incarnation}, s.ctx.now)) {
            relays.push_back(who.peer);
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
    // Heads that are not known yet are read when they are asked for. A large fleet that starts at once would
    // wait for seconds until the store has told them to all.
    const bool large = state.members.size() >= state.self.sharedReadMinFleetSize;
    const bool synced = std::ranges::all_of(state.feeds, [&](const table_feed &feed) {
        return feed.synced || (large && feed.table == table_id::heads);
    });
    const bool ready = state.configKnown && synced && !state.stopping
                       && s.ctx.now - state.lastStoreAnswerAt < kStoreSilence;
    if (ready != state.ready) {
        state.ready = ready;
        s.log(ready ? "ready" : "not-ready", state.self.host.value,
              "store answered " + std::to_string((s.ctx.now - state.lastStoreAnswerAt).count()) + " ms ago");
        s.emit(set_readiness{ready});
    }
}

} // namespace jacinthvale::node
