#!/bin/sh
# The stand-ins of the scripts are in Python and need no build; this checks that
# they can be run: standins/standins.py needs Python 3.11 (tomllib), nothing else.
cd "$(dirname "$0")" || exit 2
python3 -c 'import ast, pathlib, tomllib
for path in [pathlib.Path("standins/standins.py"), *pathlib.Path(".").glob("?/case.py")]:
    ast.parse(path.read_text(), str(path))'
