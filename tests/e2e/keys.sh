#!/bin/bash
# A daemon with another key and one without a key reach the peer ports and the log. The other
# daemons accept no message from them, exclude them and keep serving, and are not excluded
# themselves. Then the key is rotated, one daemon after the other: no other daemon is
# excluded, and requests are served.
# shellcheck disable=SC2317,SC2034
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
WATCH_S=22 # longer than the silence after which daemons are excluded
declare -A KEYS=()

# KEYS[DAEMON]: the daemon's key settings where they differ from the cluster's.
eval "$(declare -f write_settings | sed '1s/.*/plain_settings ()/')"
write_settings() {
	if [ -n "${KEYS[$1]+set}" ]; then
		plain_settings "$1" | awk -v k="${KEYS[$1]}" '!/^peer_key_file/; /^peer_listen/ {print k}'
	else
		plain_settings "$1"
	fi
}
key_line() { echo "peer_key_file = \"$DIR/$1.key\""; }
both_keys() { printf '%s\npeer_accepted_keys = ["%s"]' "$(key_line "$1")" "$(<"$DIR/$2.public")"; }
receives_from() { status "$1" | jq -e --arg d "$2" 'any(.daemons[]; .name == $d and .heard)' >/dev/null; }
all_receive() {
	local a b
	for a in $DAEMONS; do for b in $DAEMONS; do receives_from "$a" "$b" || return 1; done; done
}
refused_count() { fetch "$(daemon_url "$1")/metrics" | awk '$1 == "cs_peer_refused_total" {n = $2} END {print n + 0}'; }
incarnations() { for d in $DAEMONS; do [ "$d" = "${1-}" ] || incarnation "$d"; done; }
authenticated() { status "$1" | jq -r .peers_authenticated; }
# watch_strangers: during WATCH_S, counts in heard how often a daemon of STRANGERS received
# from or was received by another, and in incomplete how many other streams were incomplete.
watch_strangers() {
	local end=$(($(now_ms) + WATCH_S * 1000)) d s
	heard=0 incomplete=0
	while [ "$(now_ms)" -lt $end ]; do
		for d in $DAEMONS; do
			for s in $STRANGERS; do
				receives_from "$d" "$s" && heard=$((heard + 1))
				receives_from "$s" "$d" && heard=$((heard + 1))
			done
			chat "$d" crane-crews 5 -o "$DIR/answer"
			stream_is_complete "$DIR/answer" 5 || incomplete=$((incomplete + 1))
		done
		sleep 0.5
	done
}
was_excluded() { grep -q "this daemon was excluded" "$DIR/$1.log"; }

begin
for k in other new; do "$CTL" key "$DIR/$k.key" >"$DIR/$k.public"; done
STRANGERS="d4 d5"
DAEMON_ZONES+=$'\nd4 almaty-a\nd5 almaty-a'
KEYS[d4]=$(key_line other)
KEYS[d5]=
before=$(incarnations)
for d in $STRANGERS; do start_daemon "$d"; done
watch_strangers
check "no message of a daemon with another key or none is accepted" equal $heard 0
check "the others keep serving" equal $incomplete 0
for d in $STRANGERS; do check "$d is excluded" was_excluded "$d"; done
check "no other daemon was excluded" equal "$(incarnations)" "$before"
check "all others receive from each other" all_receive
for d in $DAEMONS; do check "$d counts refusals" [ "$(refused_count "$d")" -gt 0 ]; done
check "the status of a daemon without a key says so" equal "$(authenticated d5)" false
check "the log of a daemon without a key warns" grep -q "daemons are not authenticated" "$DIR/d5.log"
check "the status of a daemon with a key says so" equal "$(authenticated d1)" true
for d in $STRANGERS; do signal "$d" KILL; reap "$d"; done

for step in "$(both_keys peer new)" "$(both_keys new peer)" "$(key_line new)"; do
	for d in $DAEMONS; do
		others=$(incarnations "$d")
		signal "$d" TERM
		check "$d stops" wait_for 10 has_exited "$d"
		reap "$d"
		KEYS[$d]=$step
		start_daemon "$d"
		check "$d is back" wait_for 20 all_ready
		check "all receive from each other" wait_for 10 all_receive
		check "the others were not excluded" equal "$(incarnations "$d")" "$others"
	done
	check_answers "serves in the rotation"
done
finish
