// Which rule decides the value of a key.
#include <jacinthvale/config_document.h>

#include <algorithm>
#include <array>

namespace jacinthvale {

namespace {

using field = std::string config_scope::*;

constexpr std::array kScopeFields
        = {&config_scope::deployment, &config_scope::availabilityZone, &config_scope::upstream,
           &config_scope::trainer, &config_scope::callerClass};

bool matches(const config_scope &rule, const config_scope &asked)
{
    return std::ranges::all_of(kScopeFields,
                               [&](field f) { return (rule.*f).empty() || rule.*f == asked.*f; });
}

auto namedFields(const config_scope &rule)
{
    return std::ranges::count_if(kScopeFields, [&](field f) { return !(rule.*f).empty(); });
}

bool hasExpired(const config_exception &rule, wall_time now)
{
    return rule.expiresAt && *rule.expiresAt <= now;
}

const config_exception *findException(const config_document &document, std::string_view key,
                                      const config_scope &scope, wall_time now)
{
    const config_exception *best = nullptr;
    for (const config_exception &rule : document.exceptions) {
        if (rule.key != key || hasExpired(rule, now) || !matches(rule.scope, scope)) {
            continue;
        }
        if (best == nullptr || namedFields(rule.scope) >= namedFields(best->scope)) {
            best = &rule;
        }
    }
    return best;
}

std::string whyPassedOver(const config_exception &rule, const config_exception &winner,
                          const config_scope &scope, wall_time now)
{
    if (hasExpired(rule, now)) {
        return "has expired";
    }
    if (!matches(rule.scope, scope)) {
        return "its scope does not match";
    }
    return namedFields(rule.scope) < namedFields(winner.scope) ? "names fewer fields of the scope"
                                                               : "a later exception names as many fields";
}

} // namespace

std::string_view toString(config_rule rule)
{
    static constexpr std::array<std::string_view, 3> kNames = {"built-in", "default", "exception"};
    return kNames.at(static_cast<std::size_t>(rule));
}

config_value lookup(const config_document &document, std::string_view key, const config_scope &scope,
                    wall_time now)
{
    if (const config_exception *rule = findException(document, key, scope, now)) {
        return rule->value;
    }
    if (const auto found = document.defaults.find(std::string(key)); found != document.defaults.end()) {
        return found->second;
    }
    const config_key *known = findConfigKey(key);
    return known == nullptr ? config_value{std::int64_t{0}} : known->builtIn;
}

std::int64_t lookupInteger(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now)
{
    const config_value value = lookup(document, key, scope, now);
    const auto *number = std::get_if<std::int64_t>(&value);
    return number == nullptr ? 0 : *number;
}

config_explanation explain(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now)
{
    config_explanation result;
    result.value = lookup(document, key, scope, now);
    const config_exception *winner = findException(document, key, scope, now);
    if (winner != nullptr) {
        result.decidedBy = config_rule::exception;
        result.rule = *winner;
    } else if (document.defaults.contains(std::string(key))) {
        result.decidedBy = config_rule::default_value;
    }
    for (const config_exception &rule : document.exceptions) {
        if (rule.key == key && &rule != winner) {
            const config_exception &best = winner == nullptr ? rule : *winner;
            result.passedOver.push_back({rule, whyPassedOver(rule, best, scope, now)});
        }
    }
    return result;
}

} // namespace jacinthvale
