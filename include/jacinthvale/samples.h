/// Samples for trainers: groups, scoring, staleness, stragglers and exactly-once delivery.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

#include <string>

namespace jacinthvale {

/// State of the samples domain.
struct samples_state
{
    process_identity self;
};

/// Handles one event of the samples domain.
effects reduceSamples(samples_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeSamples(const samples_state &state, const context &at);

} // namespace jacinthvale
