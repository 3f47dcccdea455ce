/// Identity of a daemon process.
#pragma once

#include <jacinthvale/types.h>

#include <string>
#include <vector>

namespace jacinthvale {

/// Kind of daemon.
enum class process_role : std::uint8_t { gate, rollout, fleet };

/// @returns "gate", "rollout" or "fleet".
std::string_view toString(process_role role);

/// Identity of this process from its settings and its start. Immutable after the start.
struct process_identity
{
    process_role role = process_role::gate;
    deployment_id deployment;
    host_id host;
    availability_zone_id availabilityZone;
    incarnation_id incarnation;
    endpoint http;
    endpoint peer;
    /// Peers to contact first.
    std::vector<endpoint> seeds;
    /// HTTP endpoint of the platform: table, objects, host list and weight store.
    endpoint platform;

    auto operator<=>(const process_identity &) const = default;
};

} // namespace jacinthvale
