#!/usr/bin/env bash
# The stand-ins of the third review are Python programs (platform/soak and review/common-3) and need no build. This checks
# that they can run here. The daemon is target/jvnode, built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit("Python 3.11 is needed" if sys.version_info < (3, 11) else 0)'
for file in platform/soak/*.py review/common-3/*.py review/1[1-5]/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
if [ ! -x target/jvnode ]; then
    echo "target/jvnode is missing: run the build of deploy/system.toml" >&2
    exit 1
fi
