#!/usr/bin/env bash
# Measures the overhead of one daemon on a stream: bench-gateway.sh BUILD [STREAMS [RUNNER]].
# Starts the platform's stand-in, one engine and one daemon on loopback, and streams
# through the daemon and directly from the engine in turn. RUNNER, such as
# "valgrind --tool=callgrind", runs the daemon.
set -eu
build=${1:-build}
streams=${2:-1,100,1000}
read -r -a runner <<<"${3:-}"
base=${BENCH_PORT:-7800}
# shellcheck source=tools/bench-processes.sh
. "$(dirname "$0")/bench-processes.sh"

# Unlike stop_all, cleanup waits for the daemon to stop and, with KEEP set, keeps the files.
cleanup() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	if [ -n "${KEEP:-}" ]; then
		echo "kept: $dir"
	else
		rm -rf "$dir"
	fi
}
trap cleanup EXIT

cat >"$dir/vms.json" <<END
[{"targets": ["127.0.0.1:$((base + 2))"], "labels": {"vm": "vm-1", "zone": "a",
  "fabric_domain": "f", "accelerators": "4", "state": "live"}}]
END
cat >"$dir/daemon.toml" <<END
[daemon]
name = "d1"
zone = "a"
region = "r"
listen = "127.0.0.1:$((base + 3))"
peer_listen = "tcp://127.0.0.1:$((base + 4))"
log_level = "info"
drain_seconds = 2
[platform]
log_url = "http://127.0.0.1:$base"
vm_list_url = "http://127.0.0.1:$base/vms"
[[operator]]
name = "ops"
digest = "$(digest ops-secret)"
[[caller]]
name = "bench"
digest = "$(digest bench-secret)"
END
cat >"$dir/resources.toml" <<END
[[model_group]]
name = "pool"
model = "m"
version = "v1"
zones = ["a"]
replicas = 1
members = 1
max_concurrent = 4000
fences_orders = true
[[service]]
name = "pool"
kind = "model"
model_group = "pool"
timeout_ms = 60000
[[team]]
name = "bench"
END
printf %s ops-secret >"$dir/token"

start platform "$build/standins/standin-platform" --listen "127.0.0.1:$base" \
	--vms "$dir/vms.json" --vm-list-lag-ms 0
start engine "$build/standins/standin-backend" --listen "127.0.0.1:$((base + 2))" \
	--vm vm-1 --tokens-per-second "${TOKENS_PER_SECOND:-30}" --prefill-ms-per-1k 0 --batch 4000
start daemon "${runner[@]}" "$build/packages/daemon/cornelspindled" "$dir/daemon.toml"
daemon=${pids[2]}
echo "daemon: process $daemon"

for _ in $(seq 100); do
	"$build/packages/ctl/cornelspindle" apply --server "http://127.0.0.1:$((base + 3))" \
		--token-file "$dir/token" "$dir/resources.toml" >"$dir/apply.log" 2>&1 && break
	sleep 0.2
done
for _ in $(seq 100); do
	answer=$(curl -s --max-time 5 -H 'Authorization: Bearer bench-secret' -d '{"model": "m",
		"max_tokens": 1, "messages": [{"role": "user", "content": "hi"}]}' \
		"http://127.0.0.1:$((base + 3))/v1/chat/completions") || true
	case $answer in *choices*) break ;; esac
	sleep 0.2
done
case $answer in
*choices*) ;;
*)
	echo "bench-gateway: no answer through the daemon: $answer" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
	;;
esac

"$build/bench/load/bench-load" --through "http://127.0.0.1:$((base + 3))" \
	--straight "http://127.0.0.1:$((base + 2))" --token bench-secret --pid "$daemon" \
	--model m --streams "$streams" --tokens "${TOKENS:-60}" --rounds "${ROUNDS:-3}" \
	--tsv "${TSV:-$build/bench-gateway.tsv}"
