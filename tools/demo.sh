#!/bin/bash
# Demonstrates the system on loopback with the consortium's example: one line for each
# step with what was seen. Fails if a step saw another result than expected.
# usage: tools/demo.sh BUILD    (KEEP=1 keeps the directory with logs and settings)
# shellcheck disable=SC2317,SC2086  # functions are called by wait_for; lists of names
set -u
BUILD=$(cd "${1:-build}" && pwd) || exit 2
# shellcheck source=tools/cluster.sh
. "$(dirname "$0")/cluster.sh"

LOG_LINES=15 # of a daemon's log after a failed step
passed=0
failed=0

# pass STEP SEEN; fail STEP SEEN DAEMON...
pass() {
	passed=$((passed + 1))
	echo "ok      $1: $2"
}
fail() {
	local step=$1 seen=$2 d
	shift 2
	failed=$((failed + 1))
	echo "FAILED  $step: $seen"
	for d in "$@"; do
		echo "    log of $d:"
		tail -n "$LOG_LINES" "$DIR/$d.log" | sed 's/^/    | /'
	done
}

finish() {
	stop_processes
	if [ -n "$(sanitizer_reports)" ]; then
		fail "no sanitizer reports" "$(sanitizer_reports | head -n 30)"
	fi
	cluster_stop
	echo "$passed passed, $failed failed"
	[ $failed = 0 ] && exit 0
	exit 1
}

step_ready() {
	local step="four daemons in two zones become ready" start
	start=$(now_ms)
	if wait_for 20 all_ready; then
		pass "$step" "after $(($(now_ms) - start)) ms"
	else
		fail "$step" "not within 20 s" $DAEMONS
		finish
	fi
}

# in_force N: every daemon lists N resources.
in_force() {
	local d
	for d in $DAEMONS; do
		[ "$("$CTL" get --json --server "$(daemon_url "$d")" 2>/dev/null | jq '.items | length')" = "$1" ] ||
			return 1
	done
}
step_apply() {
	local step="the committed example is applied" seen
	if seen=$("$CTL" apply "$DIR"/example/*.toml 2>&1) && wait_for 5 in_force 7; then
		pass "$step" "$(echo "$seen" | tail -1), 7 resources on every daemon"
	else
		fail "$step" "$(echo "$seen" | tail -2 | tr '\n' ' ')" d1
	fi
}

all_serve() { groups_complete 4 && zone_serves d1 2 && zone_serves d3 2; }
step_whole() {
	local step="groups are whole by what their members report" start
	start=$(now_ms)
	if wait_for 30 all_serve; then
		pass "$step" "4 groups of 2 after $(($(now_ms) - start)) ms: $(complete_groups | tr '\n' ';')"
	else
		fail "$step" "$(complete_group_count) of 4 within 30 s: $(complete_groups | tr '\n' ';')" d1 d3
	fi
}

step_stream() {
	local step="a streamed completion through one daemon" before code
	before=$(engines_ran)
	code=$(chat d1 crane-crews 24 -o "$DIR/stream" -w '%{http_code} %{content_type}')
	if [ "$code" = "200 text/event-stream" ] && stream_is_complete "$DIR/stream" 24 &&
		[ "$(engines_ran)" = $((before + 1)) ]; then
		pass "$step" "24 tokens in order and the end mark; run once"
	else
		fail "$step" "$code, $(grep -c '^id:' "$DIR/stream") tokens, ran $(($(engines_ran) - before)) times, $(tail -c 300 "$DIR/stream" | tr '\n' ' ')" d1
	fi
}

step_protected() {
	local step="a protected call sent twice with one key through two daemons" one two runs
	one=$(reserve d1 demo-key-1 '{"plot": 7}' -w ' %{http_code}')
	two=$(reserve d3 demo-key-1 '{"plot": 7}' -w ' %{http_code}')
	runs=$(executed_requests "$(booking_url)" | jq '[.requests[] | select(.key == "demo-key-1")] | length')
	if [ "$runs" = 1 ] && [ "$one" = "$two" ] && [ "${one##* }" = 201 ]; then
		pass "$step" "run once, both callers got reservation $(echo "${one% *}" | jq .reservation)"
	else
		fail "$step" "run $runs times; first: $one; second: $two" d1 d3
	fi
	step="the same key with another body"
	two=$(reserve d2 demo-key-1 '{"plot": 8}' -w ' %{http_code}')
	runs=$(executed_requests "$(booking_url)" | jq '.requests | length')
	if [ "$runs" = 1 ] && [ "${two##* }" -ge 400 ] && [ "${two##* }" -lt 500 ]; then
		pass "$step" "refused with ${two##* }, not run"
	else
		fail "$step" "answer: $two; run $runs times in all" d2
	fi
}

# group_excluded GROUP FENCE: no daemon of the zone shows the group as serving.
group_excluded() {
	local d
	for d in d3 d4; do
		status $d | jq -e --arg g "$1" --argjson f "$2" \
			'any(.groups[]; .name == $g and .fence == $f and .state == "serving") | not' \
			>/dev/null || return 1
	done
}
# formed_again GROUP FENCE VM: the group is complete without the VM, under a
# higher fencing number.
formed_again() {
	complete_groups | awk -v g="$1" -v f="$2" -v vm="$3" \
		'$1 == g && $2 + 0 > f + 0 && ("," $3 ",") !~ ("," vm ",") { found = 1 } END { exit !found }'
}
step_killed() {
	local step="the group of a killed member is refused" group fence members vm start
	read -r group fence members < <(complete_groups | grep '/almaty-b/')
	vm=${members#*,}
	if [ -z "${vm:-}" ]; then
		fail "$step" "no complete group in almaty-b to begin with" d3
		fail "it forms anew with a spare" "not run" d3
		return
	fi
	start=$(now_ms)
	signal "$vm" KILL
	reap "$vm"
	if wait_for 10 group_excluded "$group" "$fence"; then
		pass "$step" "$group lost $vm and is refused after $(($(now_ms) - start)) ms"
	else
		fail "$step" "$group still serves 10 s after $vm was killed" d3 d4
	fi
	fetch -X DELETE "$(platform_url)/vms/$vm" >/dev/null
	step="it forms anew with a spare"
	if wait_for 30 formed_again "$group" "$fence" "$vm" && wait_for 10 zone_serves d3 2; then
		pass "$step" "$(complete_groups | grep "^$group ") after $(($(now_ms) - start)) ms"
	else
		fail "$step" "not within 30 s: $(complete_groups | tr '\n' ';')" d3 d4
	fi
}

# burst DAEMON N: N short completions, one after the other; prints the status codes.
burst() {
	local i
	for ((i = 0; i < $2; i++)); do
		chat "$1" subcontractors 1 -o "$DIR/burst" -w '%{http_code}\n'
		grep -q '"outcome": *"not-run"' "$DIR/burst" && echo not-run
	done
}
step_limit() {
	# Shares of a limit follow demand, so each daemon is sent more than the whole limit.
	local step="an applied limit is in force on every daemon" limit=12 each=14 total=56
	local before seen d
	local accepted=0 refused=0 not_run=0 unlimited=""
	sed "/subcontractors/,\$s/^requests_per_minute = .*/requests_per_minute = $limit/" \
		"$DIR/example/teams.toml" >"$DIR/teams-limit.toml"
	if ! seen=$("$CTL" apply "$DIR/teams-limit.toml" 2>&1); then
		fail "$step" "apply: $seen" d1
		return
	fi
	before=$(engines_ran)
	for d in $DAEMONS; do
		seen=$(burst "$d" $each)
		echo "$seen" | grep -q 429 || unlimited="$unlimited $d"
		accepted=$((accepted + $(echo "$seen" | grep -c '^200')))
		refused=$((refused + $(echo "$seen" | grep -c '^429')))
		not_run=$((not_run + $(echo "$seen" | grep -c '^not-run')))
	done
	seen="$accepted accepted and $refused refused of $total, limit $limit a minute, ran $(($(engines_ran) - before))"
	if [ -z "$unlimited" ] && [ $accepted -le $limit ] && [ $accepted -gt 0 ] &&
		[ $((accepted + refused)) = $total ] && [ $not_run = $refused ] &&
		[ "$(engines_ran)" = $((before + accepted)) ]; then
		pass "$step" "$seen"
	else
		fail "$step" "$seen; no refusal by:${unlimited:- none}; $not_run said not-run" d1
	fi
}

# has_left DAEMON: d1 no longer lists the daemon.
has_left() { status d1 | jq -e --arg d "$1" 'any(.daemons[]; .name == $d) | not' >/dev/null; }
step_planned_stop() {
	local step="a daemon stopped amid a stream finishes it" code=none job
	chat d2 crane-crews 150 -o "$DIR/long" &
	job=$!
	sleep 1
	local tokens_before
	tokens_before=$(grep -c '^id:' "$DIR/long")
	signal d2 TERM
	wait $job
	if wait_for 20 has_exited d2; then
		reap d2
		code=$?
	fi
	if [ "$tokens_before" -gt 0 ] && [ "$tokens_before" -lt 150 ] &&
		stream_is_complete "$DIR/long" 150 && [ "$code" = 0 ]; then
		pass "$step" "SIGTERM at token $tokens_before of 150, all 150 came, exit status 0"
	else
		fail "$step" "SIGTERM at token $tokens_before, $(grep -c '^id:' "$DIR/long") of 150 tokens, exit status $code" d2
	fi
	step="the others know that it left"
	if wait_for 10 has_left d2; then
		pass "$step" "d1 lists $(status d1 | jq -c '[.daemons[].name] | sort')"
	else
		fail "$step" "d1 lists $(status d1 | jq -c '[.daemons[]?.name]')" d1
	fi
}

trap 'cluster_stop; exit 1' INT TERM
cluster_start || { echo "the cluster cannot be started"; exit 1; }
step_ready
step_apply
step_whole
step_stream
step_protected
step_killed
step_limit
step_planned_stop
finish
