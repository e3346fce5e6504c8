#!/bin/bash
# Protected completions queue for a replica with free capacity like other requests, are
# refused with outcome not-run when the wait is too long, and may then be sent again.
# shellcheck disable=SC2317,SC2034
MAX_CONCURRENT=1
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
CALLS=3
SHORT=40 # tokens of a stream that ends before a request has waited too long
LONG=250 # of one that does not

# protected_completion KEY TOKENS [CURL ARGS...]: a completion as a protected request.
protected_completion() {
	local key=$1 tokens=$2
	shift 2
	chat d1 crane-crews "$tokens" -H "X-Non-Idempotent: true" -H "Idempotency-Key: $key" "$@"
}
begin
chat d1 crane-crews $SHORT -o "$DIR/short" &
jobs=($!)
sleep 0.3
for ((i = 0; i < CALLS; i++)); do
	protected_completion "busy-$i" 5 -o "$DIR/answer-$i" -w '%{http_code}' >"$DIR/code-$i" &
	jobs+=($!)
done
wait "${jobs[@]}"
check "the stream is complete" stream_is_complete "$DIR/short" $SHORT
for ((i = 0; i < CALLS; i++)); do
	check "call $i waited and is answered" equal "$(cat "$DIR/code-$i")" 200
done

chat d1 crane-crews $LONG -o "$DIR/long" &
long=$!
sleep 0.3
protected_completion left 7 -m 0.5 >/dev/null
protected_completion late 9 -D "$DIR/head" -o "$DIR/late"
check "a call that waits too long is refused" equal "$(jq -r .type "$DIR/late")" \
	urn:cornelspindle:problem:overloaded
check "the refused call did not run" equal "$(outcome "$(cat "$DIR/late")")" not-run
check "the refusal has a Retry-After" grep -qi "^Retry-After: [1-9]" "$DIR/head"
wait $long
check "the long stream is complete" stream_is_complete "$DIR/long" $LONG
check "the refused call is answered when sent again" equal "$(protected_completion late 9 -o /dev/null -w '%{http_code}')" 200
check "each answered call ran once, the refused and the abandoned call never" \
	equal "$(engines_ran)" $((CALLS + 3))
finish
