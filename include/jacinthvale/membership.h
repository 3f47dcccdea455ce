/// Peers: gossip, failure suspicion, leaving, and the spread of small facts.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

#include <string>

namespace jacinthvale {

/// State of the membership domain.
struct membership_state
{
    process_identity self;
};

/// Handles one event of the membership domain.
effects reduceMembership(membership_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeMembership(const membership_state &state, const context &at);

} // namespace jacinthvale
