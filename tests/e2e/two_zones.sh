# Shared by the end-to-end tests of two zones: two daemons and a group each. Traffic
# between daemons of different zones passes relays ("mesh-D" carries all that is sent to
# daemon D), as do calls of zone b's daemons to the platform ("platform-D").
# shellcheck shell=bash disable=SC2317,SC2034
DAEMON_ZONES="d1 almaty-a
d2 almaty-a
d3 almaty-b
d4 almaty-b"
VMS="a1 almaty-a a-f1
a2 almaty-a a-f1
b1 almaty-b b-f1
b2 almaty-b b-f1"
ZONE_B="d3 d4"
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "${BASH_SOURCE[0]}")/e2e.sh"

# Daemons of zone b have another address, by which relays identify the connecting zone.
eval "$(declare -f write_settings | sed '1s/.*/plain_settings ()/')"
eval "$(declare -f start_daemon | sed '1s/.*/plain_start ()/')"
eval "$(declare -f write_resources | sed '1s/.*/plain_resources ()/')"
zone_b() { [[ " $ZONE_B " = *" $1 "* ]]; }
own_ip() { zone_b "$1" && echo 127.0.0.2 || echo 127.0.0.1; }
other_ip() { zone_b "$1" && echo 127.0.0.1 || echo 127.0.0.2; }
write_settings() {
	local n=${1#d} log=$BASE
	zone_b "$1" && log=$((BASE + 70 + n))
	plain_settings "$1" | sed "s,tcp://127.0.0.1,tcp://$(own_ip "$1"),
		s,^peer_listen,peer_address = \"tcp://127.0.0.1:$((BASE + 60 + n))\"\\n&,
		s,127.0.0.1:$BASE\([\"/]\),127.0.0.1:$log\1,"
}
relay() { start_process "$1" "$BUILD/standins/standin-relay" "127.0.0.1:$2" "$3" "${@:4}"; }
start_daemon() {
	local n=${1#d}
	relay "mesh-$1" $((BASE + 60 + n)) "$(own_ip "$1"):$((BASE + 20 + n))" "$(other_ip "$1")"
	zone_b "$1" && relay "platform-$1" $((BASE + 70 + n)) "127.0.0.1:$BASE"
	plain_start "$1"
}
write_resources() {
	plain_resources
	sed -i 's/^zones = .*/zones = ["almaty-a", "almaty-b"]/; s/^\tzones = .*/zones = ["almaty-a", "almaty-b"]/' "$DIR/resources.toml"
}
groups_serve() { groups_complete 2 && serving_all 1; }
# signal_relays SIGNAL RELAYS: signals the relays whose names match RELAYS; USR1 starts a
# partition, USR2 ends it.
signal_relays() {
	local name
	for name in "${!PIDS[@]}"; do
		[[ $name =~ ^($2)$ ]] && signal "$name" "$1"
	done
}
receives_from() { status "$1" | jq -e --arg d "$2" 'any(.daemons[]; .name == $d and .heard)' >/dev/null; }
zones_connected() { all_ready "$DAEMONS" && receives_from d1 d3 && receives_from d2 d4 && receives_from d3 d1 && receives_from d4 d2; }
zones_partitioned() { ! receives_from d1 d3 && ! receives_from d2 d4 && ! receives_from d3 d1 && ! receives_from d4 d2; }
