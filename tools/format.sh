#!/usr/bin/env bash
# Formats every C++ file of ours; --check only says which would change.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '\.capnp\.')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
