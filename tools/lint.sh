#!/usr/bin/env bash
# Runs clang-tidy over every source of ours; needs a configured build folder.
# Prints each finding once, however many files include its header, and fails
# when there are any.
#
#   tools/lint.sh [BUILD]             everything
#   tools/lint.sh BUILD FILE.cpp ...  these files only
#
# SHALLOT_JOBS processes run at once, one a core if it is not set.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  # Generated code is not ours to mend. tests/TestMain.cpp is one macro that is
  # doctest's whole implementation, and takes the linter longer than all else.
  mapfile -t files < <(git ls-files '*.cpp' |
    grep -v -e '\.capnp\.' -e '^tests/TestMain\.cpp$')
fi

out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export build out
lint_one() {
  local name=$out/${1//\//,}
  clang-tidy -p "$build" --quiet "$1" > "$name.found" 2> "$name.log" ||
    { echo "$1" >> "$out/failed"; cat "$name.log" >> "$out/errors"; }
}
export -f lint_one
printf '%s\0' "${files[@]}" |
  xargs -0 -P "${SHALLOT_JOBS:-$(nproc)}" -n 1 bash -c 'lint_one "$1"' lint_one

# A finding is "FILE:LINE:COLUMN: error: TEXT [CHECK]"; the lines of code under
# it are left out, since the place is named.
findings=$(cat "$out"/*.found | sed "s|^$PWD/||" |
  grep -E '^[^ ]+:[0-9]+:[0-9]+: (error|warning): ' | sort -u || true)
if [ -n "$findings" ]; then
  echo "$findings"
  echo "$(wc -l <<< "$findings") findings in ${#files[@]} files" >&2
  exit 1
fi
if [ -e "$out/failed" ]; then
  cat "$out/errors" >&2
  echo "the linter itself failed on: $(xargs < "$out/failed")" >&2
  exit 1
fi
echo "no findings in ${#files[@]} files"
