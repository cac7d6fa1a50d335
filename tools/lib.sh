# Functions that the scripts of this folder share. Source it after setting
# SHALLOT_BUILD if the build folder is not build/.

SHALLOT_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
SHALLOT_BUILD=${SHALLOT_BUILD:-$SHALLOT_ROOT/build}

# Children of this script: ids by name, so that each is ended by its id.
declare -A SHALLOT_CHILD

say() { printf '\n== %s\n' "$*"; }

die() {
  printf 'error: %s\n' "$*" >&2
  exit 1
}

# build [TARGET...]: configures and builds.
build() {
  cmake -G Ninja -B "$SHALLOT_BUILD" -S "$SHALLOT_ROOT" >/dev/null
  ninja -C "$SHALLOT_BUILD" "$@"
}

# start NAME LOG COMMAND...: runs a child in the background.
start() {
  local Name=$1 Log=$2
  shift 2
  "$@" >>"$Log" 2>&1 &
  SHALLOT_CHILD[$Name]=$!
}

# stop NAME: asks for a graceful end, waits, and returns the exit code.
stop() {
  local Pid=${SHALLOT_CHILD[$1]:-}
  [[ -n $Pid ]] || return 0
  unset "SHALLOT_CHILD[$1]"
  kill -TERM "$Pid" 2>/dev/null
  wait "$Pid"
}

# Ends whatever still runs; for the EXIT trap.
stop_rest() {
  local Name
  for Name in "${!SHALLOT_CHILD[@]}"; do
    kill -KILL "${SHALLOT_CHILD[$Name]}" 2>/dev/null
  done
  wait 2>/dev/null
}

# wait_for SECONDS URL: until URL answers 200.
wait_for() {
  local Until=$((SECONDS + $1))
  until curl -sf -o /dev/null -m 1 "$2"; do
    ((SECONDS < Until)) || return 1
    sleep 0.1
  done
}

# post URL JSON [CURL OPTION...]: prints the body, whatever the status.
post() {
  local Url=$1 Body=$2
  shift 2
  curl -s -m 30 -X POST -H 'Content-Type: application/json' "$@" \
    --data "$Body" "$Url"
}
