// Parsing of what the platform and upstreams say about themselves.
#include "foreign_fields.h"

#include <jacinthvale/membership.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <span>

namespace jacinthvale {

using nlohmann::json;

namespace {

constexpr int kMaxReportedCount = 1'000'000;

std::string textOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool flagOf(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

int countOf(const json &object, const char *key)
{
    return static_cast<int>(std::min<std::uint64_t>(numberOf(object, key), kMaxReportedCount));
}

bool isOneOf(const std::string &text, std::span<const char *const> words)
{
    return std::ranges::find(words, text) != words.end();
}

/// Reads an entry of the host list. @returns the name of the field at fault, null if there is none; the host
/// is incomplete then.
const char *readHost(const json &item, listed_host &host)
{
    static constexpr std::array kFields
            = {foreign_field{"host", &json::is_string},
               foreign_field{"role", &json::is_string},
               foreign_field{"service", &json::is_string},
               foreign_field{"http", &json::is_string},
               foreign_field{"peer", &json::is_string},
               foreign_field{"availabilityZone", &json::is_string},
               foreign_field{"incarnation", &json::is_number_unsigned},
               foreign_field{"state", &json::is_string},
               foreign_field{"checksFencing", &json::is_boolean, field_need::optional}};
    static constexpr std::array kRoles = {"engine", "service", "scorer", "gate", "rollout", "fleet"};
    static constexpr std::array kStates = {"live", "leaving"};
    host.host = textOf(item, "host");
    if (const char *fault = findFault(item, kFields)) {
        return fault;
    }
    host.role = textOf(item, "role");
    host.service = textOf(item, "service");
    host.http = parseEndpoint(textOf(item, "http"));
    host.peer = parseEndpoint(textOf(item, "peer"));
    host.availabilityZone = {textOf(item, "availabilityZone")};
    host.incarnation = {numberOf(item, "incarnation")};
    host.leaving = textOf(item, "state") == "leaving";
    host.checksFencing = flagOf(item, "checksFencing");
    const std::array checks
            = {std::pair("host", !host.host.empty()), std::pair("role", isOneOf(host.role, kRoles)),
               std::pair("http", !host.http.empty()),
               std::pair("state", isOneOf(textOf(item, "state"), kStates))};
    return findFault(checks);
}

std::optional<json> parseObject(const std::string &body)
{
    json document = json::parse(body, nullptr, false);
    return document.is_object() ? std::optional(std::move(document)) : std::nullopt;
}

std::vector<model_weights> parseModels(const json &document)
{
    std::vector<model_weights> models;
    const auto list = document.find("models");
    if (list == document.end() || !list->is_array()) {
        return models;
    }
    for (const json &item : *list) {
        if (item.is_object() && !textOf(item, "model").empty()) {
            models.push_back({{textOf(item, "model")}, {numberOf(item, "version")}, flagOf(item, "clear")});
        }
    }
    std::ranges::sort(models);
    return models;
}

} // namespace

std::optional<host_list> parseHostList(const std::string &body)
{
    const std::optional<json> document = parseObject(body);
    if (!document || !document->contains("hosts") || !(*document)["hosts"].is_array()) {
        return std::nullopt;
    }
    host_list list;
    for (const json &item : (*document)["hosts"]) {
        listed_host host;
        const char *fault = item.is_object() ? readHost(item, host) : "";
        if (fault != nullptr) {
            list.unreadable.push_back({host.host, fault});
        } else {
            list.hosts.push_back(std::move(host));
        }
    }
    return list;
}

std::optional<upstream_status> parseUpstreamStatus(const std::string &body)
{
    const std::optional<json> document = parseObject(body);
    static constexpr std::array kFields = {foreign_field{"incarnation", &json::is_number_unsigned},
                                           foreign_field{"swapCounter", &json::is_number_unsigned},
                                           foreign_field{"running", &json::is_number_unsigned},
                                           foreign_field{"queued", &json::is_number_unsigned},
                                           foreign_field{"leaving", &json::is_boolean},
                                           foreign_field{"models", &json::is_array}};
    if (!document || findFault(*document, kFields) != nullptr) {
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
