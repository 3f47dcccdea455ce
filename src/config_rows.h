/// Rows of the configuration in the platform's table.
///
/// config/head names the newest revision and is the only row that is overwritten; config/revision/N holds
/// document N, and config/change/ID tells which revision a change made. One transaction writes all three.
#pragma once

#include <jacinthvale/config_document.h>
#include <jacinthvale/store.h>

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace jacinthvale {

inline const std::string kConfigHeadKey = "config/head";
inline const std::string kConfigRevisionPrefix = "config/revision/";
inline const std::string kConfigChangePrefix = "config/change/";

/// Content of the head row.
struct config_head_row
{
    config_revision revision;
    std::string hash;
    std::string changeId;
    std::string author;
    std::string reason;

    auto operator<=>(const config_head_row &) const = default;
};

/// Content of a change's row.
struct config_change_row
{
    config_revision revision;
    std::string digest;
    std::string author;

    auto operator<=>(const config_change_row &) const = default;
};

/// Key with the revision in 20 digits, so that key order is revision order.
std::string revisionKey(config_revision revision);
std::string changeKey(const std::string &changeId);

std::string encodeRow(const config_head_row &row);
std::string encodeRow(const config_change_row &row);
absl::StatusOr<config_head_row> decodeHeadRow(const std::string &value);
absl::StatusOr<config_change_row> decodeChangeRow(const std::string &value);

/// @returns the row of that key, or null.
const store_row *findRow(const std::vector<store_row> &rows, const std::string &key);

} // namespace jacinthvale
