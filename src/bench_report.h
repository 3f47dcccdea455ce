/// Report of a run: JSON for programs, a table for people.
#pragma once

#include "bench_run.h"

#include <string>

namespace jacinthvale::bench {

/// @returns the whole report as JSON text.
std::string renderJsonReport(const bench_run &run);

/// @returns a table of at most some dozen lines.
std::string renderTable(const bench_run &run);

} // namespace jacinthvale::bench
