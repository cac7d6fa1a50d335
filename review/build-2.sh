#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start. The daemon is built by
# the deploy file; the stand-ins are Python (standard library only) and are only
# checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "Python 3.11 or later is needed" >&2; exit 1; }
for file in standins-2/*.py [4-8]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
