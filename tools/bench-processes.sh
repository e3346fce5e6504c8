# Starts and stops the processes of a benchmark and makes a directory for their files.
# Sourced by bash scripts.
# shellcheck shell=bash
dir=$(mktemp -d)
pids=()

# start LOG COMMAND...: runs it in the background; its output goes to LOG.log.
start() {
	local log=$1
	shift
	"$@" >"$dir/$log.log" 2>&1 &
	pids+=($!)
}
digest() { printf %s "$1" | b2sum -l 256 | cut -d' ' -f1; }
# stop_all: kills all processes of pids, so that a script can start its next row.
stop_all() {
	local pid
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
	wait "${pids[@]}" 2>/dev/null || true
	pids=()
}
