#!/usr/bin/env bash
# Bytes and latency of protected requests against the number of daemons of a zone:
# bench-claims.sh BUILD. Real processes on loopback; CALLS_A_SECOND protected calls, each
# with its own key, are sent to the daemons in turn for SECONDS_A_ROW seconds.
set -eu
build=$(cd "${1:-build}" && pwd)
seconds=${SECONDS_A_ROW:-15}
rate=${CALLS_A_SECOND:-20}
shards=${CLAIM_SHARDS:-4}
base=${BENCH_PORT:-15300}
tsv=${TSV:-/dev/null}
# shellcheck source=tools/bench-processes.sh
. "$(dirname "$0")/bench-processes.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM
url() { echo "http://127.0.0.1:$((base + 100 + $1))"; }

daemon_settings() { # daemon_settings INDEX
	cat <<END
[daemon]
name = "d$1"
zone = "a"
region = "r"
listen = "127.0.0.1:$((base + 100 + $1))"
peer_listen = "tcp://127.0.0.1:$((base + 200 + $1))"
[platform]
log_url = "http://127.0.0.1:$base"
vm_list_url = "http://127.0.0.1:$base/vms"
claim_shards = $shards
[[operator]]
name = "op"
digest = "$(digest op)"
[[caller]]
name = "team"
digest = "$(digest team)"
END
}

resources() {
	cat <<END
[[service]]
name = "booking"
kind = "plain"
timeout_ms = 4000
[[service.backend]]
name = "b1"
zone = "a"
url = "http://127.0.0.1:$((base + 1))"
[[service.protected]]
method = "POST"
path_prefix = "/"
[[team]]
name = "team"
priority = 0
END
}

# received_bytes COUNT: prints for each daemon the bytes received over HTTP and from peers;
# these counters leave out the HTTP traffic of callers.
received_bytes() {
	local i
	for ((i = 0; i < $1; i++)); do
		curl -s --max-time 5 -H "Authorization: Bearer op" "$(url "$i")/metrics" |
			awk '$1 == "cs_http_received_bytes_total" || $1 == "cs_peer_received_bytes_total" {n += $2} END {print n + 0}'
	done
}
call() { # call KEY DAEMON: status and seconds
	curl -s --max-time 10 -o /dev/null -w '%{http_code} %{time_total}\n' -d '{"plot":1}' \
		-H "Authorization: Bearer team" -H "Idempotency-Key: $1" "$(url "$2")/services/booking/reservations"
}
send_load() { # send_load DAEMONS ROW
	local i n=$((seconds * rate))
	for ((i = 0; i < n; i++)); do
		call "row$2-$i" $((i % $1)) >>"$dir/calls" &
		sleep "$(awk -v r="$rate" 'BEGIN {print 1 / r}')"
	done
}
# rate_stats BEFORE AFTER SECONDS: mean and highest rate, bytes/s.
rate_stats() {
	paste <(echo "$1") <(echo "$2") | awk -v s="$3" -v OFS='\t' '
		{r = ($2 - $1) / s; sum += r; if (r > max) max = r}
		END {print int(sum / NR), int(max)}'
}

measure_row() { # measure_row DAEMONS
	local i t0 t1 before after idle loaded ms
	: >"$dir/calls"
	echo '[]' >"$dir/vms.json"
	start platform "$build/standins/standin-platform" --listen "127.0.0.1:$base" --vms "$dir/vms.json"
	start booking "$build/standins/standin-backend" --mode service --name b1 \
		--listen "127.0.0.1:$((base + 1))" --work-ms 1
	for ((i = 0; i < $1; i++)); do
		daemon_settings "$i" >"$dir/d$i.toml"
		start "d$i" "$build/packages/daemon/cornelspindled" "$dir/d$i.toml"
	done
	resources >"$dir/r.toml"
	echo op >"$dir/op.token"
	sleep 5
	"$build/packages/ctl/cornelspindle" apply --server "$(url 0)" --token-file "$dir/op.token" \
		"$dir/r.toml" >/dev/null || true
	sleep "${SETTLE_S:-35}" # daemons stop reading the shards they read at the start after 30 s
	before=$(received_bytes "$1")
	sleep 5
	idle=$(rate_stats "$before" "$(received_bytes "$1")" 5)
	before=$(received_bytes "$1")
	t0=$(date +%s%N)
	send_load "$1" "$1"
	t1=$(date +%s%N)
	after=$(received_bytes "$1")
	loaded=$(rate_stats "$before" "$after" "$(awk -v n=$((t1 - t0)) 'BEGIN {print n / 1e9}')")
	sleep 2
	ms=$(grep -c '^2' "$dir/calls" || true)
	printf '%s\t%s\t%s\t%s\t%s\t%s\n' "$1" "$idle" "$loaded" \
		"$(awk -v n="$(wc -l <"$dir/calls")" -v t=$((t1 - t0)) 'BEGIN {printf "%.1f", n * 1e9 / t}')" "$ms" \
		"$(awk '{print $2 * 1000}' "$dir/calls" | sort -n |
			awk -v OFS='\t' '{x[NR] = $1} END {print x[int((NR + 1) / 2)], x[int(NR * 0.99 + 0.5)]}')" |
		tee -a "$tsv"
	stop_all
}

printf 'daemons\tidle B/s in, mean\tidle, highest\tB/s in, mean\thighest\tcalls/s\tanswered\tmedian ms\tp99 ms\n' | tee "$tsv"
for n in ${DAEMONS:-4 8 16}; do measure_row "$n"; done
