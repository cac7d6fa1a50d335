#!/usr/bin/env bash
# Builds everything with sanitizers and runs all tests:
#   tools/sanitize.sh address,undefined
#   tools/sanitize.sh thread
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-address,undefined}
build=${SHALLOT_BUILD:-build}-${kind%%,*}
cmake -G Ninja -S . -B "$build" -DSHALLOT_SANITIZE="$kind" > /dev/null
ninja -C "$build"
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
