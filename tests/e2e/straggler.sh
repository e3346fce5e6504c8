#!/bin/bash
# The head of one of three replicas becomes ten times slower: requests are routed
# around it, it is retried later, and every answer is complete.
# shellcheck disable=SC2317,SC2034
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f1
a6 almaty-a a-f1"
REPLICAS=3
TOKENS_PER_SECOND=100
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
REQUESTS=24  # concurrent requests of a batch
incomplete=0 # number of incomplete answers

# send_batch: sends requests with different prompts to one daemon, which
# rates replicas by its own requests.
send_batch() {
	local i jobs=()
	for ((i = 3; i < REQUESTS + 3; i++)); do
		chat d1 crane-crews "$i" -o "$DIR/answer-$i" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	for ((i = 3; i < REQUESTS + 3; i++)); do
		stream_is_complete "$DIR/answer-$i" "$i" || incomplete=$((incomplete + 1))
	done
}
slow_ran() { executed_requests "$slow" | jq '.requests | length'; }
# batch_avoids, batch_uses: whether a batch sent the slow replica no request, or some.
batch_avoids() {
	local before
	before=$(slow_ran)
	send_batch
	[ "$(slow_ran)" = "$before" ]
}
batch_uses() { ! batch_avoids; }

begin
slow=$(head_url)
check "all replicas get requests" wait_for 30 batch_uses
inject_fault "$slow" '{"mode": "straggle", "factor": 10.0}'
check "requests move away from the straggler" wait_for 40 batch_avoids
check "the straggler is retried later" wait_for 60 batch_uses
inject_fault "$slow" '{"mode": "ok"}'
check "the replica gets requests when it is fast again" wait_for 60 batch_uses
check "all answers were complete" equal $incomplete 0
check "the groups serve" wait_for 20 groups_serve
finish
