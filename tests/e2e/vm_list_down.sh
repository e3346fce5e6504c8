#!/bin/bash
# The VM list is unavailable: groups keep serving and none is dissolved, the end of a member
# is detected, and a VM listed as leaving once the list is back gets no new work.
# shellcheck disable=SC2317,SC2034
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f1
a6 almaty-a a-f1"
REPLICAS=2
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
OUTAGE_S=10 # longer than the time after which a silent member counts as gone
LEAVING_S=3 # time after which a VM listed as leaving gets no new work
LAG_S=1     # delay of the stand-in's VM list

# fence_changed GROUP FENCE: the group has another fencing number.
fence_changed() { status d1 | jq -e --arg g "$1" --argjson f "$2" 'any(.groups[]; .name == $g and .fence != $f)' >/dev/null; }
ran_at() { executed_requests "$(vm_url "$1")" | jq '.requests | length'; }

begin
before=$(fences)
inject_fault "$(platform_url)" '{"vm_list": "down"}'
sleep $OUTAGE_S
check_answers "groups serve without the list"
check "no group is dissolved" equal "$(fences)" "$before"

read -r group fence members <<<"$(complete_groups | head -n 1)"
signal "${members#*,}" KILL
check "the end of a member is detected without the list" wait_for 20 zone_serves d1 1
check_answers "the other group serves"
check "the group is complete again" wait_for 60 groups_serve
check "with another fencing number" fence_changed "$group" "$fence"

# A head of the group that was not formed again: a new group ramps up and gets less work.
head=$(complete_groups | grep -v "^$group " | sed 's/.* //; s/,.*//')
fetch "$(platform_url)/vms/$head" -d '{"state": "leaving"}' >/dev/null
check_answers "all serve before the list shows the leaving VM"
inject_fault "$(platform_url)" '{"vm_list": "ok"}'
sleep $((LAG_S + LEAVING_S))
work=$(ran_at "$head")
for ((i = 1; i <= 12; i++)); do
	chat d$((i % 3 + 1)) crane-crews $i -o "$DIR/late-$i"
	check "request $i is answered" stream_is_complete "$DIR/late-$i" $i
done
check "the leaving VM got no new work" equal "$(ran_at "$head")" "$work"
check "the groups are complete again" wait_for 60 groups_serve
check "the leaving VM is in no group" equal "$(complete_groups | grep -c "\b$head\b")" 0
finish
