#!/bin/bash
# All engines of one fabric domain are paused at once and later resume with their state: the
# group of the other domain serves meanwhile, and the silent domain's group is not moved.
# shellcheck disable=SC2317,SC2034
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f2
a5 almaty-a a-f2
a6 almaty-a a-f2
a7 almaty-a a-f2
a8 almaty-a a-f2"
SILENT_VMS="a1 a2 a3"
UNLISTED_VMS="a7 a8" # listed when each domain, of three VMs, holds a group
REPLICAS=2
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
HOLD_S=60 # shortest time before groups of a silent domain are moved
HELD_S=25 # longer than it takes to move a group whose domain is not silent
STREAMS=6

signal_domain() {
	local vm
	for vm in $SILENT_VMS; do signal "$vm" "$1"; done
}
# domains: how many fabric domains hold a group according to d1's status.
domains() {
	status d1 | jq '[.groups[].members[0].vm | .[1:] | tonumber > 3] | unique | length'
}

begin
check "each domain holds a group" equal "$(domains)" 2
list_all_vms
check "there is room to move to" wait_for 30 all_vms_listed
before=$(fences)
jobs=()
for ((i = 0; i < STREAMS; i++)); do
	chat d$((i % 3 + 1)) crane-crews $((100 + i)) -o "$DIR/stream-$i" &
	jobs+=($!)
done
sleep 0.7
silent_since_ms=$(now_ms)
signal_domain STOP
check "the silent domain's group is excluded" wait_for 20 serving_all 1
check_answers "the other domain's group serves"
wait "${jobs[@]}"
for ((i = 0; i < STREAMS; i++)); do
	check "stream $i is complete" stream_is_complete "$DIR/stream-$i" $((100 + i))
done
while [ $(($(now_ms) - silent_since_ms)) -lt $((HELD_S * 1000)) ]; do sleep 0.5; done
held=$(fences)
if [ $(($(now_ms) - silent_since_ms)) -lt $((HOLD_S * 1000)) ]; then
	check "the silent group is not moved" equal "$held" "$before"
	check "the groups are two" equal "$(jq length <<<"$held")" 2
fi
signal_domain CONT
check "both groups serve when the domain is back" wait_for 60 groups_serve
check "each domain holds a group again" equal "$(domains)" 2
check_answers "requests are answered"

# With LONG set: silent for longer than HOLD_S, so that the group moves and its former
# members are released.
[ -n "${LONG:-}" ] || finish
signal_domain STOP
check "the group moves in the end" wait_for $((HOLD_S + 60)) groups_serve
check "the group moved to the other domain" equal "$(domains)" 1
moved=$(fences)
signal_domain CONT
former_members_are_idle() {
	engine_reports | jq -e '[.[] | select(.vm | test("a[1-3]"))] | length == 3 and all(.state == "idle")' >/dev/null
}
check "the former members are released" wait_for 60 former_members_are_idle
check "the groups are unchanged" equal "$(fences)" "$moved"
check "both serve" wait_for 20 groups_serve
check_answers "requests are answered again"
finish
