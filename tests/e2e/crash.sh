#!/bin/bash
# A member is killed or paused during a stream: the stream continues on another replica.
# shellcheck disable=SC2317,SC2034
# shellcheck source=tests/e2e/e2e.sh
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f1
a6 almaty-a a-f1
a7 almaty-a a-f1
a8 almaty-a a-f1
b1 almaty-a a-f1
b2 almaty-a a-f1"
REPLICAS=3
. "$(dirname "$0")/e2e.sh"

# running_vm: the engine that has a completion in progress.
running_vm() {
	engine_reports | jq -r '[.[] | select(.running > 0)][0].vm // empty'
}

begin
chat d1 crane-crews 100 -o "$DIR/stream" &
job=$!
sleep 0.7
victim=$(running_vm)
check "one engine runs the stream" [ -n "$victim" ]
signal "$victim" KILL
wait $job
check "the stream is complete" stream_is_complete "$DIR/stream" 100

# The head keeps running when another member is killed or paused, but its replica has
# failed as a whole. The stream lasts for longer than the bound on the age of a member's report.
check_member_loss() { # SIGNAL TOKENS
	local job head other number ended
	check "the groups serve again" wait_for 60 groups_serve
	chat d1 crane-crews "$2" -o "$DIR/stream" &
	job=$!
	sleep 0.7
	head=$(running_vm)
	other=$(complete_groups | sed -n "s/.* $head,//p")
	check "the head's group has another member" [ -n "$other" ]
	number=$(complete_groups | sed -n "s/^[^ ]* \([0-9]*\) $head,.*/\1/p")
	signal "$other" "$1"
	wait $job
	check "the stream is complete" stream_is_complete "$DIR/stream" "$2" ||
		tail -c 600 "$DIR/stream"
	# The stream may go on at the same head, once its group has been formed again.
	ended=$(executed_requests "$(vm_url "$head")" | jq -c "[.requests[] | select(.tokens == $2) | .fence]")
	check "the failed replica, fencing number $number, did not finish the stream" \
		equal 0 "$(jq "map(select(. == $number)) | length" <<<"$ended")"
	[ "$ended" = "[]" ] || echo "        its head finished the stream under fencing number $ended"
	[ "$1" = STOP ] && signal "$other" CONT
}
check_member_loss KILL 400
check_member_loss STOP 401
finish
