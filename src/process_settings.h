/// Settings of one process: its JSON file, fully checked.
#pragma once

#include "json_checker.h"

#include <jacinthvale/identity.h>

#include <string>
#include <vector>

namespace jacinthvale {

/// Somebody who may give orders, known by the hash of a bearer token.
struct principal
{
    std::string name;
    std::string tokenSha256;

    auto operator<=>(const principal &) const = default;
};

/// Checked settings of a daemon. docs/SETTINGS.md lists every field.
struct process_settings
{
    process_identity identity;
    std::string fleetKey;
    std::vector<principal> operators;
    std::vector<principal> trainers;
    std::string logLevel;
    std::int64_t timelineEntries = 0;
    std::int64_t maxBodyBytes = 0;
    /// Memory of the process; connections may hold a share of it.
    std::int64_t memoryMb = 0;
    std::int64_t maxConnections = 0;
    /// Time after SIGTERM in which the balancer learns that this process is not ready; work is still taken.
    milliseconds balancerGrace{0};
    std::vector<json_fault> faults;
};

/// Reads and checks settings; all faults are in the result.
process_settings readProcessSettings(const std::string &text, process_role role);

} // namespace jacinthvale
