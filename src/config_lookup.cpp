#include <jacinthvale/config.h>

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

const config_exception *findException(const config_document &document, std::string_view key,
                                      const config_scope &scope, wall_time now)
{
    const config_exception *best = nullptr;
    for (const config_exception &rule : document.exceptions) {
        const bool expired = rule.expiresAt && *rule.expiresAt <= now;
        if (rule.key != key || expired || !matches(rule.scope, scope)) {
            continue;
        }
        if (best == nullptr || namedFields(rule.scope) >= namedFields(best->scope)) {
            best = &rule;
        }
    }
    return best;
}

} // namespace

config_value lookup(const config_document &document, std::string_view key, const config_scope &scope,
                    wall_time now)
{
    if (const config_exception *rule = findException(document, key, scope, now)) {
        return rule->value;
    }
    if (const auto found = document.defaults.find(std::string(key)); found != document.defaults.end()) {
        return found->second;
    }
    const auto &keys = configKeys();
    const auto known = std::ranges::find(keys, key, &config_key::name);
    return known == keys.end() ? config_value{std::int64_t{0}} : known->builtIn;
}

std::int64_t lookupInteger(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now)
{
    const config_value value = lookup(document, key, scope, now);
    const auto *number = std::get_if<std::int64_t>(&value);
    return number == nullptr ? 0 : *number;
}

} // namespace jacinthvale
