/// Upstreams: leases, weight roll-out, orders and observation.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

namespace jacinthvale {

/// State of the fleet domain.
struct fleet_state
{
    process_identity self;
};

/// Handles one event of the fleet domain.
effects reduceFleet(fleet_state &state, const event &what, const context &at);

} // namespace jacinthvale
