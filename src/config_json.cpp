#include "config_json.h"

#include "overloaded.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <iterator>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

/// Last millisecond that JSON readers with 53-bit numbers carry exactly.
constexpr std::int64_t kMaxWallMilliseconds = 9'007'199'254'740'991;

void addNamed(json &object, const char *name, const std::string &value)
{
    if (!value.empty()) {
        object[name] = value;
    }
}

std::int64_t toMilliseconds(wall_time time)
{
    return time.time_since_epoch().count();
}

} // namespace

std::string dumpJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json toJson(const config_value &value)
{
    return std::visit([](const auto &held) { return json(held); }, value);
}

json toJson(const config_scope &scope)
{
    json object = json::object();
    addNamed(object, "deployment", scope.deployment);
    addNamed(object, "availabilityZone", scope.availabilityZone);
    addNamed(object, "upstream", scope.upstream);
    addNamed(object, "trainer", scope.trainer);
    addNamed(object, "callerClass", scope.callerClass);
    return object;
}

json toJson(const config_exception &rule)
{
    json object = {{"key", rule.key},
                   {"scope", toJson(rule.scope)},
                   {"value", toJson(rule.value)},
                   {"reason", rule.reason},
                   {"author", rule.author},
                   {"createdAt", toMilliseconds(rule.createdAt)}};
    if (rule.expiresAt) {
        object["expiresAt"] = toMilliseconds(*rule.expiresAt);
    }
    return object;
}

json toJson(const config_document &document)
{
    json defaults = json::object();
    for (const auto &[key, value] : document.defaults) {
        defaults[key] = toJson(value);
    }
    json exceptions = json::array();
    std::ranges::transform(document.exceptions, std::back_inserter(exceptions),
                           [](const config_exception &rule) { return toJson(rule); });
    return {{"revision", document.revision.value},
            {"changeId", document.changeId},
            {"author", document.author},
            {"reason", document.reason},
            {"committedAt", toMilliseconds(document.committedAt)},
            {"defaults", std::move(defaults)},
            {"exceptions", std::move(exceptions)},
            {"hash", document.hash}};
}

json toJson(const std::vector<config_fault> &faults)
{
    json list = json::array();
    std::ranges::transform(faults, std::back_inserter(list), [](const config_fault &fault) {
        return json{{"path", fault.path}, {"problem", fault.problem}};
    });
    return list;
}

config_value readConfigValue(const json &value, const std::string &path, std::vector<json_fault> &faults)
{
    if (value.is_boolean()) {
        return value.get<bool>();
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_number_integer()
        && (!value.is_number_unsigned() || value.get<std::uint64_t>() <= INT64_MAX)) {
        return value.get<std::int64_t>();
    }
    faults.push_back({path, "must be true, false, a whole number or a text"});
    return std::int64_t{0};
}

config_scope readScope(json_checker scope)
{
    config_scope result{scope.text("deployment", ""), scope.text("availabilityZone", ""),
                        scope.text("upstream", ""), scope.text("trainer", ""), scope.text("callerClass", "")};
    scope.finish();
    return result;
}

std::map<std::string, config_value> readValues(const json *object, const std::string &path,
                                               std::vector<json_fault> &faults)
{
    std::map<std::string, config_value> values;
    if (object == nullptr) {
        return values;
    }
    if (!object->is_object()) {
        faults.push_back({path, "must be an object"});
        return values;
    }
    for (const auto &item : object->items()) {
        values[item.key()] = readConfigValue(item.value(), absl::StrCat(path, ".", item.key()), faults);
    }
    return values;
}

wall_time readWallTime(json_checker &checker, const std::string &key)
{
    return wall_time{milliseconds{checker.integer(key, 0, kMaxWallMilliseconds)}};
}

std::optional<wall_time> readOptionalWallTime(json_checker &checker, const std::string &key)
{
    return checker.has(key) ? std::optional(readWallTime(checker, key)) : std::nullopt;
}

std::vector<config_fault> toConfigFaults(const std::vector<json_fault> &faults)
{
    std::vector<config_fault> result;
    std::ranges::transform(faults, std::back_inserter(result), [](const json_fault &fault) {
        return config_fault{fault.path, fault.problem};
    });
    return result;
}

} // namespace jacinthvale
