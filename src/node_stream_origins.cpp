// Which build began a stream. A caller may take its stream up again at any daemon, so the daemon that
// forwards it tells the origin to others before the first event reaches the caller.
#include "node_step.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

/// Longest duration of a stream, and time for which its origin is kept.
constexpr milliseconds kMaxStreamDuration{120'000};

/// Maximum number of origins that are kept; the oldest are dropped.
constexpr std::size_t kMaxStreamOrigins = 20'000;

} // namespace

void recordBuildListed(step &s, const upstream_build &build)
{
    auto &lastListed = s.state.streamOrigins.lastListed;
    std::erase_if(lastListed,
                  [&](const auto &entry) { return entry.second + kMaxStreamDuration < s.ctx.now; });
    lastListed[build] = s.ctx.now;
}

void recordStreamOrigin(step &s, const request_id &stream, const upstream_build &build)
{
    stream_origins &origins = s.state.streamOrigins;
    origins.builds[stream] = {build, s.ctx.now};
    origins.recorded.emplace_back(s.ctx.now, stream);
    while (origins.recorded.size() > kMaxStreamOrigins
           || origins.recorded.front().first + kMaxStreamDuration < s.ctx.now) {
        const auto [recordedAt, oldest] = std::move(origins.recorded.front());
        origins.recorded.pop_front();
        const auto entry = origins.builds.find(oldest);
        // A stream that was recorded again later stays.
        if (entry != origins.builds.end() && entry->second.recordedAt == recordedAt) {
            origins.builds.erase(entry);
        }
    }
}

stream_origin findStreamOrigin(const node_state &state, const request_id &stream, const service_id &service,
                               instant now)
{
    stream_origin origin;
    const auto found = state.streamOrigins.builds.find(stream);
    if (!stream.empty() && found != state.streamOrigins.builds.end()) {
        origin.build = found->second.build;
    }
    for (const auto &[id, view] : state.upstreams) {
        if (view.entry.service == service) {
            origin.recentBuilds.insert(buildOf(view.entry));
        }
    }
    for (const auto &[build, listedAt] : state.streamOrigins.lastListed) {
        if (build.service == service && listedAt + kMaxStreamDuration >= now) {
            origin.recentBuilds.insert(build);
        }
    }
    return origin;
}

std::vector<endpoint> originKeepers(const node_state &state, const request_id &stream, instant now)
{
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    for (const auto &[host, peer] : state.members) {
        if (host != state.self.host && isAlive(state, {host, peer.incarnation}, now)) {
            ranked.emplace_back(stableHash(stream.value + '\n' + host.value), peer.peer);
        }
    }
    std::ranges::sort(ranked);
    std::vector<endpoint> keepers;
    std::ranges::transform(ranked, std::back_inserter(keepers), &std::pair<std::uint64_t, endpoint>::second);
    return keepers;
}

} // namespace jacinthvale::node
