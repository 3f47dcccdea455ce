#include <jacinthvale/config.h>

namespace jacinthvale {

const std::vector<config_key> &configKeys()
{
    // Sorted by name; one line of meaning each. docs/SETTINGS.md lists them all.
    static const std::vector<config_key> kKeys = {
            {"requests.breakerFailures", std::int64_t{5}, 1, 1000, "failures",
             "Failures in a row after which an upstream gets no requests until a probe succeeds."},
            {"requests.classPriority", std::int64_t{5}, 0, 9, "priority",
             "Priority that engines get with requests of a caller class; 0 is served first."},
            {"requests.classShare", std::int64_t{100}, 1, 10'000, "weight",
             "Share of a caller class in the turns of a queue, relative to the other classes."},
            {"requests.defaultDeadlineMs", std::int64_t{60'000}, 1, 3'600'000, "ms",
             "Time that a caller waits that does not say how long."},
            {"requests.maxQueued", std::int64_t{2000}, 0, 1'000'000, "requests",
             "Most requests that wait for the upstreams of one service or model."},
            {"requests.maxTickets", std::int64_t{100'000}, 0, 1'000'000, "tickets",
             "Most tickets that one gate remembers."},
            {"requests.retryPercent", std::int64_t{10}, 0, 100, "percent",
             "Retries allowed, as a share of first attempts."},
            {"requests.serviceProgressMs", std::int64_t{30'000}, 100, 3'600'000, "ms",
             "Longest wait for an answer of a plain service."},
            {"requests.streamProgressMs", std::int64_t{10'000}, 100, 600'000, "ms",
             "Longest silence of an engine's stream."},
            {"requests.ticketLifetimeMs", std::int64_t{10'000}, 100, 600'000, "ms",
             "Time in which a ticket can be used; a stopping gate waits this long for its tickets."},
            {"samples.maxStalenessVersions", std::int64_t{2}, 0, 1000, "weight versions",
             "Oldest weights a sample may name, counted back from its trainer's current version."},
    };
    return kKeys;
}

} // namespace jacinthvale
