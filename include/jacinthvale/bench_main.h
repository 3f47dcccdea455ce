/// Entry point of the load and experiment tool.
#pragma once

namespace jacinthvale {

/// main() of jvbench: --experiment FILE --targets FILE [--report FILE] [--check].
/// @returns 0 where each call and sample was accounted for, 1 where not, 2 for wrong files or options.
int benchMain(int argc, char **argv);

} // namespace jacinthvale
