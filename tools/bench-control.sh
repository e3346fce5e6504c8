#!/usr/bin/env bash
# Control cost of one daemon: processor time, resident memory and bytes a second against
# the number of daemons and of VMs in its zone: bench-control.sh BUILD [DAEMONS:VMS...].
# Real processes on loopback; each row is measured for SECONDS_A_ROW seconds once the groups
# are complete. Daemons share a key unless KEYS is set and empty.
set -eu
build=$(cd "${1:-build}" && pwd)
seconds=${SECONDS_A_ROW:-10}
base=${BENCH_PORT:-14300}
tsv=${TSV:-/dev/null}
keys=${KEYS-yes}
# shellcheck source=tools/bench-processes.sh
. "$(dirname "$0")/bench-processes.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM
get() { curl -s --max-time 5 -H "Authorization: Bearer op" "http://127.0.0.1:$((base + 100))$1"; }

daemon_settings() { # daemon_settings INDEX
	cat <<END
[daemon]
name = "d$1"
zone = "a"
region = "r"
listen = "127.0.0.1:$((base + 100 + $1))"
peer_listen = "tcp://127.0.0.1:$((base + 200 + $1))"
$([ -z "$keys" ] || echo "peer_key_file = \"$dir/peer.key\"")
[platform]
log_url = "http://127.0.0.1:$base"
vm_list_url = "http://127.0.0.1:$base/vms"
[[operator]]
name = "op"
digest = "$(digest op)"
END
}

vm_list() { # vm_list COUNT
	local i sep="["
	for ((i = 0; i < $1; i++)); do
		printf '%s{"targets":["127.0.0.1:%d"],"labels":{"vm":"vm%d","zone":"a","fabric_domain":"f%d","accelerators":"4","state":"live"}}' \
			"$sep" $((base + 300 + i)) "$i" $((i / 16))
		sep=","
	done
	echo "]"
}

serving_count() { get /apis/status | jq "[.groups[]|select(.state==\"serving\")]|length" 2>/dev/null || echo 0; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_mb() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }
sample() { # sample PID: CPU ticks, then the byte counters, one per line
	cpu_ticks "$1"
	local n
	for n in peer_sent peer_received http_sent http_received; do counter "cs_${n}_bytes_total"; done
}
counter() { get /metrics | awk -v n="$1" '$1 == n {print $2}'; }

[ -z "$keys" ] || "$build/packages/ctl/cornelspindle" key "$dir/peer.key" >"$dir/peer.public"
measure_row() { # measure_row DAEMONS VMS
	local i groups=$(($2 / 2)) first
	vm_list "$2" >"$dir/vms.json"
	start platform "$build/standins/standin-platform" --listen "127.0.0.1:$base" --vms "$dir/vms.json"
	for ((i = 0; i < $2; i++)); do
		start "vm$i" "$build/standins/standin-backend" --listen "127.0.0.1:$((base + 300 + i))" \
			--vm "vm$i" --load-ms 100
	done
	first=${#pids[@]}
	for ((i = 0; i < $1; i++)); do
		daemon_settings "$i" >"$dir/d$i.toml"
		start "d$i" "$build/packages/daemon/cornelspindled" "$dir/d$i.toml"
	done
	cat >"$dir/r.toml" <<END
[[model_group]]
name = "m"
model = "m"
version = "1"
zones = ["a"]
replicas = $groups
members = 2
max_concurrent = 8
END
	sleep 5
	echo op >"$dir/op.token"
	"$build/packages/ctl/cornelspindle" apply --server "http://127.0.0.1:$((base + 100))" \
		--token-file "$dir/op.token" "$dir/r.toml" >/dev/null || true
	for ((i = 0; i < 120; i++)); do
		[ "$(serving_count)" = "$groups" ] && break
		sleep 0.5
	done
	sleep 3
	before=$(sample "${pids[$first]}")
	sleep "$seconds"
	after=$(sample "${pids[$first]}")
	paste <(echo "$before") <(echo "$after") |
		awk -v s="$seconds" -v h="$(getconf CLK_TCK)" -v OFS='\t' -v d="$1" -v v="$2" \
			-v g="$(serving_count)" -v mb="$(resident_mb "${pids[$first]}")" '
			NR == 1 {cpu = 100 * ($2 - $1) / h / s}
			NR > 1 {rate[NR] = int(($2 - $1) / s)}
			END {print d, v, g, sprintf("%.2f", cpu), mb, rate[2], rate[3], rate[4], rate[5]}' |
		tee -a "$tsv"
	stop_all
}

printf 'daemons\tvms\tgroups serving\tcore %%\tMB\tpeer B/s out\tpeer B/s in\thttp B/s out\thttp B/s in\n' | tee "$tsv"
shift || true
[ $# -gt 0 ] || set -- 2:8 4:8 8:8 16:8 4:32 4:64 4:128
for r; do measure_row "${r%:*}" "${r#*:}"; done
