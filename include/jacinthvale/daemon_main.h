/// Entry point that all daemon binaries share.
#pragma once

#include <jacinthvale/identity.h>

namespace jacinthvale {

/// main() of every daemon binary: --settings FILE, --check-settings, --version, --help.
/// @returns the exit code: 0 after a graceful stop, 2 for wrong settings or options, 1 for sockets that
/// failed.
int daemonMain(process_role role, int argc, char **argv);

} // namespace jacinthvale
