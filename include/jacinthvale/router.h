/// Choice of an upstream for one attempt.
#pragma once

#include <jacinthvale/domain_event.h>
#include <jacinthvale/types.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jacinthvale {

/// One upstream as the router sees it.
struct route_candidate
{
    const upstream_view *view = nullptr;
    /// Requests of this process in flight there.
    int inFlight = 0;
    /// Room under the concurrency limit.
    bool hasRoom = true;
    /// The circuit breaker lets a request pass.
    bool breakerAllows = true;
};

/// What one attempt needs.
struct route_wish
{
    /// Zone of this process; its upstreams go first.
    availability_zone_id zone;
    /// Engines only: the model that must be loaded.
    std::string model;
    /// Engines only: hash of the prompt's prefix; none where affinity does not pay.
    std::optional<std::uint64_t> prefixHash;
    /// Upstreams to leave out where any other is left.
    std::vector<upstream_id> tried;
};

enum class route_outcome : std::uint8_t {
    chosen,
    /// Every fitting upstream is at its limit.
    all_busy,
    /// None fits.
    none,
};

struct route_choice
{
    route_outcome outcome = route_outcome::none;
    upstream_id upstream;
};

/// Age after which a load report counts half.
inline constexpr milliseconds kLoadReportHalfLife{1000};

/// @returns the load that the router compares: own requests in flight plus the reported load, discounted by
/// the age of the report.
double routeLoad(const route_candidate &candidate, instant now);

/// Chooses an upstream.
///
/// Upstreams that are leaving are never chosen. Those that are down or behind an open breaker are left out,
/// unless fewer than half of the rest look good: then the observer is more likely wrong than all of them
/// (panic rule), and all are used. Own zone first; inside it the rendezvous hash of the prompt prefix with
/// bounded load, else the less loaded of two random ones.
route_choice chooseUpstream(std::span<const route_candidate> candidates, const route_wish &wish, instant now,
                            std::uint64_t random);

} // namespace jacinthvale
