#!/bin/bash
# Engines publish cache events one second late and with a fifth of them lost: the daemon
# that polls the events uses them for routing, and every answer is complete.
# shellcheck disable=SC2317,SC2034
DAEMON_ZONES="d1 almaty-a"
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1"
REPLICAS=2
CACHE_LAG_MS=${CACHE_LAG_MS:-1000}
CACHE_LOSS=${CACHE_LOSS:-20}
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
incomplete=0 # number of incomplete answers

hinted() {
	fetch -H "Authorization: Bearer $(token ops)" "$(daemon_url d1)/metrics" |
		awk '$1 == "cs_attempts_hinted_total" {n = $2} END {print n + 0}'
}
# uses_a_hint: of a batch of 8 prompts, at least one was routed by a cached prefix.
uses_a_hint() {
	local before i
	before=$(hinted)
	for ((i = 3; i < 11; i++)); do
		chat d1 crane-crews "$i" -o "$DIR/answer" && stream_is_complete "$DIR/answer" "$i" ||
			incomplete=$((incomplete + 1))
	done
	[ "$(hinted)" -gt "$before" ]
}

begin
check "no hint before an event" equal "$(hinted)" 0
check "events reach the router" wait_for 20 uses_a_hint
check "all answers were complete" equal $incomplete 0
check "the groups serve" wait_for 20 groups_serve
finish
