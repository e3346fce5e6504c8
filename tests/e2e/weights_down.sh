#!/bin/bash
# The weight store is down, then slow: a group that has to load weights waits for the store,
# the other group serves, and both serve once the weights are loaded.
# shellcheck disable=SC2317,SC2034
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f1"
UNLISTED_VMS=a5 # listed while the store is down, so that the VM has no weights
REPLICAS=2
WEIGHT_BYTES=40000000 # 2 s of the stand-in's rate
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
OUTAGE_S=25 # longer than a group that was just formed is left alone

refused_count() { fetch "$(platform_url)/stats" | jq .weights.refused; }
store_was_requested() { [ "$(refused_count)" -gt "$1" ]; }

begin
inject_fault "$(platform_url)" '{"weights": "down"}'
before=$(refused_count)
list_all_vms
check "the spare is listed" wait_for 30 all_vms_listed
read -r group fence members <<<"$(complete_groups | head -n 1)"
other=$(complete_groups | tail -n 1)
signal "${members#*,}" KILL
check "the group stops" wait_for 20 serving_all 1
check "a load requests weights from the store" wait_for 60 store_was_requested "$before"
end=$(($(now_ms) + OUTAGE_S * 1000))
while [ "$(now_ms)" -lt $end ]; do
	check_answers "the other group serves"
	sleep 3
done
check "the other group is unchanged" [ -n "$(complete_groups | grep -F "$other")" ]
check "the group still waits" serving_all 1
inject_fault "$(platform_url)" '{"weights": "ok"}'
check "the group serves when the store is back" wait_for 60 groups_serve
check_answers "requests are answered"
finish
