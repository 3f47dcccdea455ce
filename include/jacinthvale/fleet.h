/// Upstreams: leases, weight roll-out, orders and observation.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

#include <string>

namespace jacinthvale {

/// State of the fleet domain.
struct fleet_state
{
    process_identity self;
};

/// Handles one event of the fleet domain.
effects reduceFleet(fleet_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeFleet(const fleet_state &state, const context &at);

} // namespace jacinthvale
