/// Structured log: one JSON object per line on standard output.
#pragma once

#include <string>

namespace jacinthvale {

/// Configures the log of this process.
/// @param level "info" or "off".
void setUpLog(const std::string &level);

/// Writes one line, which must be a JSON object.
void writeLogLine(const std::string &line);

} // namespace jacinthvale
