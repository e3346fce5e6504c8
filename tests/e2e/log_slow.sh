#!/bin/bash
# The log service limits appends below the daemons' rate, and is slow: a change is in force
# within its bound or refused with an error, and protected calls run at most once, with the
# outcome that their callers are told. A log slower than the daemons' timeout counts as down:
# no change is reported as in force, and calls that are sent again run once.
# shellcheck disable=SC2317,SC2034
APPENDS_PER_S=4
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
CALLS=6
SLOW_MS=1500 # below the daemons' timeout of 3000 ms
LOST_MS=4000
SETTLE_S=6 # longer than a late claim takes to be applied

refused_count() { fetch "$(platform_url)/stats" | jq .log.refused; }
daemon_of() { echo "d$(($1 % 3 + 1))"; }
again_answered() { protected_call "$1" "$2" && [[ $(tail -n 1 "$DIR/answer-$2") = 2* ]]; }
versions_agree() { has_version d1 "$(version_of d2 "$TEAM")" && has_version d2 "$(version_of d3 "$TEAM")" && has_version d3 "$(version_of d1 "$TEAM")"; }

# send_load NAME LIMIT [ARGS...]: calls through all daemons, and a concurrent limit change.
send_load() {
	local i jobs=()
	before=$(version_of d1 "$TEAM")
	for ((i = 0; i < CALLS; i++)); do
		protected_call "$(daemon_of $i)" "$1-$i" &
		jobs+=($!)
	done
	apply_limit d2 "${@:2}"
	code=$?
	wait "${jobs[@]}"
}
# check_callers NAME: checks what callers were told; for use when the log works again.
check_callers() {
	local i
	for ((i = 0; i < CALLS; i++)); do check_outcome "$1-$i"; done
	echo "        $1: $(cd "$DIR" && for f in answer-"$1"-*; do tail -n 1 "$f"; echo; done | sort | uniq -c | xargs)"
}
# resend NAME: resends through another daemon: only calls that did not run may run now.
resend() {
	local i key
	for ((i = 0; i < CALLS; i++)); do
		key=$1-$i
		if [ "$(outcome "$(head -n 1 "$DIR/answer-$key")")" = not-run ]; then
			check "$key is accepted now" wait_for 20 again_answered "$(daemon_of $((i + 1)))" "$key"
		else
			protected_call "$(daemon_of $((i + 1)))" "$key"
		fi
		check_outcome "$key"
	done
}

begin
refusals=$(refused_count)
send_load rate 7
check_change_result $code "$before"
check "the log refused appends" [ "$(refused_count)" -gt "$refusals" ]
check_callers rate

inject_fault "$(platform_url)" "{\"log\": \"slow\", \"delay_ms\": $SLOW_MS}"
send_load slow 8
check_change_result $code "$before"
check_answers "serves with a slow log"

inject_fault "$(platform_url)" "{\"log\": \"slow\", \"delay_ms\": $LOST_MS}"
send_load lost 9 --timeout 8
check "the change is not reported as in force" [ $code -ne 0 ]
for d in $DAEMONS; do check "$d kept its version" equal "$(version_of "$d" "$TEAM")" "$before"; done
check_answers "serves with a log that is too slow"

inject_fault "$(platform_url)" '{"log": "ok"}'
sleep $SETTLE_S
for name in slow lost; do check_callers $name; done
for name in slow lost; do resend $name; done
check "the daemons agree on the change" wait_for $IN_FORCE_S versions_agree
before=$(version_of d1 "$TEAM")
apply_limit d3 10
check_change_result $? "$before"
finish
