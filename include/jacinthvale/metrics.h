/// Counters, gauges and distributions of a process, rendered in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace jacinthvale {

/// Metrics by name. A name may include labels: requests_total{verdict="ran"}.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    void count(const std::string &name, double amount);
    void setGauge(const std::string &name, double value);
    void observe(const std::string &name, double value);

    /// @returns all metrics in the Prometheus text format, with "jacinthvale_" prefixed to each name.
    std::string render() const;

private:
    struct distribution;
    std::map<std::string, double> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<distribution>> m_distributions;
};

} // namespace jacinthvale
