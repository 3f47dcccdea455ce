/// Samples for trainers: groups, scoring, staleness, stragglers and exactly-once delivery.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

namespace jacinthvale {

/// State of the samples domain.
struct samples_state
{
    process_identity self;
};

/// Handles one event of the samples domain.
effects reduceSamples(samples_state &state, const event &what, const context &at);

} // namespace jacinthvale
