/// Settings file of the daemon (jvnode): one JSON object.
#pragma once

#include "json_checker.h"
#include <jacinthvale/node.h>

namespace jacinthvale::node {

struct node_settings
{
    node_identity identity;
    /// Listen address for client requests.
    endpoint entry;
    /// Listen address for the load balancer's readiness checks.
    endpoint readiness;
    /// Address of the platform's store.
    endpoint platform;
    /// Address for the calls of duties; empty if there are none.
    endpoint duties;
    /// Listen address for counters and histograms.
    endpoint metrics;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// What callers' and peers' connections may hold.
    double memoryMb = 0;
    std::size_t maxConnections = 0;
    std::string logLevel;
    /// Maximum log lines per second for each event name; further lines are counted but not written.
    std::int64_t logLinesPerKind = 0;
    /// All errors found in the file; empty if it is valid.
    std::vector<json_fault> faults;
};

/// Parses and checks the settings. Errors are reported in `faults`.
node_settings readNodeSettings(const std::string &text);

} // namespace jacinthvale::node
