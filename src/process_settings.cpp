#include "process_settings.h"

#include <algorithm>

namespace jacinthvale {

namespace {

constexpr std::int64_t kMinTimelineEntries = 16;
constexpr std::int64_t kMaxTimelineEntries = 1'000'000;
constexpr std::int64_t kDefaultTimelineEntries = 8192;
constexpr std::int64_t kMinBodyBytes = 1024;
constexpr std::int64_t kMaxBodyBytes = 64 * 1024 * 1024;
constexpr std::int64_t kDefaultBodyBytes = 8 * 1024 * 1024;
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kMaxMemoryMb = 1024 * 1024;
constexpr std::int64_t kDefaultMemoryMb = 256;
constexpr std::int64_t kMinConnections = 4;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kDefaultConnections = 2048;
constexpr std::int64_t kMaxBalancerGraceMs = 600'000;
constexpr std::int64_t kDefaultBalancerGraceMs = 2000;
constexpr std::size_t kMinFleetKeyBytes = 16;
constexpr std::size_t kSha256HexDigits = 64;

bool isSha256Hex(const std::string &text)
{
    const auto isHexDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == kSha256HexDigits && std::ranges::all_of(text, isHexDigit);
}

std::vector<principal> readPrincipals(json_checker &checker, const std::string &key)
{
    std::vector<principal> result;
    for (json_checker &item : checker.objects(key)) {
        principal who{item.text("name"), item.text("tokenSha256")};
        if (!isSha256Hex(who.tokenSha256)) {
            item.fault("tokenSha256", "must be 64 lower-case hex digits");
        }
        item.finish();
        result.push_back(std::move(who));
    }
    return result;
}

process_identity readIdentity(json_checker &checker, process_role role)
{
    process_identity identity;
    identity.role = role;
    identity.deployment = {checker.text("deployment")};
    identity.host = {checker.text("host")};
    identity.availabilityZone = {checker.text("availabilityZone")};
    identity.http = checker.listenAddress("httpAddress");
    identity.peer = checker.listenAddress("peerAddress");
    identity.platform = checker.address("platformAddress");
    identity.seeds = checker.addresses("seeds");
    return identity;
}

} // namespace

process_settings readProcessSettings(const std::string &text, process_role role)
{
    process_settings settings;
    const nlohmann::json document = parseJson(text, settings.faults);
    json_checker checker(document, "$", settings.faults);
    settings.identity = readIdentity(checker, role);
    settings.fleetKey = checker.text("fleetKey");
    if (settings.fleetKey.size() < kMinFleetKeyBytes) {
        checker.fault("fleetKey", "must have at least 16 bytes");
    }
    settings.operators = readPrincipals(checker, "operators");
    settings.trainers = readPrincipals(checker, "trainers");
    settings.logLevel = checker.oneOf("logLevel", {"info", "off"}, "info");
    settings.timelineEntries = checker.integer("timelineEntries", kMinTimelineEntries, kMaxTimelineEntries,
                                               kDefaultTimelineEntries);
    settings.memoryMb = checker.integer("memoryMb", kMinMemoryMb, kMaxMemoryMb, kDefaultMemoryMb);
    settings.maxConnections
            = checker.integer("maxConnections", kMinConnections, kMaxConnections, kDefaultConnections);
    settings.maxBodyBytes = checker.integer("maxBodyBytes", kMinBodyBytes, kMaxBodyBytes, kDefaultBodyBytes);
    settings.balancerGrace = milliseconds{
            checker.integer("balancerGraceMs", 0, kMaxBalancerGraceMs, kDefaultBalancerGraceMs)};
    checker.finish();
    return settings;
}

} // namespace jacinthvale
