#!/bin/bash
# Answers are lost after the operation has taken effect: appends to the log, and a protected
# call at its back end. Nothing runs twice, and no caller is told that a call did not run.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"

begin
before=$(version_of d1 team/crane-crews)
printf '[[team]]\nname = "crane-crews"\npriority = 0\nconcurrent = 9\n' >"$DIR/change.toml"
inject_fault "$(platform_url)" '{"log": "lose-next"}'
check "a change whose append was lost is put in force" "$CTL" apply "$DIR/change.toml"
after=$(version_of d1 team/crane-crews)
check "the change has a new version" [ "$after" -gt "$before" ]
timeout 3 "$CTL" watch --since 1 --timeout 2 >"$DIR/events"
check "the change was activated once" equal \
	"$(jq -s --argjson v "$after" '[.[] | select(.event == "activated" and .offset == $v)] | length' "$DIR/events")" 1

inject_fault "$(platform_url)" '{"log": "lose-answers"}'
answer=$(reserve d1 lost-1 '{"plot": 1}' -w ' %{http_code}')
inject_fault "$(platform_url)" '{"log": "ok"}'
runs=$(run_count lost-1)
check "a call whose claim's answer was lost runs once at most" at_most "$runs" 1
case ${answer##* } in
2*) check "the call ran, as its caller was told" equal "$runs" 1 ;;
*) [ "$(outcome "${answer% *}")" = not-run ] && check "the call did not run, as its caller was told" equal "$runs" 0 ;;
esac
again=$(reserve d2 lost-1 '{"plot": 1}' -w ' %{http_code}')
check "the call has run once at most when sent again" at_most "$(run_count lost-1)" 1
echo "        first: $answer; again: $again"

inject_fault "$(booking_url)" '{"mode": "lose-answer"}'
answer=$(reserve d1 lost-2 '{"plot": 2}' -w ' %{http_code}')
inject_fault "$(booking_url)" '{"mode": "ok"}'
check "a call whose own answer was lost ran once" equal "$(run_count lost-2)" 1
check "its caller is told that it may have run" equal "$(outcome "${answer% *}")" unknown
again=$(reserve d3 lost-2 '{"plot": 2}' -w ' %{http_code}')
check "the call does not run again when sent again" equal "$(run_count lost-2)" 1
check "the outcome is still unknown to the caller" equal "$(outcome "${again% *}")" unknown
finish
