/// Commands of jvctl.
#pragma once

#include "ctl_client.h"

#include <map>
#include <string>
#include <vector>

namespace jacinthvale {

/// Exit codes of jvctl.
enum class ctl_exit : int {
    done = 0,
    /// No daemon answered, or an answer made no sense.
    failed = 1,
    usage = 2,
    refused = 3,
    /// Another change won: read it and decide again.
    conflict = 4,
    /// It is not known whether the change was committed; ask again with its id.
    unknown = 5,
};

/// A command line after parsing.
struct ctl_request
{
    std::vector<std::string> words;
    std::vector<endpoint> daemons;
    std::string token;
    bool json = false;
    std::string reason;
    std::string changeId;
    std::string baseRevision;
    /// "field=value,field=value".
    std::string scope;
    std::string timelineId;
    std::int64_t expiresInSeconds = 0;
    std::int64_t limit = 20;
    std::int64_t timeoutMs = 8000;
    bool alone = false;
};

/// Runs one command; prints to std::cout and std::cerr.
ctl_exit runCommand(const ctl_request &request);

/// Arguments of the command that reports training steps from log files.
struct ctl_steps_request
{
    std::vector<std::string> logs;
    bool json = false;
    /// File to which a page with a plot is written; empty for none.
    std::string plotFile;
};

/// Reports training steps; calls no daemon. Prints to std::cout and std::cerr.
ctl_exit runStepsCommand(const ctl_steps_request &request);

/// Reads "field=value,..." into the fields of a scope. @returns an empty object and a problem where it is
/// wrong.
nlohmann::json parseScope(const std::string &text, std::string &problem);

/// Reads a value as people write it: true, false, a whole number, or else a text.
nlohmann::json parseValue(const std::string &text);

/// Sorts an answer to a change into an exit code.
ctl_exit exitOf(const ctl_answer &answer);

} // namespace jacinthvale
