/// Targets file of jvbench: addresses and process ids that the starting script wrote.
#pragma once

#include "json_checker.h"

#include <map>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// A process that jvbench may signal and measure.
struct target_process
{
    std::string name;
    std::int64_t pid = 0;
    /// Address for /metrics; empty where it has none.
    endpoint http;
};

/// Processes under one variant.
struct target_set
{
    std::string name;
    std::vector<endpoint> gates;
    std::vector<endpoint> rollouts;
    /// Upstreams for callers that go past the gates.
    std::vector<endpoint> services;
    std::vector<endpoint> engines;
    /// Ports of plain stand-in services that count runs; answers are compared with them.
    std::vector<endpoint> runCounters;
    std::vector<target_process> processes;
};

struct bench_targets
{
    std::vector<target_set> sets;
    std::vector<json_fault> problems;
};

/// Reads and checks a targets file; all faults are in the result's problems.
bench_targets readTargets(const std::string &text);

} // namespace jacinthvale::bench
