/// Fleet-wide configuration: defaults and a short list of exceptions, and how it comes into force.
#pragma once

#include <jacinthvale/config_document.h>
#include <jacinthvale/config_state.h>
#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>

#include <string>

namespace jacinthvale {

/// Handles one event of the configuration domain.
effects reduceConfig(config_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeConfig(const config_state &state, const context &at);

} // namespace jacinthvale
