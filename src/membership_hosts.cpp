// Parsing of what the platform and upstreams say about themselves.
#include <jacinthvale/membership.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace jacinthvale {

namespace {

constexpr int kMaxReportedCount = 1'000'000;

std::string textOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool flagOf(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

int countOf(const nlohmann::json &object, const char *key)
{
    return static_cast<int>(std::min<std::uint64_t>(numberOf(object, key), kMaxReportedCount));
}

bool isKnownRole(const std::string &role)
{
    static constexpr std::array kRoles = {"engine", "service", "scorer", "gate", "rollout", "fleet"};
    return std::ranges::find(kRoles, role) != kRoles.end();
}

std::optional<listed_host> parseHost(const nlohmann::json &item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    listed_host host;
    host.host = textOf(item, "host");
    host.role = textOf(item, "role");
    host.service = textOf(item, "service");
    host.http = parseEndpoint(textOf(item, "http"));
    host.peer = parseEndpoint(textOf(item, "peer"));
    host.availabilityZone = {textOf(item, "availabilityZone")};
    host.incarnation = {numberOf(item, "incarnation")};
    host.leaving = textOf(item, "state") == "leaving";
    host.checksFencing = flagOf(item, "checksFencing");
    const bool valid = !host.host.empty() && isKnownRole(host.role) && !host.http.empty();
    return valid ? std::optional(host) : std::nullopt;
}

std::optional<nlohmann::json> parseObject(const std::string &body)
{
    nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    return document.is_object() ? std::optional(std::move(document)) : std::nullopt;
}

std::vector<model_weights> parseModels(const nlohmann::json &document)
{
    std::vector<model_weights> models;
    const auto list = document.find("models");
    if (list == document.end() || !list->is_array()) {
        return models;
    }
    for (const nlohmann::json &item : *list) {
        if (item.is_object() && !textOf(item, "model").empty()) {
            models.push_back({{textOf(item, "model")}, {numberOf(item, "version")}, flagOf(item, "clear")});
        }
    }
    std::ranges::sort(models);
    return models;
}

} // namespace

std::optional<std::vector<listed_host>> parseHostList(const std::string &body)
{
    const std::optional<nlohmann::json> document = parseObject(body);
    if (!document || !document->contains("hosts") || !(*document)["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<listed_host> hosts;
    for (const nlohmann::json &item : (*document)["hosts"]) {
        if (std::optional<listed_host> host = parseHost(item)) {
            hosts.push_back(std::move(*host));
        }
    }
    return hosts;
}

std::optional<upstream_status> parseUpstreamStatus(const std::string &body)
{
    const std::optional<nlohmann::json> document = parseObject(body);
    if (!document || !document->contains("incarnation") || !(*document)["incarnation"].is_number_unsigned()) {
        return std::nullopt;
    }
    upstream_status status;
    status.incarnation = {numberOf(*document, "incarnation")};
    status.swapCounter = numberOf(*document, "swapCounter");
    status.running = countOf(*document, "running");
    status.queued = countOf(*document, "queued");
    status.leaving = flagOf(*document, "leaving");
    status.models = parseModels(*document);
    return status;
}

} // namespace jacinthvale
