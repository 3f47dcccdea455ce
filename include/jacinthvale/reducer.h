/// Top-level reducer of a daemon: dispatches each event to the domains that handle it and collects their
/// effects.
///
/// The state is modified in place. Nothing else is read or written, so the same state, event and context
/// always produce the same effects.
#pragma once

#include <jacinthvale/config.h>
#include <jacinthvale/fleet.h>
#include <jacinthvale/membership.h>
#include <jacinthvale/requests.h>
#include <jacinthvale/samples.h>

#include <array>

namespace jacinthvale {

/// State of all domains of a daemon.
struct daemon_state
{
    process_identity self;
    requests_state requests;
    samples_state samples;
    fleet_state fleet;
    config_state config;
    membership_state membership;
    /// Domains that have completed their part of a graceful shutdown.
    std::array<bool, kDomainCount> drained{};
    bool stopping = false;
};

/// @returns the initial state of a daemon with this identity.
daemon_state makeDaemonState(const process_identity &self);

/// @returns the domain that handles requests to this path; domain::requests if no other domain does.
domain ownerOfPath(std::string_view path);

/// Handles one event. Domain events raised meanwhile are delivered to all other domains before it returns.
effects reduce(daemon_state &state, const event &incoming, const context &ctx);

} // namespace jacinthvale
