#!/bin/bash
# Open connections to the log and those of streams in progress stop carrying data, while new
# connections work. Log reads are reopened, and a stream resumes where it stopped.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"

version_is_everywhere() {
	local d
	for d in $DAEMONS; do
		[ "$(version_of "$d" team/crane-crews)" = "$1" ] || return 1
	done
}
begin
inject_fault "$(platform_url)" '{"silence_open": true}'
printf '[[team]]\nname = "crane-crews"\npriority = 0\nrequests_per_minute = 6000\n' >"$DIR/change.toml"
check "a change is put in force" "$CTL" apply --timeout 60 "$DIR/change.toml"
check "the change is in force everywhere" wait_for 30 version_is_everywhere "$(version_of d1 team/crane-crews)"
check "the group serves" wait_for 20 groups_serve

head=$(head_url)
chat d1 crane-crews 100 -o "$DIR/stream" &
job=$!
sleep 0.7
inject_fault "$head" '{"silence_streams": true}'
chat d2 crane-crews 5 -o "$DIR/other"
check "another request is answered meanwhile" stream_is_complete "$DIR/other" 5 ||
	tail -c 300 "$DIR/other"
wait $job
check "the interrupted stream is complete" stream_is_complete "$DIR/stream" 100
finish
