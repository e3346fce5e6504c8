#!/bin/bash
# All open connections to the head member, also those for its reports, stop carrying data,
# while new connections work: the stream in progress is still completed.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"

begin
chat d1 crane-crews 100 -o "$DIR/stream" &
job=$!
sleep 0.7
inject_fault "$(head_url)" '{"silence_open": true}'
wait $job
check "the stream is complete" stream_is_complete "$DIR/stream" 100
tail -n 3 "$DIR/stream"
check "the group serves again" wait_for 15 groups_serve
chat d2 crane-crews 5 -o "$DIR/other"
check "other requests are answered" stream_is_complete "$DIR/other" 5
finish
