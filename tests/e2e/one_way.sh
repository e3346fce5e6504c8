#!/bin/bash
# A one-way partition: messages from one zone to the other are lost, those in the opposite
# direction arrive; then the reverse. Both zones serve, protected calls sent through both run
# once, changes through either are in force everywhere or refused, and no daemon's version
# decreases.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/two_zones.sh
. "$(dirname "$0")/two_zones.sh"
CALLS=3
declare -A seen

# check_versions WHAT: checks that no daemon's version is below the one seen before.
check_versions() {
	local d now
	for d in $DAEMONS; do
		now=$(version_of "$d" "$TEAM")
		check "$1: $d is not behind its version ${seen[$d]:-0}" [ "$now" -ge "${seen[$d]:-0}" ]
		seen[$d]=$now
	done
}
# change_at DAEMON LIMIT
change_at() {
	local before code
	before=$(version_of "$1" "$TEAM")
	apply_limit "$1" "$2"
	code=$?
	check_change_result $code "$before"
	check_versions "after a change through $1"
}
# call_both_zones KEY: the same call through both zones at once.
call_both_zones() {
	local jobs=() d
	for d in d1 d3; do
		reserve $d "$1" '{"plot": 1}' -w '\n%{http_code}' >"$DIR/$d-$1" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	check "$1 ran once" equal "$(run_count "$1")" 1
	check "$1 was answered" [ -n "$(tail -qn 1 "$DIR"/d?-"$1" | grep 201)" ]
}
# cut_direction NAME RELAYS LIMIT
cut_direction() {
	local i d
	signal_relays USR1 "$2"
	check "$1: no round trip between the zones" wait_for 20 zones_partitioned
	check_answers "$1: serves"
	for ((i = 0; i < CALLS; i++)); do call_both_zones "$1-both-$i"; done
	for d in $DAEMONS; do
		protected_call "$d" "$1-$d"
		check_outcome "$1-$d"
	done
	change_at d1 "$3"
	change_at d3 $(($3 + 1))
	signal_relays USR2 "$2"
	check "$1: the zones are connected again" wait_for 30 zones_connected
	check_versions "$1: after the partition"
	for ((i = 0; i < CALLS; i++)); do
		protected_call d4 "$1-both-$i"
		check "$1-both-$i still ran once" equal "$(run_count "$1-both-$i")" 1
	done
}

begin
check "the zones are connected" wait_for 20 zones_connected
check_versions "at first"
cut_direction a-to-b "mesh-d3|mesh-d4" 10
cut_direction b-to-a "mesh-d1|mesh-d2" 20
check "the groups serve" wait_for 20 groups_serve
check_answers "serves"
finish
