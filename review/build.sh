#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs: checks that each of them can be read.
# The daemons come from the build of deploy/system.toml (target/jvnode).
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [1-5]/*.py ../platform/soak/*.py <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
print(f"{len(sys.argv) - 1} programs can be read")
PYTHON
