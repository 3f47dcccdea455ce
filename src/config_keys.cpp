#include <jacinthvale/config_document.h>

#include <algorithm>

namespace jacinthvale {

const std::vector<config_key> &configKeys()
{
    // Sorted by name; one line of meaning each. docs/SETTINGS.md lists them all.
    static const std::vector<config_key> kKeys = {
            {"config.isolationBoundMs", std::int64_t{10'000}, 4000, 600'000, "ms",
             "Time without the store and without any peer after which non-repeatable work is refused."},
            {"samples.maxStalenessVersions", std::int64_t{2}, 0, 1000, "weight versions",
             "Oldest weights a sample may name, counted back from its trainer's current version."},
    };
    return kKeys;
}

const config_key *findConfigKey(std::string_view name)
{
    const auto &keys = configKeys();
    const auto found = std::ranges::find(keys, name, &config_key::name);
    return found == keys.end() ? nullptr : &*found;
}

} // namespace jacinthvale
