#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files without other packages; nothing is compiled. This checks them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed" >&2; exit 1; }
for file in common-2/*.py [6-9]/*.py 10/*.py; do
    if [ -f "$file" ]; then python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"; fi
done
