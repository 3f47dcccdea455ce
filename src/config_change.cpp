#include <jacinthvale/config_change.h>

#include "config_json.h"
#include "keyed_hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cctype>
#include <iterator>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxChangeIdBytes = 100;

/// Change ids stand in row keys and paths.
bool isChangeId(const std::string &text)
{
    const auto allowed
            = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= kMaxChangeIdBytes && std::ranges::all_of(text, allowed);
}

config_exception readNewException(json_checker &item, const std::string &path,
                                  std::vector<json_fault> &faults)
{
    config_exception rule;
    rule.key = item.text("key");
    rule.scope = readScope(item.object("scope"));
    if (const json *value = item.any("value", true)) {
        rule.value = readConfigValue(*value, path + ".value", faults);
    }
    rule.reason = item.text("reason");
    rule.expiresAt = readOptionalWallTime(item, "expiresAt");
    item.finish();
    return rule;
}

config_exception_id readExceptionId(json_checker &item)
{
    config_exception_id id{item.text("key"), readScope(item.object("scope"))};
    item.finish();
    return id;
}

config_change readFields(json_checker &checker, std::vector<json_fault> &faults)
{
    config_change change;
    change.changeId = checker.text("changeId");
    change.baseRevision.value = static_cast<std::uint64_t>(checker.integer("baseRevision", 0, INT64_MAX));
    change.set = readValues(checker.any("set", false), "$.set", faults);
    change.unset = checker.texts("unset");
    std::size_t index = 0;
    for (json_checker &item : checker.objects("except")) {
        change.except.push_back(readNewException(item, absl::StrCat("$.except[", index++, "]"), faults));
    }
    for (json_checker &item : checker.objects("dropExceptions")) {
        change.dropExceptions.push_back(readExceptionId(item));
    }
    change.reason = checker.text("reason");
    change.alone = checker.boolean("alone", false);
    checker.finish();
    if (!isChangeId(change.changeId)) {
        checker.fault("changeId", "must be 1 to 100 letters, digits, '-', '_' or '.'");
    }
    return change;
}

bool names(const config_exception_id &id, const config_exception &rule)
{
    return id.key == rule.key && id.scope == rule.scope;
}

void dropExceptions(config_document &document, const config_change &change, std::vector<config_fault> &faults)
{
    for (std::size_t i = 0; i < change.dropExceptions.size(); ++i) {
        const config_exception_id &id = change.dropExceptions[i];
        if (std::erase_if(document.exceptions, [&](const auto &rule) { return names(id, rule); }) == 0) {
            faults.push_back({absl::StrCat("$.dropExceptions[", i, "]"), "names no exception in force"});
        }
    }
}

void putException(config_document &document, config_exception rule)
{
    std::erase_if(document.exceptions, [&](const auto &old) { return names({rule.key, rule.scope}, old); });
    document.exceptions.push_back(std::move(rule));
}

} // namespace

config_change_reading readChange(const std::string &text)
{
    std::vector<json_fault> faults;
    const json value = parseJson(text, faults);
    config_change_reading reading;
    if (faults.empty()) {
        json_checker checker(value, "$", faults);
        reading.change = readFields(checker, faults);
    }
    reading.faults = toConfigFaults(faults);
    return reading;
}

std::string changeDigest(const config_change &change)
{
    json set = json::object();
    for (const auto &[key, value] : change.set) {
        set[key] = toJson(value);
    }
    json except = json::array();
    std::ranges::transform(change.except, std::back_inserter(except),
                           [](const config_exception &rule) { return toJson(rule); });
    json drop = json::array();
    std::ranges::transform(change.dropExceptions, std::back_inserter(drop), [](const auto &id) {
        return json{{"key", id.key}, {"scope", toJson(id.scope)}};
    });
    return sha256Hex(dumpJson({{"base", change.baseRevision.value},
                               {"set", set},
                               {"unset", change.unset},
                               {"except", except},
                               {"drop", drop},
                               {"reason", change.reason}}));
}

config_application applyChange(const config_document &base, const config_change &change,
                               const std::string &author, wall_time now)
{
    config_application result{base, {}};
    config_document &next = result.document;
    std::erase_if(next.exceptions,
                  [&](const config_exception &rule) { return rule.expiresAt && *rule.expiresAt <= now; });
    for (const std::string &key : change.unset) {
        if (findConfigKey(key) == nullptr) {
            result.faults.push_back({"$.unset", "\"" + key + "\" is not a known key"});
        }
        next.defaults.erase(key);
    }
    for (const auto &[key, value] : change.set) {
        next.defaults[key] = value;
    }
    dropExceptions(next, change, result.faults);
    for (config_exception rule : change.except) {
        rule.author = author;
        rule.createdAt = now;
        putException(next, std::move(rule));
    }
    next = carryForward(next, {base.revision.value + 1}, change, author, now);
    std::ranges::copy(validateDocument(next), std::back_inserter(result.faults));
    return result;
}

config_document carryForward(const config_document &content, config_revision revision,
                             const config_change &change, const std::string &author, wall_time now)
{
    config_document next = content;
    next.revision = revision;
    next.changeId = change.changeId;
    next.author = author;
    next.reason = change.reason;
    next.committedAt = now;
    next.hash = documentHash(next);
    return next;
}

} // namespace jacinthvale
