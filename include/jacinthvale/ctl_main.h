/// Operators' command line.
#pragma once

namespace jacinthvale {

/// main() of jvctl. docs/OPERATORS.md lists commands and exit codes.
int ctlMain(int argc, char **argv);

} // namespace jacinthvale
