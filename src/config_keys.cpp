#include <jacinthvale/config_document.h>

#include <algorithm>

namespace jacinthvale {

const std::vector<config_key> &configKeys()
{
    // Sorted by name; one line of meaning each. docs/SETTINGS.md lists them all.
    static const std::vector<config_key> kKeys = {
            {"config.isolationBoundMs", std::int64_t{10'000}, 4000, 600'000, "ms",
             "Time without the store and without any peer after which non-repeatable work is refused."},
            {"fleet.statusPeriodMs", std::int64_t{1000}, 100, 60'000, "milliseconds",
             "Time between two status calls to one upstream by the holder of its shard."},
            {"fleet.swapSharePercent", std::int64_t{25}, 1, 100, "percent of the serving engines",
             "Most engines that load weights at the same time; at least one."},
            {"fleet.swapTimeoutMs", std::int64_t{15'000}, 100, 600'000, "milliseconds",
             "Longest wait for an engine's answer to an order to load weights."},
            {"fleet.weightLoadsPerSecond", std::int64_t{40}, 1, 10'000, "loads per second",
             "Weight loads that all daemons together may start; set from the weight store's rate."},
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
            {"samples.commitIntervalMs", std::int64_t{100}, 0, 10000, "ms",
             "Shortest time between two transactions that only append samples of a trainer."},
            {"samples.engineSilenceMs", std::int64_t{10000}, 100, 600000, "ms",
             "Longest time without a byte of an engine's stream before the sample is resumed elsewhere."},
            {"samples.fairShares", true, 0, 1, "flag",
             "Trainers get free places on engines in turn, the one with the fewest running samples first."},
            {"samples.leaseScanMs", std::int64_t{2000}, 100, 60000, "ms",
             "Mean time between two reads of all trainers' lease rows by one rollout daemon."},
            {"samples.leaseTermMs", std::int64_t{6000}, 300, 600000, "ms",
             "A trainer's lease lapses when its row has not changed for so long."},
            {"samples.maxInFlightPerEngine", std::int64_t{16}, 1, 4096, "samples",
             "Most samples that one rollout daemon runs on one engine."},
            {"samples.maxOpenSamples", std::int64_t{8192}, 1, 1000000, "samples",
             "Most accepted samples of a trainer that are not in its sequence yet."},
            {"samples.maxPayloadBytes", std::int64_t{16777216}, 65536, 1073741824, "bytes",
             "Most bytes of a trainer's committed samples that are kept in memory."},
            {"samples.maxStalenessVersions", std::int64_t{2}, 0, 1000, "weight versions",
             "Oldest weights a sample may name, counted back from its trainer's current version."},
            {"samples.maxUncommittedBytes", std::int64_t{8388608}, 65536, 1073741824, "bytes",
             "Bytes of a trainer's finished samples that wait for the store before work is refused."},
            {"samples.resumePartials", true, 0, 1, "flag",
             "A sample whose engine failed continues elsewhere from its last proved token."},
            {"samples.spareAfterPercent", std::int64_t{200}, 100, 10000, "percent",
             "Age of a sample, in percent of its trainer's mean, after which a spare copy may start."},
            {"samples.sparePercent", std::int64_t{5}, 0, 100, "percent",
             "Most spare copies in percent of a trainer's running samples; 0 starts none."},
            {"samples.stepPriority", true, 0, 1, "flag",
             "Engines are asked to serve samples of the oldest unfinished step first."},
            {"samples.stopDrainMs", std::int64_t{20000}, 0, 3600000, "ms",
             "Longest time that a stopping daemon lets running samples end before it hands leases over."},
            {"samples.verifyInSwapMs", std::int64_t{1000}, 50, 600000, "ms",
             "The same in the 30 s after a trainer published weights."},
            {"samples.verifyIntervalMs", std::int64_t{5000}, 100, 600000, "ms",
             "Time between two status reads of an engine that runs samples."},
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
