/// Processor time, memory and peer traffic of processes under test.
#pragma once

#include "bench_loop.h"
#include "bench_targets.h"

#include <optional>
#include <string>
#include <vector>

namespace jacinthvale::bench {

/// One reading of a process.
struct process_reading
{
    milliseconds at{0};
    /// User and system time.
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

/// Parses the content of /proc/PID/stat.
/// @returns nothing where the text is not one.
std::optional<process_reading> parseProcessStat(const std::string &stat);

/// What one process cost between the first and the last reading.
struct process_cost
{
    target_process process;
    process_reading first;
    process_reading last;
    double maxResidentMegabytes = 0;
    /// Sum of jacinthvale_peer_bytes_* of /metrics at the first and at the last reading.
    std::optional<double> firstPeerBytes;
    std::optional<double> lastPeerBytes;

    /// Percent of one core.
    double cpuPercent() const;
    double peerKilobytesPerSecond() const;
};

/// Reads all processes of a target set from time to time.
class cost_sampler
{
public:
    cost_sampler(bench_loop &loop, const std::vector<target_process> &processes, milliseconds period);

    void start() { sample(); }
    /// Takes the last reading and stops.
    void finish();
    const std::vector<process_cost> &costs() const { return m_costs; }

private:
    void sample();
    void read(process_cost &cost);
    void readMetrics(std::size_t i);

    bench_loop &m_loop;
    milliseconds m_period;
    std::vector<process_cost> m_costs;
    bool m_stopped = false;
};

/// @returns the sum of all counters whose name begins with the prefix, in Prometheus' text format.
double sumOfCounters(const std::string &metrics, const std::string &prefix);

} // namespace jacinthvale::bench
