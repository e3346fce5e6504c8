#!/bin/bash
# Zone b is partitioned from zone a and from the platform. It serves its own group, a change
# whose scope includes zone b is refused with the names of its daemons, and protected calls in
# zone b do not run. After the partition, configuration and claims are current and no version
# reverts.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/two_zones.sh
. "$(dirname "$0")/two_zones.sh"
ALL="mesh-.*|platform-.*"
OUTAGE_S=8 # longer than the log counts as current

has_current_version() { [ "$(version_of "$1" "$TEAM")" = "$(version_of d1 "$TEAM")" ]; }
call_answered() { [ "$(reserve "$1" "$2" '{"plot": 1}' -o /dev/null -w '%{http_code}')" = 201 ]; }

begin
check "the zones are connected" wait_for 20 zones_connected
before=$(version_of d1 "$TEAM")
signal_relays USR1 "$ALL"
check "the zones are partitioned" wait_for 20 zones_partitioned
sleep $OUTAGE_S
check_answers "serves its own zone"
for d in $ZONE_B; do
	reserve "$d" "cut-$d" '{"plot": 1}' -w '\n%{http_code}' >"$DIR/refusal-$d"
	check "$d refuses a protected call" equal "$(tail -n 1 "$DIR/refusal-$d")" 503
	check "$d: the refusal has an outcome" [ -n "$(outcome "$(head -n 1 "$DIR/refusal-$d")")" ]
	check "$d: the call did not run" equal "$(run_count "cut-$d")" 0
done
check "a protected call runs in the other zone" call_answered d1 cut-d3
apply_limit d1 7
check "a change whose scope includes the partitioned zone is refused" equal $? 1
for d in $ZONE_B; do check "the refusal names $d" grep -q "$d" "$DIR/applied"; done
check "the refused change is not in force" equal "$(version_of d1 "$TEAM")" "$before"

signal_relays USR2 "$ALL"
check "the zones are connected again" wait_for 30 zones_connected
for d in $ZONE_B; do check "$d kept its version" equal "$(version_of "$d" "$TEAM")" "$before"; done
check "the change is put in force" wait_for 30 apply_limit d1 8
for d in $ZONE_B; do
	check "$d has the change" wait_for 10 has_current_version "$d"
	check "$d accepts the refused call" wait_for 20 call_answered "$d" "cut-$d"
	check "$d: the call ran once" equal "$(run_count "cut-$d")" 1
done
check "the groups serve" wait_for 20 groups_serve
check_answers "serves"
finish
