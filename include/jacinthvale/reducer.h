/// The one reducer of a daemon: hands each event to the domains that it concerns and gathers their effects.
///
/// The state is passed by reference and changed in place; nothing else is read or written, so the same state,
/// event and context always give the same effects.
#pragma once

#include <jacinthvale/config.h>
#include <jacinthvale/fleet.h>
#include <jacinthvale/membership.h>
#include <jacinthvale/requests.h>
#include <jacinthvale/samples.h>

#include <array>

namespace jacinthvale {

/// State of a whole daemon.
struct daemon_state
{
    process_identity self;
    requests_state requests;
    samples_state samples;
    fleet_state fleet;
    config_state config;
    membership_state membership;
    /// Domains that have finished their share of a graceful stop.
    std::array<bool, kDomainCount> drained{};
    bool stopping = false;
};

/// @returns the first state of a daemon with this identity.
daemon_state makeDaemonState(const process_identity &self);

/// @returns the domain that answers requests to this path; requests where no other does.
domain ownerOfPath(std::string_view path);

/// Handles one event. Notices that domains raise are delivered to all other domains before it returns.
effects reduce(daemon_state &state, const event &what, const context &at);

} // namespace jacinthvale
