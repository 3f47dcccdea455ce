/// One operator's change of the configuration: its JSON form and its application to a document.
#pragma once

#include <jacinthvale/config_document.h>

#include <map>
#include <string>
#include <vector>

namespace jacinthvale {

/// Names an exception: there is at most one for a key and scope.
struct config_exception_id
{
    std::string key;
    config_scope scope;

    auto operator<=>(const config_exception_id &) const = default;
};

/// A change against one revision. The change id makes it idempotent.
struct config_change
{
    std::string changeId;
    config_revision baseRevision;
    std::map<std::string, config_value> set;
    std::vector<std::string> unset;
    /// Author and time are filled in when the change is applied.
    std::vector<config_exception> except;
    std::vector<config_exception_id> dropExceptions;
    std::string reason;
    /// Commit although no peer has been heard; see docs/OPERATORS.md.
    bool alone = false;

    auto operator<=>(const config_change &) const = default;
};

/// A change read from JSON, or its faults.
struct config_change_reading
{
    config_change change;
    std::vector<config_fault> faults;
};

/// Reads a change strictly: unknown fields are faults.
config_change_reading readChange(const std::string &text);

/// @returns a hash that tells two changes with one id apart.
std::string changeDigest(const config_change &change);

/// Document that a change makes, or the faults that refuse it.
struct config_application
{
    config_document document;
    std::vector<config_fault> faults;
};

/// Applies a change to the document that it is based on. Exceptions that have expired are left out.
config_application applyChange(const config_document &base, const config_change &change,
                               const std::string &author, wall_time now);

/// Makes the same content a higher revision.
config_document carryForward(const config_document &content, config_revision revision,
                             const config_change &change, const std::string &author, wall_time now);

} // namespace jacinthvale
