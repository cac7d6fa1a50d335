#!/usr/bin/env bash
# Lesson 6: the real thing.
#
# The lessons before this one drove the decisions by hand. Here they run: six
# daemons, a stand-in for the platform and one for the upstreams. We put a
# preset in force, search, reserve twice with one key, and stop a daemon as
# planned. A claim that is not so ends the lesson with an exit code above 0.
#
#   tutorial/lesson_06_fleet.sh                # starts a fleet of its own
#   SHALLOT_PLATFORM=... SHALLOT_DAEMONS=... tutorial/lesson_06_fleet.sh --given
#                                              # uses one that runs already
#
# A fleet of its own uses the files of examples/, and 127.0.1.x as they do;
# LESSON_NET=127.0.2 moves it. Build first: cmake -G Ninja -B build && ninja -C
# build
set -euo pipefail
source "$(dirname "$0")/../tools/lib.sh"
cd "$SHALLOT_ROOT"

CTL=$SHALLOT_BUILD/packages/ctl/shallotctl
NET=${LESSON_NET:-127.0.1}
READY_SECONDS=60

claim() { # SENTENCE COMMAND...: prints the sentence; ends if it is not so
  local Sentence=$1
  shift
  "$@" >/dev/null 2>&1 || die "this was not so: $Sentence"
  echo "   $Sentence"
}

field() { # FIELD.FIELD...: of the JSON on standard input
  python3 -c '
import json, sys
Value = json.load(sys.stdin)
for Name in sys.argv[1].split("."):
    Value = Value[int(Name) if Name.isdigit() else Name]
print(Value)' "$1"
}

search() { # ENTRY: a reception desk searches every schedule of hall-desk
  post "http://$1/v1/search" '{"tenant":"banlangd","class":"reception-desk",
    "group":"hall-desk","query":{"block":"tuesday-18"}}'
}

reserve() { # ENTRY KEY
  post "http://$1/v1/action" '{"tenant":"banlangd","class":"coach",
    "service":"club-desk","action":{"lane":6,"block":"friday-7"}}' \
    -H "Idempotency-Key: $2"
}

example() { # NAME: a copy of an example with the addresses of this fleet
  local Copy=$WORK/${1//\//-}
  sed "s/127\.0\.1\./$NET./g" "examples/$1" >"$Copy"
  echo "$Copy"
}

start_fleet() {
  local N
  WORK=$(mktemp -d)
  trap 'stop_rest; rm -rf "$WORK"' EXIT
  export SHALLOT_PLATFORM=$NET.200:7300
  export SHALLOT_DAEMONS=$NET.1:7100,$NET.2:7100,$NET.3:7100
  start platform "$WORK/log" "$SHALLOT_BUILD/standins/platform-standin" \
    --listen "$SHALLOT_PLATFORM" --hosts "$(example both/hosts.json)"
  start upstreams "$WORK/log" "$SHALLOT_BUILD/standins/upstream-standin" \
    --listen "$NET.202:7400" --config "$(example banlangd/upstreams.json)"
  for N in 1 2 3 4 5 6; do
    start "entry-$N" "$WORK/log" \
      "$SHALLOT_BUILD/programs/shallotshiftd" \
      --settings "$(example "both/entry-$N.json")"
  done
  for N in 1 2 3 4 5 6; do
    wait_for $READY_SECONDS "http://$NET.$N:7100/livez" ||
      die "entry-$N is not up"
  done
  "$CTL" apply -f examples/banlangd/presets.json
  "$CTL" preset use ordinary-day
  "$CTL" apply --wait=30 -f "$(example banlangd/services.json)" | tail -n 1
  # A daemon takes callers when it has a configuration and has met the others.
  for N in 1 2 3 4 5 6; do
    wait_for $READY_SECONDS "http://$NET.$N:7100/readyz" ||
      die "entry-$N is not ready"
  done
}

export SHALLOT_OPERATOR=${SHALLOT_OPERATOR:-student}
[[ ${1:-} == --given ]] || start_fleet
ENTRY=${SHALLOT_DAEMONS%%,*}

say "the fleet"
# Nobody keeps a list of the daemons; any one of them knows the others.
"$CTL" status
claim "Every daemon has the newest generation." "$CTL" status

say "an operator puts another preset in force"
# One conditional update in the platform; gossip carries it from there. --wait
# returns when every daemon has it.
"$CTL" preset use peak --wait=30
claim "The preset peak is in force at a daemon." \
  bash -c "curl -sf http://$ENTRY/v1/status | grep -q '\"peak\"'"
# A slip of the pen is refused by name, and the preset stays as it is.
"$CTL" preset use paek || echo "   exit code $?"
claim "A preset that does not exist is refused." \
  bash -c "! '$CTL' preset use paek"
"$CTL" preset use ordinary-day --wait=30

say "a caller asks where to connect, and searches there"
"$CTL" entry --zone gotaland --key lesson-6
USE=$(curl -sf "http://$ENTRY/v1/entry?key=lesson-6&zone=gotaland" |
  field addresses.0.address)
# Slots that a daemon has gained rest for some seconds before they are used.
Until=$((SECONDS + READY_SECONDS))
until ANSWER=$(search "$USE") && [[ $ANSWER == *'"outcome":"complete"'* ]]; do
  ((SECONDS < Until)) || die "no complete answer from $USE: $ANSWER"
  sleep 0.2
done
echo "   snapshot $(field snapshot.index_version <<<"$ANSWER")," \
  "$(field coverage.answered <<<"$ANSWER") of" \
  "$(field coverage.asked <<<"$ANSWER") schedules"
claim "The answer is complete." \
  test "$(field coverage.answered <<<"$ANSWER")" = \
  "$(field coverage.asked <<<"$ANSWER")"
# What was decided for it, and why, can be asked for a while.
ID=$(field request_id <<<"$ANSWER")
"$CTL" -d "$USE" explain "$ID" | sed -n 1,8p
claim "The daemon explains what it decided." "$CTL" -d "$USE" explain "$ID"

say "a coach reserves, and sends it again at another daemon"
KEY=$(curl -sf -X POST "http://$USE/v1/action-keys" | field key)
OTHER=$(tr , '\n' <<<"$SHALLOT_DAEMONS" | grep -m 1 -vxF "$USE")
FIRST=$(reserve "$USE" "$KEY")
SECOND=$(reserve "$OTHER" "$KEY")
echo "   $USE: $FIRST"
echo "   $OTHER: $SECOND"
claim "The first ran." test "$(field code <<<"$FIRST")" = SS0000
claim "The second got the result of the first." \
  test "$(field code <<<"$SECOND")" = SS3005

if [[ ${1:-} != --given ]]; then
  say "a planned stop"
  # It serves until callers have let go of its address.
  Code=0
  stop entry-6 || Code=$?
  claim "entry-6 ended by itself, with exit code 0." test $Code = 0
fi
say "all of this was so"
