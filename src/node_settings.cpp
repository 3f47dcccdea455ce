#include "node_settings.h"

#include <algorithm>

namespace jacinthvale::node {

namespace {

constexpr std::int64_t kMaxLeaseMs = 600'000;
constexpr std::int64_t kDefaultLeaseMs = 3000;
constexpr double kMaxGraceSeconds = 600;
constexpr double kDefaultGraceSeconds = 8;
constexpr double kMinProcessorShare = 0.001;
constexpr double kMaxProcessorShare = 1024;
constexpr double kDefaultProcessorShare = 1;
constexpr std::int64_t kMaxSharedReadingFrom = 1'000'000;
/// Number of daemons from which a few of them read the table of upstreams from the store for the others. 75
/// daemons is the largest fleet tested with each daemon reading from the store itself.
constexpr std::int64_t kDefaultSharedReadingFrom = 100;
/// Calls per second that the store serves. The defaults are those of the smallest known store.
constexpr double kMaxCallsPerSecond = 1e6;
constexpr double kDefaultReadsPerSecond = 2000;
constexpr double kDefaultWritesPerSecond = 800;
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMaxBytes = 256LL * 1024 * 1024;
constexpr std::int64_t kDefaultHeaderBytes = 64LL * 1024;
constexpr std::int64_t kDefaultBodyBytes = 64LL * 1024 * 1024;
constexpr std::int64_t kMaxLogLines = 1'000'000;
/// Log lines per second for each event name. Writing lines costs processor time, and 5 are enough for
/// diagnosis.
constexpr std::int64_t kDefaultLogLines = 5;

constexpr double kMaxMemoryMb = 1024 * 1024;
constexpr double kBytesPerMb = 1024 * 1024;
/// Memory that connections count on where the settings name none.
constexpr double kDefaultConnectionMemoryMb = 1024;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kDefaultConnections = 2048;
/// Share of the host's memory for answers that callers have not read.
constexpr double kAnswerMemoryShare = 0.25;
constexpr std::int64_t kMaxRevocationBoundMs = 3'600'000;
constexpr double kMaxUsageSeconds = 3600;
constexpr double kDefaultUsageWindowSeconds = 5;
constexpr double kDefaultUsageDueSeconds = 10;

milliseconds fromSeconds(double seconds)
{
    return milliseconds{static_cast<std::int64_t>(seconds * kMillisecondsPerSecond)};
}

void readDuties(json_checker checker, node_settings &settings)
{
    duty_settings duties;
    settings.duties = checker.address("address");
    duties.callsPerSecond = checker.number("callsPerSecond", 1, kMaxCallsPerSecond, 1);
    // Kinds that this build does not know are left to others.
    const std::vector<std::string> kinds = checker.texts("kinds");
    duties.reportsUsage = std::ranges::count(kinds, "usage_report") > 0;
    duties.scalesServices = std::ranges::count(kinds, "autoscale") > 0;
    duties.usageWindow = fromSeconds(
            checker.number("usageWindowSeconds", 0.1, kMaxUsageSeconds, kDefaultUsageWindowSeconds));
    duties.usageDue
            = fromSeconds(checker.number("usageDueSeconds", 0.1, kMaxUsageSeconds, kDefaultUsageDueSeconds));
    checker.finish();
    settings.identity.duties = duties;
}

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
    settings.identity.leaseTime = milliseconds{checker.integer("leaseMs", 1, kMaxLeaseMs, kDefaultLeaseMs)};
    const double graceSeconds = checker.number("stopGraceSeconds", 0, kMaxGraceSeconds, kDefaultGraceSeconds);
    settings.identity.stopGrace = fromSeconds(graceSeconds);
    settings.identity.processorShare = checker.number("processorShare", kMinProcessorShare,
                                                      kMaxProcessorShare, kDefaultProcessorShare);
    settings.identity.storeReadsPerSecond
            = checker.number("storeReadsPerSecond", 1, kMaxCallsPerSecond, kDefaultReadsPerSecond);
    settings.identity.storeWritesPerSecond
            = checker.number("storeWritesPerSecond", 1, kMaxCallsPerSecond, kDefaultWritesPerSecond);
    settings.identity.sharedReadMinFleetSize = static_cast<std::size_t>(
            checker.integer("sharedReadingFrom", 1, kMaxSharedReadingFrom, kDefaultSharedReadingFrom));
    const double memoryMb = checker.number("memoryMb", 0, kMaxMemoryMb, 0);
    settings.identity.answerMemory = static_cast<std::size_t>(memoryMb * kBytesPerMb * kAnswerMemoryShare);
    settings.memoryMb = memoryMb > 0 ? memoryMb : kDefaultConnectionMemoryMb;
    settings.maxConnections = static_cast<std::size_t>(
            checker.integer("maxConnections", 4, kMaxConnections, kDefaultConnections));
    if (checker.has("revocationBoundMs")) {
        settings.identity.revocationBound
                = milliseconds{checker.integer("revocationBoundMs", 1, kMaxRevocationBoundMs)};
    }
    if (checker.has("duties")) {
        readDuties(checker.object("duties"), settings);
    }
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
