#!/bin/bash
# The log service is down: complete groups keep serving, protected calls and changes are
# refused and take no effect, and both work again when the log is back.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
OUTAGE_S=8 # longer than the log counts as current

call_answered() { [ "$(reserve "$1" "$2" '{"plot": 2}' -o /dev/null -w '%{http_code}')" = 201 ]; }

begin
inject_fault "$(platform_url)" '{"log": "down"}'
sleep $OUTAGE_S
for d in $DAEMONS; do
	chat "$d" crane-crews 5 -o "$DIR/stream-$d"
	check "$d serves without the log" stream_is_complete "$DIR/stream-$d" 5
	reserve "$d" "down-$d" '{"plot": 2}' -w '\n%{http_code}' >"$DIR/answer-$d"
	check "$d refuses a protected call" equal "$(tail -n 1 "$DIR/answer-$d")" 503
	check "$d: the call did not run" equal "$(run_count "down-$d")" 0
	check "$d: the refusal has an outcome" [ -n "$(outcome "$(head -n 1 "$DIR/answer-$d")")" ]
done
printf '[[team]]\nname = "crane-crews"\npriority = 3\n' >"$DIR/change.toml"
before=$(version_of d1 team/crane-crews)
"$CTL" apply --timeout 5 "$DIR/change.toml" >/dev/null 2>&1
check "a change is not reported as in force" [ $? -ne 0 ]
check "the change is not in force" equal "$(version_of d1 team/crane-crews)" "$before"

inject_fault "$(platform_url)" '{"log": "ok"}'
for d in $DAEMONS; do
	check "$d accepts the refused call when the log is back" wait_for 20 call_answered "$d" "down-$d"
	check "$d: the call ran once" equal "$(run_count "down-$d")" 1
done
check "the change is put in force" wait_for 20 "$CTL" apply "$DIR/change.toml"
finish
