#!/bin/bash
# One daemon is killed and another paused during a protected call: the call runs once, does
# not run again when sent through another daemon, and no caller is told that it did not
# run.
# shellcheck disable=SC2317
WORK_MS=2000
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"

# signal_during_call DAEMON SIGNAL KEY: signals the daemon during the call, then resends the
# call through d3.
signal_during_call() {
	local job again
	reserve "$1" "$3" '{"plot": 1}' >/dev/null &
	job=$!
	check "$2: the call begins" wait_for 5 run_count_is "$3" 1
	signal "$1" "$2"
	again=$(reserve d3 "$3" '{"plot": 1}' -w ' %{http_code}')
	check "$2: sent again at once, the call is not reported as not run" outcome_is_consistent "$again"
	[ "$2" = KILL ] || signal "$1" CONT
	wait $job
	sleep 5
	again=$(reserve d3 "$3" '{"plot": 1}' -w ' %{http_code}')
	check "$2: sent again later, the call is not reported as not run" outcome_is_consistent "$again"
	check "$2: the call ran once" equal "$(run_count "$3")" 1
}
run_count_is() { [ "$(run_count "$1")" = "$2" ]; }
# outcome_is_consistent ANSWER: a call that ran is answered, or its outcome is unknown.
outcome_is_consistent() {
	case ${1##* } in
	2*) return 0 ;;
	*) equal "$(outcome "${1% *}")" unknown ;;
	esac
}

begin
signal_during_call d1 KILL killed-1
signal_during_call d2 STOP paused-1
finish
