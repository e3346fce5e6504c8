#!/bin/bash
# Engines ignore fencing numbers. A daemon is paused while it repairs a group, before its
# record is in the log, until the group has been formed again twice. When the daemon resumes,
# its record reaches the log, and none of its pending orders affects the group or the stream
# that runs on it.
# shellcheck disable=SC2317,SC2034
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f1"
FENCING=ignore
FENCES=false
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
WATCH_S=10 # longer than an order is valid
TOKENS=600 # 12 s

# first_to_log WHAT: prints the first daemon whose log contains WHAT.
first_to_log() {
	local d
	for d in $DAEMONS; do
		grep -q "$1" "$DIR/$d.log" && echo "$d" && return
	done
	return 1
}
repair_is_logged() { [ -n "$(first_to_log "take the place of lost members")" ]; }
others() { echo "$DAEMONS" | grep -v "^$paused$"; }
others_serve() {
	local d
	for d in $(others); do
		zone_serves "$d" 1 || return 1
	done
	groups_complete 1
}
excluded() {
	status "$(others | head -n 1)" |
		jq -e --arg i "$1" '.daemons | length > 0 and (any(.incarnation == $i) | not)' >/dev/null
}
log_end() { fetch "$(platform_url)/stats" | jq '.log.streams["zone-almaty-a"].end'; }
# kill_member: kills a member and stores its name in dead.
kill_member() {
	dead=$(complete_groups | sed 's/.*,//')
	signal "$dead" KILL
	reap "$dead"
}
# idle_again VM: the VM was reported idle again, after the first time at the start.
idle_again() { [ "$(cat "$DIR"/d?.log | grep -c "zone: $1: the VM is idle")" -gt 1 ]; }
formed_after() { others_serve && [ "$(complete_groups | cut -d' ' -f2)" -gt "$1" ]; }
rejoined() { daemon_ready "$paused" && [ "$(incarnation "$paused")" != "$1" ]; }
# number_at DAEMON: the group's number as applied by the daemon.
number_at() { status "$1" | jq ".groups[].fence"; }
fence() { complete_groups | cut -d' ' -f2; }

begin
declare -A incarnations
for d in $DAEMONS; do incarnations[$d]=$(incarnation "$d"); done
first=$(fence)
end=$(log_end)
inject_fault "$(platform_url)" '{"log": "over-rate"}'
kill_member
check "a daemon repairs the group" wait_for 10 repair_is_logged || finish
paused=$(first_to_log "take the place of lost members")
signal "$paused" STOP
check "the record of the paused daemon is not in the log" equal "$(log_end)" "$end" || finish
inject_fault "$(platform_url)" '{"log": "ok"}'
old=${incarnations[$paused]}
check "the others form the group" wait_for 60 formed_after "$first"
second=$(fence)
kill_member
check "the others form the group again" wait_for 60 formed_after "$second"
start_engine "$dead"
check "the restarted member is a spare again" wait_for 40 idle_again "$dead"
check "the paused daemon is excluded" wait_for 40 excluded "$old"
third=$(complete_groups)

d=$(others | head -n 1)
chat "$d" crane-crews $TOKENS -o "$DIR/stream" &
job=$!
sleep 0.7
number=$(number_at "$d")
signal "$paused" CONT
end=$(($(now_ms) + WATCH_S * 1000))
touched=0
while [ "$(now_ms)" -lt $end ]; do
	[ "$(complete_groups)" = "$third" ] || touched=$((touched + 1))
	sleep 0.2
done
check "the group is unchanged" equal $touched 0
check "the late record has no effect" equal "$(number_at "$d")" "$number"
wait $job
check "the stream is complete" stream_is_complete "$DIR/stream" $TOKENS
check "the stream ran as one completion" equal "$(engines_ran)" 1
check "the daemon rejoins" wait_for 30 rejoined "$old"
chat "$paused" crane-crews 5 -o "$DIR/last"
check "the rejoined daemon serves" stream_is_complete "$DIR/last" 5
finish
