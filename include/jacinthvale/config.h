/// Fleet-wide configuration: defaults and a short list of exceptions, and how it comes into force.
#pragma once

#include <jacinthvale/effect.h>
#include <jacinthvale/event.h>
#include <jacinthvale/identity.h>

#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale {

using config_value = std::variant<bool, std::int64_t, std::string>;

/// What a look-up is for; an empty field matches only exceptions that do not name that field.
struct config_scope
{
    std::string deployment;
    std::string availabilityZone;
    std::string upstream;
    std::string trainer;
    std::string callerClass;

    auto operator<=>(const config_scope &) const = default;
};

/// One rule that departs from the default, with the reason somebody wrote for it.
struct config_exception
{
    std::string key;
    config_scope scope;
    config_value value;
    std::string reason;
    std::string author;
    wall_time createdAt{};
    std::optional<wall_time> expiresAt;

    auto operator<=>(const config_exception &) const = default;
};

/// One revision of the whole configuration. Never changes once committed.
struct config_document
{
    config_revision revision;
    std::string changeId;
    std::string author;
    std::map<std::string, config_value> defaults;
    std::vector<config_exception> exceptions;

    auto operator<=>(const config_document &) const = default;
};

/// One known key: its type is that of the built-in value.
struct config_key
{
    std::string_view name;
    config_value builtIn;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit;
    std::string_view meaning;
};

/// All known keys, sorted by name.
const std::vector<config_key> &configKeys();

/// Finds the value in force: the exception that names most of the scope's fields, else the default, else the
/// built-in value. Unknown keys give std::int64_t{0}.
config_value lookup(const config_document &document, std::string_view key, const config_scope &scope,
                    wall_time now);

/// lookup() of a key of integer type.
std::int64_t lookupInteger(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now);

/// State of the configuration domain.
struct config_state
{
    process_identity self;
    std::shared_ptr<const config_document> inForce = std::make_shared<config_document>();
};

/// Handles one event of the configuration domain.
effects reduceConfig(config_state &state, const event &what, const context &at);

/// @returns the domain's part of GET /v1/status, as one JSON object.
std::string describeConfig(const config_state &state, const context &at);

} // namespace jacinthvale
