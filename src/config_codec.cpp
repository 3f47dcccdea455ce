// Validation, hash and JSON form of configuration documents.
#include "config_json.h"
#include "keyed_hash.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

constexpr std::int64_t kMaxRevision = INT64_MAX;

bool isBlank(const std::string &text)
{
    return std::ranges::all_of(text, [](unsigned char c) { return std::isspace(c) != 0; });
}

std::int64_t measureOf(const config_value &value)
{
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return *number;
    }
    const auto *text = std::get_if<std::string>(&value);
    return text == nullptr ? 0 : static_cast<std::int64_t>(text->size());
}

void checkValue(const std::string &key, const config_value &value, const std::string &path,
                std::vector<config_fault> &faults)
{
    static constexpr std::array<std::string_view, 3> kTypeNames
            = {"true or false", "a whole number", "a text"};
    const config_key *known = findConfigKey(key);
    if (known == nullptr) {
        faults.push_back({path, "is not a known key"});
        return;
    }
    if (known->builtIn.index() != value.index()) {
        faults.push_back(
                {path, absl::StrCat("must be ", std::string(kTypeNames.at(known->builtIn.index())))});
        return;
    }
    const bool bounded = !std::holds_alternative<bool>(value);
    if (bounded && (measureOf(value) < known->minimum || measureOf(value) > known->maximum)) {
        faults.push_back({path, absl::StrCat("must be from ", known->minimum, " to ", known->maximum, " ",
                                             std::string(known->unit))});
    }
}

void checkReason(const std::string &reason, const std::string &path, std::vector<config_fault> &faults)
{
    if (isBlank(reason)) {
        faults.push_back({path, "must be a written reason"});
    }
    if (reason.size() > kMaxConfigReasonBytes) {
        faults.push_back({path, absl::StrCat("must have at most ", kMaxConfigReasonBytes, " bytes")});
    }
}

void checkScope(const config_scope &scope, const std::string &path, std::vector<config_fault> &faults)
{
    if (scope == config_scope{}) {
        faults.push_back({path, "must name at least one field; set the default instead"});
    }
    const std::array fields = {&scope.deployment, &scope.availabilityZone, &scope.upstream, &scope.trainer,
                               &scope.callerClass};
    if (std::ranges::any_of(fields, [](const auto *f) { return f->size() > kMaxConfigScopeFieldBytes; })) {
        faults.push_back(
                {path, absl::StrCat("fields must have at most ", kMaxConfigScopeFieldBytes, " bytes")});
    }
}

void checkException(const config_exception &rule, const std::string &path, std::vector<config_fault> &faults)
{
    checkValue(rule.key, rule.value, path + ".value", faults);
    checkScope(rule.scope, path + ".scope", faults);
    checkReason(rule.reason, path + ".reason", faults);
    if (rule.author.empty()) {
        faults.push_back({path + ".author", "must name its author"});
    }
    if (rule.expiresAt && *rule.expiresAt <= rule.createdAt) {
        faults.push_back({path + ".expiresAt", "must be later than the time of the change"});
    }
}

config_exception readException(json_checker &item, const std::string &path, std::vector<json_fault> &faults)
{
    config_exception rule;
    rule.key = item.text("key");
    rule.scope = readScope(item.object("scope"));
    if (const json *value = item.any("value", true)) {
        rule.value = readConfigValue(*value, path + ".value", faults);
    }
    rule.reason = item.text("reason");
    rule.author = item.text("author");
    rule.createdAt = readWallTime(item, "createdAt");
    rule.expiresAt = readOptionalWallTime(item, "expiresAt");
    item.finish();
    return rule;
}

config_document readDocument(const json &value, std::vector<json_fault> &faults)
{
    json_checker checker(value, "$", faults);
    config_document document;
    document.revision.value = static_cast<std::uint64_t>(checker.integer("revision", 0, kMaxRevision));
    document.changeId = checker.text("changeId");
    document.author = checker.text("author");
    document.reason = checker.text("reason");
    document.committedAt = readWallTime(checker, "committedAt");
    document.defaults = readValues(checker.any("defaults", true), "$.defaults", faults);
    std::size_t index = 0;
    for (json_checker &item : checker.objects("exceptions")) {
        document.exceptions.push_back(
                readException(item, absl::StrCat("$.exceptions[", index++, "]"), faults));
    }
    document.hash = checker.text("hash");
    checker.finish();
    return document;
}

} // namespace

std::vector<config_fault> validateDocument(const config_document &document)
{
    std::vector<config_fault> faults;
    for (const auto &[key, value] : document.defaults) {
        checkValue(key, value, "$.defaults." + key, faults);
    }
    if (document.exceptions.size() > kMaxConfigExceptions) {
        faults.push_back(
                {"$.exceptions", absl::StrCat("must have at most ", kMaxConfigExceptions, " items")});
    }
    std::set<std::pair<std::string, config_scope>> seen;
    for (std::size_t i = 0; i < document.exceptions.size(); ++i) {
        const config_exception &rule = document.exceptions[i];
        const std::string path = absl::StrCat("$.exceptions[", i, "]");
        checkException(rule, path, faults);
        if (!seen.emplace(rule.key, rule.scope).second) {
            faults.push_back({path, "repeats the key and scope of another exception"});
        }
    }
    if (document.revision.value > 0) {
        checkReason(document.reason, "$.reason", faults);
    }
    return faults;
}

std::string documentHash(const config_document &document)
{
    json value = toJson(document);
    value.erase("hash");
    return sha256Hex(dumpJson(value));
}

config_document builtInDocument()
{
    config_document document;
    document.hash = documentHash(document);
    return document;
}

std::string encodeDocument(const config_document &document)
{
    return dumpJson(toJson(document));
}

absl::StatusOr<config_document> decodeDocument(const std::string &text)
{
    std::vector<json_fault> unread;
    const json value = parseJson(text, unread);
    config_document document = unread.empty() ? readDocument(value, unread) : config_document{};
    std::vector<config_fault> faults = toConfigFaults(unread);
    if (faults.empty()) {
        faults = validateDocument(document);
    }
    if (faults.empty() && documentHash(document) != document.hash) {
        faults.push_back({"$.hash", "does not match the content"});
    }
    if (!faults.empty()) {
        return absl::InvalidArgumentError(toText(faults));
    }
    return document;
}

std::string toText(const std::vector<config_fault> &faults)
{
    return absl::StrJoin(faults, "; ", [](std::string *out, const config_fault &fault) {
        absl::StrAppend(out, fault.path, ": ", fault.problem);
    });
}

} // namespace jacinthvale
