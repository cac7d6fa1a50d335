#!/usr/bin/env bash
# Long runs of the fuzzer under the address and undefined-behaviour sanitizers:
#   tools/fuzz.sh SECONDS [SEED]
# A finding is printed with its target, run number and input; the input belongs
# into tests/fuzz/corpus/TARGET, where every later run plays it first.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-600}
seed=${2:-$(date +%s)}
build=${SHALLOT_BUILD:-build}-address
cmake -G Ninja -S . -B "$build" -DSHALLOT_SANITIZE=address,undefined > /dev/null
ninja -C "$build" shallot_fuzz
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export ASAN_OPTIONS=abort_on_error=1
exec "$build/tests/shallot_fuzz" --seconds "$seconds" --seed "$seed" \
  --corpus tests/fuzz/corpus
