#include "config_rows.h"

#include "config_json.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace jacinthvale {

namespace {

using json = nlohmann::json;

config_revision readRevision(json_checker &checker)
{
    return {static_cast<std::uint64_t>(checker.integer("revision", 0, INT64_MAX))};
}

/// Reads a row by a function that takes a checker.
template <typename Row, typename Read>
absl::StatusOr<Row> decodeRow(const std::string &text, Read read)
{
    std::vector<json_fault> faults;
    const json value = parseJson(text, faults);
    Row row;
    if (faults.empty()) {
        json_checker checker(value, "$", faults);
        row = read(checker);
    }
    if (!faults.empty()) {
        return absl::InvalidArgumentError(toText(toConfigFaults(faults)));
    }
    return row;
}

} // namespace

std::string revisionKey(config_revision revision)
{
    return kConfigRevisionPrefix + absl::StrFormat("%020d", revision.value);
}

std::string changeKey(const std::string &changeId)
{
    return kConfigChangePrefix + changeId;
}

std::string encodeRow(const config_head_row &row)
{
    return dumpJson({{"revision", row.revision.value},
                     {"hash", row.hash},
                     {"changeId", row.changeId},
                     {"author", row.author},
                     {"reason", row.reason}});
}

std::string encodeRow(const config_change_row &row)
{
    return dumpJson({{"revision", row.revision.value}, {"digest", row.digest}, {"author", row.author}});
}

absl::StatusOr<config_head_row> decodeHeadRow(const std::string &value)
{
    return decodeRow<config_head_row>(value, [](json_checker &checker) {
        return config_head_row{readRevision(checker), checker.text("hash"), checker.text("changeId"),
                               checker.text("author"), checker.text("reason")};
    });
}

absl::StatusOr<config_change_row> decodeChangeRow(const std::string &value)
{
    return decodeRow<config_change_row>(value, [](json_checker &checker) {
        return config_change_row{readRevision(checker), checker.text("digest"), checker.text("author")};
    });
}

const store_row *findRow(const std::vector<store_row> &rows, const std::string &key)
{
    const auto found = std::ranges::find(rows, key, &store_row::key);
    return found == rows.end() ? nullptr : &*found;
}

} // namespace jacinthvale
