/// Requests of callers: routing, limits, retries, claims, tickets and streamed answers.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

#include <string>

namespace jacinthvale {

/// State of the requests domain.
struct requests_state
{
    process_identity self;
};

/// Handles one event of the requests domain.
effects reduceRequests(requests_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeRequests(const requests_state &state, const context &at);

} // namespace jacinthvale
