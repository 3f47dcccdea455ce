/// Duties: calls to the platform that one daemon at a time makes for the whole fleet.
///
/// One lease covers all duties. Its row in the store also holds the record of the duties, so that a successor
/// continues where the former holder stopped: what a call depends on is in the committed record before the
/// call is sent.
#pragma once

#include <jacinthvale/node_types.h>

#include <variant>

namespace jacinthvale::node {

/// Settings of the duties; absent where the deployment has none.
struct duty_settings
{
    /// Calls per second that the platform takes from all daemons together.
    double callsPerSecond = 1;
    bool reportsUsage = false;
    bool scalesServices = false;
    /// Length of a window of usage, and time after its end by which its report is due.
    milliseconds usageWindow{5000};
    milliseconds usageDue{10'000};
};

/// Requests of each account that upstreams began in one window. Window k begins k window lengths after the
/// start of 1970.
struct usage_report
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> counts;

    auto operator<=>(const usage_report &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(window, counts);
    }
};

/// Number of upstreams of one kind that a service shall have in a zone.
struct upstream_order
{
    service_id service;
    availability_zone_id zone;
    unsigned count = 0;
    /// Upstreams that cost less and may be reclaimed, all of a zone at once.
    bool reclaimable = false;

    auto operator<=>(const upstream_order &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service.value, zone.value, count, reclaimable);
    }
};

using duty_call = std::variant<usage_report, upstream_order>;

/// What the holder has decided and a successor must know. Part of the lease row.
struct duty_record
{
    /// Reports that are fixed and not known to be accepted.
    std::vector<usage_report> fixedReports;
    /// Windows before this one are reported or given up; 0 before the first report.
    std::uint64_t nextWindow = 0;
    /// Last order of each service, zone and kind.
    std::vector<upstream_order> orders;

    auto operator<=>(const duty_record &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(fixedReports, nextWindow, orders);
    }
};

} // namespace jacinthvale::node
