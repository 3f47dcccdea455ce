#include <jacinthvale/config.h>

namespace jacinthvale {

const std::vector<config_key> &configKeys()
{
    // Sorted by name; one line of meaning each. docs/SETTINGS.md lists them all.
    static const std::vector<config_key> kKeys = {
            {"fleet.statusPeriodMs", std::int64_t{1000}, 100, 60'000, "milliseconds",
             "Time between two status calls to one upstream by the holder of its shard."},
            {"fleet.swapSharePercent", std::int64_t{25}, 1, 100, "percent of the serving engines",
             "Most engines that load weights at the same time; at least one."},
            {"fleet.swapTimeoutMs", std::int64_t{15'000}, 100, 600'000, "milliseconds",
             "Longest wait for an engine's answer to an order to load weights."},
            {"fleet.weightLoadsPerSecond", std::int64_t{40}, 1, 10'000, "loads per second",
             "Weight loads that all daemons together may start; set from the weight store's rate."},
            {"samples.maxStalenessVersions", std::int64_t{2}, 0, 1000, "weight versions",
             "Oldest weights a sample may name, counted back from its trainer's current version."},
    };
    return kKeys;
}

} // namespace jacinthvale
