// Upstreams that limit the requests per second which they take from all daemons together.
#include "node_placement.h"
#include "node_step.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace jacinthvale::node {

namespace {

/// Lower bound of a named limit in requests per second: only a response tells when the limit is lifted, so
/// some requests have to go on.
constexpr double kMinLimit = 0.25;

/// Time between two log lines on the use of one upstream.
constexpr milliseconds kUseLogInterval{1000};

/// Time over which the demand is smoothed: the time between two batches of a trainer.
constexpr double kDemandSmoothingSeconds = 4;

/// Lower bound of a daemon's demand in requests per second: its first calls find a share.
constexpr double kMinDemand = 0.05;

/// A limit is divided into units, one for each request per second and these more. Each unit allows a burst of
/// one request, so that an idle fleet is never allowed more than this beyond the limit at once.
constexpr double kExtraUnits = 3;
constexpr double kMaxUnits = 64;

/// Requests per second of all daemons together, relative to the limit. The platform tolerates half as much
/// again as the limit; the other half of the tolerance covers daemons that do not know each other's latest
/// demand.
constexpr double kLimitUse = 1.25;

/// Time between two computations of the shares.
constexpr milliseconds kShareInterval{200};

std::string formatRate(double perSecond)
{
    return absl::StrFormat("%.2f", perSecond);
}

void setLimit(step &s, const upstream_id &id, upstream_view &view, const rate_limit &limit,
              const std::string &source)
{
    if (view.limit.perSecond != limit.perSecond) {
        s.log(limit.perSecond > 0 ? "upstream-limited" : "upstream-limit-lifted", id.value,
              "requests per second from all daemons: " + formatRate(limit.perSecond)
                      + ", before: " + formatRate(view.limit.perSecond) + ", " + source);
        s.state.nextLimitShareAt = s.ctx.now;
    }
    if (view.limit.perSecond <= 0) {
        view.limitShare = 0;
        view.limitTokens = 0;
    }
    view.limit = limit;
}

bool isLimited(const upstream_view &view)
{
    return view.limit.perSecond > 0;
}

double ownDemand(const node_state &state, const service_id &service, instant now)
{
    const auto found = state.demand.find(service);
    return std::max(kMinDemand, found == state.demand.end() ? 0 : found->second.perSecond(now));
}

/// Part of the line on which the demands of all daemons follow each other.
struct demand_interval
{
    double begin = 0;
    double end = 0;
    /// Sum of all demands.
    double total = 0;
};

/// @returns the interval of this daemon's demand. The order of the daemons does not depend on the demands, so
/// that all daemons compute nearly the same intervals.
demand_interval ownInterval(const node_state &state, const service_id &service, instant now)
{
    const double own = ownDemand(state, service, now);
    const auto positionOf = [&](const host_id &host) {
        return std::make_pair(stableHash(host.value + '\n' + service.value), host);
    };
    const auto ownPosition = positionOf(state.self.host);
    demand_interval interval;
    for (const auto &[host, peer] : state.members) {
        if (host == state.self.host || !isAlive(state, {host, peer.incarnation}, now)) {
            continue;
        }
        // Until a daemon has told its demand it is taken to be as large as the own one.
        double demand = own;
        if (const auto advisory = state.peerAdvisories.find(host); advisory != state.peerAdvisories.end()) {
            const auto told = advisory->second.demand.find(service.value);
            demand = told == advisory->second.demand.end() ? own : std::max(kMinDemand, told->second);
        }
        interval.total += demand;
        interval.begin += positionOf(host) < ownPosition ? demand : 0;
    }
    interval.total += own;
    interval.end = interval.begin + own;
    return interval;
}

/// @returns the units of an upstream's limit that this daemon has. The units are points at equal distances on
/// the line of all demands.
/// @param offset position of the first unit, as a share of the distance; differs among the upstreams of a
/// service, so that each daemon has a unit of some upstream.
double ownUnits(const demand_interval &interval, double units, double offset)
{
    const double distance = interval.total / units;
    const auto unitsBefore
            = [&](double position) { return std::ceil(std::max(0.0, position / distance - offset)); };
    return unitsBefore(interval.end) - unitsBefore(interval.begin);
}

void updateServiceShares(step &s, const service_id &service, const std::vector<upstream_view *> &limited)
{
    const demand_interval interval = ownInterval(s.state, service, s.ctx.now);
    for (std::size_t i = 0; i < limited.size(); ++i) {
        upstream_view &view = *limited[i];
        const double units = std::min(kMaxUnits, std::floor(view.limit.perSecond) + kExtraUnits);
        const double offset = static_cast<double>(i) / static_cast<double>(limited.size());
        view.limitBurst = ownUnits(interval, units, offset);
        view.limitShare = kLimitUse * view.limit.perSecond * view.limitBurst / units;
    }
}

} // namespace

void event_rate::add(double events, instant now)
{
    m_perSecond = perSecond(now) + events / kDemandSmoothingSeconds;
    m_updatedAt = now;
}

double event_rate::perSecond(instant now) const
{
    const double elapsedSeconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return m_perSecond * std::exp(-elapsedSeconds / kDemandSmoothingSeconds);
}

void onUpstreamLimitRead(step &s, const upstream_limit_read &read)
{
    const auto found = s.state.upstreams.find(read.upstream);
    if (found == s.state.upstreams.end() || read.op <= found->second.lastEarlierOp) {
        s.log("limit-ignored", read.upstream.value,
              found == s.state.upstreams.end() ? "the table does not list the upstream"
                                               : "the response came from an earlier process");
        return;
    }
    const double perSecond = read.requestsPerSecond ? std::max(kMinLimit, *read.requestsPerSecond) : 0;
    const rate_limit limit{perSecond, storeTime(s.state, s.ctx.now)};
    setLimit(s, read.upstream, found->second, limit, "named in a response");
    reported_limit &reported = s.state.ownAdvisory.limits[read.upstream.value];
    s.state.advisoryPublication.changed |= reported.perSecond != perSecond;
    reported = {found->second.entry.startedAtMs, limit.perSecond, limit.namedAtMs};
}

void applyReportedLimits(step &s, const daemon_advisory &advisory, const std::string &source)
{
    for (const auto &[id, reported] : advisory.limits) {
        const auto found = s.state.upstreams.find({id});
        if (found == s.state.upstreams.end() || found->second.entry.startedAtMs != reported.startedAtMs
            || found->second.limit.namedAtMs >= reported.namedAtMs) {
            continue;
        }
        setLimit(s, found->first, found->second, {reported.perSecond, reported.namedAtMs},
                 "reported by " + source);
    }
}

bool updateOwnLimits(step &s)
{
    node_state &state = s.state;
    daemon_advisory &advisory = state.ownAdvisory;
    std::erase_if(advisory.limits,
                  [&](const auto &entry) { return !state.upstreams.contains({entry.first}); });
    advisory.demand.clear();
    for (const auto &[id, view] : state.upstreams) {
        if (isLimited(view)) {
            advisory.demand[view.entry.service.value] = ownDemand(state, view.entry.service, s.ctx.now);
        }
    }
    return !advisory.demand.empty();
}

void recordDemand(step &s, const service_id &service, double requests)
{
    s.state.demand[service].add(requests, s.ctx.now);
}

void recordBatchDemand(step &s, const owned_batch &batch)
{
    const route *matchedRoute = findRoute(s.state.config, batch.spec.host, batch.spec.path);
    if (matchedRoute == nullptr) {
        return;
    }
    for (const owned_item &item : batch.items) {
        if (item.phase == item_phase::waiting && !item.isUnsendable) {
            recordDemand(s, pickService(*matchedRoute, stableHash(item.item.id.value)), 1);
        }
    }
}

void updateLimitShares(step &s)
{
    node_state &state = s.state;
    const double elapsedSeconds = std::chrono::duration<double>(s.ctx.now - state.limitTokensAt).count();
    state.limitTokensAt = s.ctx.now;
    std::map<service_id, std::vector<upstream_view *>> limited;
    for (auto &[id, view] : state.upstreams) {
        if (isLimited(view)) {
            limited[view.entry.service].push_back(&view);
            view.limitTokens = std::min(view.limitBurst, view.limitTokens + view.limitShare * elapsedSeconds);
        }
    }
    if (state.nextLimitShareAt > s.ctx.now) {
        return;
    }
    state.nextLimitShareAt = s.ctx.now + kShareInterval;
    for (const auto &[service, views] : limited) {
        updateServiceShares(s, service, views);
    }
}

bool hasLimitToken(const upstream_view &view)
{
    return !isLimited(view) || view.limitTokens >= 1;
}

std::set<upstream_id> limitedUpstreams(const node_state &state, const service_id &service)
{
    std::set<upstream_id> limited;
    for (const auto &[id, view] : state.upstreams) {
        if (view.entry.service == service && isLimited(view)) {
            limited.insert(id);
        }
    }
    return limited;
}

void recordSent(step &s, upstream_view &view, bool isRepeated)
{
    if (!isLimited(view)) {
        return;
    }
    view.limitTokens -= 1;
    ++view.limitedUse.sent;
    view.limitedUse.repeated += isRepeated ? 1 : 0;
    s.emit(count{"limited_requests_total"});
}

void logLimitedUse(step &s)
{
    for (auto &[id, view] : s.state.upstreams) {
        limited_use &use = view.limitedUse;
        if (use.sent == 0 || s.ctx.now - use.loggedAt < kUseLogInterval) {
            continue;
        }
        s.log("limited-upstream-used", id.value,
              "sent " + std::to_string(use.sent) + ", of these repeated " + std::to_string(use.repeated)
                      + ", own share " + formatRate(view.limitShare) + ", limit of all daemons "
                      + formatRate(view.limit.perSecond) + " per second");
        use = {0, 0, s.ctx.now};
    }
}

} // namespace jacinthvale::node
