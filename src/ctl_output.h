/// Tables and merged time lines for people.
#pragma once

#include "ctl_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jacinthvale {

using table_row = std::vector<std::string>;

/// @returns the rows in columns as wide as their widest cell.
std::string renderTable(const table_row &head, const std::vector<table_row> &rows);

/// @returns a JSON value as people write it: texts without quotes.
std::string plain(const nlohmann::json &value);

/// A time line over several processes.
struct merged_timeline
{
    /// In causal order: by hybrid time, then host, incarnation and sequence.
    std::vector<nlohmann::json> entries;
    /// One line for each ring that lost entries, and for each daemon that did not answer.
    std::vector<std::string> gaps;
};

/// Merges answers of GET /v1/timeline.
merged_timeline mergeTimelines(const std::vector<ctl_answer> &answers);

/// One difference between two documents.
struct config_difference
{
    /// Key of a default, or key and scope of an exception.
    std::string what;
    std::string before;
    std::string after;

    auto operator<=>(const config_difference &) const = default;
};

/// Compares the defaults and exceptions of two documents in their JSON form.
std::vector<config_difference> compareDocuments(const nlohmann::json &before, const nlohmann::json &after);

} // namespace jacinthvale
