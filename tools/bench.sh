#!/usr/bin/env bash
# Runs a bench by name and prints one "name value unit bound" line a figure.
#
#   tools/bench.sh             lists the names
#   tools/bench.sh --has NAME  says by its exit code whether there is one
#   tools/bench.sh query       decisions of a query, virtual time
#   tools/bench.sh fleet ...   real daemons on loopback (tools/bench_fleet.py)
#   tools/bench.sh path ...    searches through them (tools/bench_path.py)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${SHALLOT_BUILD:-build}

names() {
  for file in tests/performance/Bench*.cpp; do
    sed 's/\([A-Z]\)/_\L\1/g; s/^_bench_//' <<< "$(basename "$file" .cpp)"
  done
  echo fleet
  echo path
}

# Not "names | grep -q": grep ends at its match, names dies of the closed pipe,
# and under pipefail a bench that is there is not found.
has() { grep -qx -- "$1" <<< "$(names)"; }

if [ $# -eq 0 ]; then
  names
  exit 0
fi
if [ "$1" = --has ]; then
  has "${2:?--has needs a name}"
  exit
fi
name=$1
shift
cmake -G Ninja -S . -B "$build" > /dev/null
if [ "$name" = fleet ]; then
  ninja -C "$build" shallotshiftd shallotctl platform-standin upstream-standin > /dev/null
  exec tools/bench_fleet.py "$build" "$@"
fi
if [ "$name" = path ]; then
  ninja -C "$build" shallotshiftd shallotctl platform-standin upstream-standin \
    shallot-load bench_net > /dev/null
  exec tools/bench_path.py "$build" "$@"
fi
has "$name" || { echo "no bench '$name'; there are: $(names | xargs)" >&2; exit 2; }
ninja -C "$build" "bench_$name" > /dev/null
exec "$build/tests/bench_$name" "$@"
