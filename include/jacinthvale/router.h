/// Selection of an upstream for one attempt.
#pragma once

#include <jacinthvale/domain_event.h>
#include <jacinthvale/types.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jacinthvale {

/// Upstream that the router may choose.
struct route_candidate
{
    const upstream_view *view = nullptr;
    /// Number of requests of this process in flight at the upstream.
    int inFlight = 0;
    /// True if the concurrency limit allows another request.
    bool hasCapacity = true;
    /// True if the circuit breaker allows a request.
    bool breakerAllows = true;
};

/// Requirements and preferences of one attempt.
struct route_request
{
    /// Availability zone of this process; upstreams in it are preferred.
    availability_zone_id zone;
    /// Engines only: the model that should be loaded.
    std::string model;
    /// Engines only: hash of the prompt's prefix; empty if prefix affinity brings no benefit.
    std::optional<std::uint64_t> prefixHash;
    /// Upstreams that earlier attempts used; chosen only if no other one fits.
    std::vector<upstream_id> tried;
};

enum class route_outcome : std::uint8_t {
    chosen,
    /// Every suitable upstream is at its concurrency limit.
    all_at_limit,
    /// No upstream is suitable.
    none,
};

struct route_choice
{
    route_outcome outcome = route_outcome::none;
    upstream_id upstream;
};

/// Age at which a load report is weighted by one half.
inline constexpr milliseconds kLoadReportHalfLife{1000};

/// @returns the load that the router compares: requests of this process in flight plus the reported load,
/// which decays with the age of the report.
double effectiveLoad(const route_candidate &candidate, instant now);

/// Chooses an upstream.
///
/// Never chooses an upstream that is draining. Excludes upstreams that are not serving or that the circuit
/// breaker blocks, unless fewer than half of the remaining ones are healthy: then this process more likely
/// has a wrong view than most upstreams are down, and all are used (panic mode). Prefers the own availability
/// zone. Among the rest, uses rendezvous hashing of the prompt prefix with bounded load, or without a prefix
/// hash the less loaded of two random upstreams.
route_choice chooseUpstream(std::span<const route_candidate> candidates, const route_request &request,
                            instant now, std::uint64_t random);

} // namespace jacinthvale
