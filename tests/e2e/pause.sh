#!/bin/bash
# A daemon that is paused by a signal is excluded by the others and rejoins under a new
# incarnation, with the configuration that was put in force meanwhile. The outcomes that the
# daemon reports while it rejoins are correct.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
CALLS=5

# excluded INCARNATION: d1 no longer lists the incarnation.
excluded() { status d1 | jq -e --arg i "$1" 'any(.daemons[]; .incarnation == $i) | not' >/dev/null; }
rejoined() { daemon_ready d2 && [ "$(incarnation d2)" != "$1" ]; }
same_version() { [ "$(version_of d2 team/crane-crews)" = "$(version_of d1 team/crane-crews)" ]; }

begin
old=$(incarnation d2)
signal d2 STOP
check "the paused daemon is excluded" wait_for 30 excluded "$old"
printf '[[team]]\nname = "crane-crews"\npriority = 0\nconcurrent = 7\n' >"$DIR/change.toml"
check "a change is put in force meanwhile" "$CTL" apply "$DIR/change.toml"
signal d2 CONT
for ((i = 0; i < CALLS; i++)); do protected_call d2 "pause-$i"; done
check "the daemon rejoins" wait_for 30 rejoined "$old"
check "the rejoined daemon has the change" wait_for 10 same_version
for ((i = 0; i < CALLS; i++)); do check_outcome "pause-$i"; done
reserve d2 pause-last '{"plot": 1}' >/dev/null
check "the rejoined daemon serves" equal "$(run_count pause-last)" 1
finish
