#include "node_settings.h"

namespace jacinthvale::node {

namespace {

constexpr std::int64_t kMaxTimeMs = 600'000;
constexpr std::int64_t kDefaultLeaseMs = 3000;
constexpr double kMaxGraceSeconds = 600;
constexpr double kDefaultGraceSeconds = 8;
constexpr double kLeastProcessorShare = 0.001;
constexpr double kMostProcessorShare = 1024;
constexpr double kDefaultProcessorShare = 1;
constexpr std::int64_t kMostDaemons = 1'000'000;
/// The largest fleet whose daemons were measured to read for themselves has 75.
constexpr std::int64_t kDefaultSharedReading = 100;
/// Calls a second that a store serves; without a setting those of the smallest store known.
constexpr double kMostCallsPerSecond = 1e6;
constexpr double kDefaultReadsPerSecond = 2000;
constexpr double kDefaultWritesPerSecond = 800;
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMaxBytes = 256LL * 1024 * 1024;
constexpr std::int64_t kDefaultHeaderBytes = 64LL * 1024;
constexpr std::int64_t kDefaultBodyBytes = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxLogLines = 1'000'000;
/// Writing a line costs processor time; five a second of each kind tell what goes on.
constexpr std::int64_t kDefaultLogLines = 5;

} // namespace

node_settings readNodeSettings(const std::string &text)
{
    node_settings settings;
    const nlohmann::json document = parseJson(text, settings.faults);
    json_checker checker(document, "$", settings.faults);
    settings.identity.host = {checker.text("host")};
    settings.identity.availabilityZone = {checker.text("availabilityZone")};
    settings.identity.peer = checker.listenAddress("peerAddress");
    settings.identity.seeds = checker.addresses("seeds");
    settings.identity.leaseTime = milliseconds{checker.integer("leaseMs", 1, kMaxTimeMs, kDefaultLeaseMs)};
    const double graceSeconds = checker.number("stopGraceSeconds", 0, kMaxGraceSeconds, kDefaultGraceSeconds);
    settings.identity.stopGrace
            = milliseconds{static_cast<std::int64_t>(graceSeconds * kMillisecondsPerSecond)};
    settings.identity.processorShare = checker.number("processorShare", kLeastProcessorShare,
                                                      kMostProcessorShare, kDefaultProcessorShare);
    settings.identity.storeReadsPerSecond
            = checker.number("storeReadsPerSecond", 1, kMostCallsPerSecond, kDefaultReadsPerSecond);
    settings.identity.storeWritesPerSecond
            = checker.number("storeWritesPerSecond", 1, kMostCallsPerSecond, kDefaultWritesPerSecond);
    settings.identity.sharedReadMinFleetSize = static_cast<std::size_t>(
            checker.integer("sharedReadingFrom", 1, kMostDaemons, kDefaultSharedReading));
    settings.entry = checker.listenAddress("entryAddress");
    settings.readiness = checker.listenAddress("readinessAddress");
    settings.platform = checker.address("platformAddress");
    settings.metrics = checker.listenAddress("metricsAddress");
    settings.maxHeaderBytes
            = static_cast<std::size_t>(checker.integer("maxHeaderBytes", 1, kMaxBytes, kDefaultHeaderBytes));
    settings.maxBodyBytes
            = static_cast<std::size_t>(checker.integer("maxBodyBytes", 1, kMaxBytes, kDefaultBodyBytes));
    settings.logLevel = checker.oneOf("logLevel", {"info", "off"}, "info");
    settings.logLinesPerKind = checker.integer("logLinesPerKind", 1, kMaxLogLines, kDefaultLogLines);
    checker.finish();
    return settings;
}

} // namespace jacinthvale::node
