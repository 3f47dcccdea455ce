/// Structured log: one JSON object a line on standard output.
#pragma once

#include <string>

namespace jacinthvale {

/// Sets the log up for this process.
/// @param level "info" or "off".
void setUpLog(const std::string &level);

/// Writes one line that is already a JSON object.
void writeLogLine(const std::string &line);

} // namespace jacinthvale
