#include <jacinthvale/config.h>

namespace jacinthvale {

const std::vector<config_key> &configKeys()
{
    // Sorted by name; one line of meaning each. docs/SETTINGS.md lists them all.
    static const std::vector<config_key> kKeys = {
            {"samples.maxStalenessVersions", std::int64_t{2}, 0, 1000, "weight versions",
             "Oldest weights a sample may name, counted back from its trainer's current version."},
    };
    return kKeys;
}

} // namespace jacinthvale
