#!/bin/bash
# Two daemons have one name, by mistake or because a replaced daemon was started again: the
# daemon that started last is the member, the other joins only when the name is free.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
SAMPLES=8

# listed_incarnation: the incarnation that d1 lists as d2.
listed_incarnation() { status d1 | jq -r '[.daemons[] | select(.name == "d2") | .incarnation] | join(",")'; }
name_taken_over() { [ -n "$(listed_incarnation)" ] && [ "$(listed_incarnation)" != "$1" ]; }

begin
old=$(listed_incarnation)
DAEMON_ZONES="$DAEMON_ZONES
d4 almaty-a"
write_settings d4 | sed 's/^name = "d4"/name = "d2"/' >"$DIR/d4.toml"
start_process d4 "$BUILD/packages/daemon/cornelspindled" "$DIR/d4.toml"
check "a later start takes the name" wait_for 20 name_taken_over "$old"
check "the later daemon serves" wait_for 20 daemon_ready d4
new=$(listed_incarnation)
for ((i = 0; i < SAMPLES; i++)); do
	sleep 0.5
	listed_incarnation
done | sort -u >"$DIR/members"
check "the later daemon keeps the name" equal "$(cat "$DIR/members")" "$new"
check "the earlier daemon is not ready" equal "$(status d2 | jq .ready)" false
check "the earlier daemon logs the reason" grep -q "another daemon has joined as d2" "$DIR/d2.log"
reserve d4 same-name '{"plot": 1}' >/dev/null
check "a call runs once" equal "$(run_count same-name)" 1
signal d4 TERM
check "the earlier daemon joins when the later one leaves" wait_for 30 daemon_ready d2
check "under a new incarnation" name_taken_over "$new"
finish
