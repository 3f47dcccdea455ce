/// Settings of a daemon that keeps nothing of its own: one JSON object, checked as a whole.
#pragma once

#include "json_checker.h"
#include <jacinthvale/node.h>

namespace jacinthvale::node {

struct node_settings
{
    node_identity identity;
    /// Where callers come in.
    endpoint entry;
    /// Where the balancer asks whether this process takes callers.
    endpoint readiness;
    endpoint platform;
    /// Where counters and histograms are served.
    endpoint metrics;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    std::string logLevel;
    /// Lines of one kind a second; more are counted, not written.
    std::int64_t logLinesPerKind = 0;
    std::vector<json_fault> faults;
};

node_settings readNodeSettings(const std::string &text);

} // namespace jacinthvale::node
