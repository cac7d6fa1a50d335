#!/usr/bin/env bash
# Rewrites docs/ERRORS.md from packages/base/ResultCode.def.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import re
text = open("packages/base/ResultCode.def").read()
names = {"Complete": "complete", "NotRun": "not run",
         "Idempotent": "ask again", "Unknown": "unknown"}
rows = re.findall(
    r'^RESULT_CODE\((\w+), (\d+), (\d+), (\d+), (\w+),\s*"([^"]*)"\)',
    text, re.M)
with open("docs/ERRORS.md", "w") as out:
    out.write("""# Result codes

Every refusal, failure and outcome carries one of these numbers. Over HTTP they
come in a problem document (RFC 9457): `code` is the label, `effect` says what
the code proves about the request. `shallotctl` exits with the exit code.

Effects: **not run**: no upstream saw the request and none will;
**complete**: it ran to its end; **ask again**: a search that may be repeated
harmlessly; **unknown**: an action that may or may not have run (docs/API.md
says how to find out).

This page is written by `tools/errors-page.sh`; a test compares it with the
program.

| code | name | HTTP | exit | effect | meaning |
|---|---|---|---|---|---|
""")
    for name, number, http, exit_code, effect, meaning in rows:
        out.write(f"| SS{int(number):04} | {name} | {http} | {exit_code} | "
                  f"{names[effect]} | {meaning} |\n")
PY
