/// Configuration as a value: defaults, exceptions with written reasons, look-up, validation and encoding.
#pragma once

#include <jacinthvale/types.h>

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
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
    /// Why the change that made this revision was wanted.
    std::string reason;
    wall_time committedAt{};
    /// SHA-256 over all other fields, in hex; see documentHash().
    std::string hash;

    auto operator<=>(const config_document &) const = default;
};

/// One known key: its type is that of the built-in value.
struct config_key
{
    std::string_view name;
    config_value builtIn;
    /// Bounds of an integer's value, or of a text's length in bytes.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view unit;
    std::string_view meaning;
};

/// All known keys, sorted by name.
const std::vector<config_key> &configKeys();

/// @returns the key of that name, or null.
const config_key *findConfigKey(std::string_view name);

/// Finds the value in force: the exception that names most of the scope's fields, else the default, else the
/// built-in value. Unknown keys give std::int64_t{0}.
config_value lookup(const config_document &document, std::string_view key, const config_scope &scope,
                    wall_time now);

/// lookup() of a key of integer type.
std::int64_t lookupInteger(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now);

/// Kind of rule that decides a look-up.
enum class config_rule : std::uint8_t { built_in, default_value, exception };

/// @returns "built-in", "default" or "exception".
std::string_view toString(config_rule rule);

/// An exception that bears the key and did not decide the look-up.
struct config_passed_over
{
    config_exception rule;
    /// Why it did not, for people.
    std::string because;

    auto operator<=>(const config_passed_over &) const = default;
};

/// Why a look-up gives its value.
struct config_explanation
{
    config_value value;
    config_rule decidedBy = config_rule::built_in;
    /// The deciding exception.
    std::optional<config_exception> rule;
    std::vector<config_passed_over> passedOver;
};

/// Looks up like lookup() and says which rule decided and why the others did not.
config_explanation explain(const config_document &document, std::string_view key, const config_scope &scope,
                           wall_time now);

/// One fault of a document or a change, with the place where it stands.
struct config_fault
{
    /// For example "$.exceptions[2].reason".
    std::string path;
    std::string problem;

    auto operator<=>(const config_fault &) const = default;
};

/// Most exceptions in one document, and most bytes in one reason or scope field.
inline constexpr std::size_t kMaxConfigExceptions = 256;
inline constexpr std::size_t kMaxConfigReasonBytes = 1000;
inline constexpr std::size_t kMaxConfigScopeFieldBytes = 200;

/// Checks a whole document: known keys, types, ranges, reasons and scopes.
/// @returns all faults; none for a valid document.
std::vector<config_fault> validateDocument(const config_document &document);

/// @returns the hash over all fields but the hash itself.
std::string documentHash(const config_document &document);

/// @returns revision 0: no defaults and no exceptions, in force while the store holds no document.
config_document builtInDocument();

/// @returns the document as a JSON object.
std::string encodeDocument(const config_document &document);

/// Reads what encodeDocument() wrote, and checks its hash and validity.
/// @returns InvalidArgument with all faults in its message.
absl::StatusOr<config_document> decodeDocument(const std::string &text);

/// @returns the faults as one line: "$.set.x: is not a known key; ...".
std::string toText(const std::vector<config_fault> &faults);

} // namespace jacinthvale
