#!/usr/bin/env bash
# All that has to hold before a change lands: the build with warnings as
# errors, the formatter, every test and the linter.
#
#   tools/test.sh            everything
#   tools/test.sh --quick    without the linter
#
# SHALLOT_JOBS processes run at once, one a core if it is not set.
# A test that is named in KNOWN-RED.txt (its name first in a line) is run and
# printed, and does not fail the run. The last line is "N passed, N failed"; it
# counts tests. The run also fails when the build, the formatter or the linter
# does, and says so above that line.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${SHALLOT_BUILD:-build}
jobs=${SHALLOT_JOBS:-$(nproc)}
quick=no
[ "${1:-}" = --quick ] && quick=yes
# For tests that name no limit of their own, in seconds.
default_timeout=120
most_known_red=3

complaints=()
# step NAME COMMAND...: goes on after a failure, so that one run shows them all.
step() {
  local name=$1 start=$SECONDS
  shift
  echo "== $name"
  "$@" || complaints+=("$name failed")
  echo "== $name took $((SECONDS - start)) s"
}

run_tests() {
  ctest --test-dir "$build" --output-on-failure --no-tests=error \
    --timeout "$default_timeout" -j "$jobs" 2>&1 | tee "$log" || true
}

# The names under "The following tests FAILED:", one a line.
red_tests() {
  sed -n 's/^[[:space:]]*[0-9][0-9]* - \([^ ]*\) (.*/\1/p' "$log" | sort -u
}

known_red() {
  [ ! -e KNOWN-RED.txt ] ||
    sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt
}

start=$SECONDS
cmake -G Ninja -S . -B "$build" > /dev/null
ninja -j "$jobs" -C "$build"
echo "== build took $((SECONDS - start)) s"

log=$(mktemp)
trap 'rm -f "$log"' EXIT
step formatter tools/format.sh --check
step tests run_tests
[ $quick = yes ] || step linter tools/lint.sh "$build"

total=$(sed -n 's/.*tests failed out of \([0-9]*\).*/\1/p' "$log")
if [ -z "$total" ]; then
  echo "no test ran" >&2
  exit 1
fi
red=$(red_tests)
known=$(known_red | cut -d, -f1 | sort -u)
unexpected=$(comm -23 <(echo "$red") <(echo "$known") | xargs)
mended=$(comm -13 <(echo "$red") <(echo "$known") | xargs)
if [ -n "$known" ]; then
  echo "== known red (KNOWN-RED.txt)"
  known_red
  [ "$(wc -l <<< "$known")" -le $most_known_red ] ||
    complaints+=("KNOWN-RED.txt names more than $most_known_red tests")
fi
[ -z "$mended" ] || echo "not red this time, see KNOWN-RED.txt: $mended"
[ -z "$unexpected" ] || complaints+=("red and not in KNOWN-RED.txt: $unexpected")
for complaint in "${complaints[@]}"; do
  echo "FAILED: $complaint"
done
failed=$(sed '/^$/d' <<< "$red" | wc -l)
echo "$((total - failed)) passed, $failed failed"
[ ${#complaints[@]} -eq 0 ]
