/// JSON forms that documents and changes share.
#pragma once

#include "json_checker.h"

#include <jacinthvale/config_document.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jacinthvale {

nlohmann::json toJson(const config_value &value);
nlohmann::json toJson(const config_scope &scope);
nlohmann::json toJson(const config_exception &rule);
nlohmann::json toJson(const config_document &document);
nlohmann::json toJson(const std::vector<config_fault> &faults);

/// @returns compact JSON; bytes that are not UTF-8 are replaced.
std::string dumpJson(const nlohmann::json &value);

/// Reads true, false, a whole number or a text. Other types become a fault at the path.
config_value readConfigValue(const nlohmann::json &value, const std::string &path,
                             std::vector<json_fault> &faults);
config_scope readScope(json_checker scope);
std::map<std::string, config_value> readValues(const nlohmann::json *object, const std::string &path,
                                               std::vector<json_fault> &faults);
wall_time readWallTime(json_checker &checker, const std::string &key);
std::optional<wall_time> readOptionalWallTime(json_checker &checker, const std::string &key);

/// @returns the same faults in the public type.
std::vector<config_fault> toConfigFaults(const std::vector<json_fault> &faults);

} // namespace jacinthvale
