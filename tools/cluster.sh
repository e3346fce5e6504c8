# Functions that run a small cluster on loopback, for the demonstration and the
# end-to-end tests: two zones, three fabric domains, 13 engine members, one plain
# service, four daemons, the platform's stand-in. Sourced by bash scripts.
# shellcheck shell=bash

BUILD=${BUILD:?}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# shellcheck disable=SC2034  # used by the scripts that source this
CTL=$BUILD/packages/ctl/cornelspindle
STOP_S=4 # longest time for all processes to end before they are killed
TEAMS="crane-crews site-managers subcontractors"
declare -A PIDS

# Daemons and their zones; VMs with their zone and fabric domain. The sourcing script may
# set smaller lists.
DAEMON_ZONES=${DAEMON_ZONES:-"d1 almaty-a
d2 almaty-a
d3 almaty-b
d4 almaty-b"}
VMS=${VMS:-"a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1
a4 almaty-a a-f1
a5 almaty-a a-f2
a6 almaty-a a-f2
a7 almaty-a a-f2
a8 almaty-a a-f2
b1 almaty-b b-f1
b2 almaty-b b-f1
b3 almaty-b b-f1
b4 almaty-b b-f1
b5 almaty-b b-f1"}
DAEMONS=$(echo "$DAEMON_ZONES" | cut -d' ' -f1)
VM_NAMES=$(echo "$VMS" | cut -d' ' -f1)

# now_ms: milliseconds of the wall clock, for reports only.
now_ms() { date +%s%3N; }

# wait_for SECONDS COMMAND...: runs the command until it succeeds; fails after SECONDS.
wait_for() {
	local end=$(($(now_ms) + $1 * 1000))
	shift
	while ! "$@"; do
		[ "$(now_ms)" -lt $end ] || return 1
		sleep 0.2
	done
}

fetch() { curl -s --max-time "${FETCH_S:-5}" "$@"; }

# choose_base_port: sets BASE to the first port of a range that no other cluster uses; the
# lock is held until this shell ends.
choose_base_port() {
	local base
	for base in 7300 8300 9300 10300 11300 12300 13300 14300; do
		exec {PORT_LOCK}>"${TMPDIR:-/tmp}/cornelspindle-$base.lock"
		flock -n "$PORT_LOCK" || continue
		(exec 3<>"/dev/tcp/127.0.0.1/$base") 2>/dev/null || { BASE=$base; return; }
	done
	return 1
}

platform_url() { echo "http://127.0.0.1:$BASE"; }
booking_url() { echo "http://127.0.0.1:$((BASE + 1))"; }
daemon_url() { echo "http://127.0.0.1:$((BASE + 10 + ${1#d}))"; }

# vm_url NAME: engines a1..a8 and b1..b5 listen from BASE + 31 on.
vm_url() {
	local n=${1#?}
	[ "${1%"$n"}" = b ] && n=$((n + 8))
	echo "http://127.0.0.1:$((BASE + 30 + n))"
}

declare -A STARTED=() # when the processes of PIDS started, as their ids may be used again

# start_time PID: in clock ticks since the machine started; fails if there is no such process.
start_time() {
	local stat
	{ read -r stat <"/proc/$1/stat"; } 2>/dev/null || return 1
	# shellcheck disable=SC2086
	set -- ${stat##*) }
	echo "${20}"
}
# add_process NAME PID: adds a process to PIDS.
add_process() {
	PIDS[$1]=$2
	STARTED[$1]=$(start_time "$2")
}

# start_process NAME PROGRAM ARGS...: starts a process, with its log in DIR/NAME.log.
start_process() {
	local name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	add_process "$name" $!
}

# reap NAME: the exit status of a process that has ended; its id is removed from PIDS,
# since the system may reuse it.
reap() {
	local status
	wait "${PIDS[$1]}" 2>/dev/null
	status=$?
	unset "PIDS[$1]"
	return $status
}

# signal NAME SIGNAL: signals a process of PIDS.
signal() { ! has_exited "$1" && kill -s "$2" "${PIDS[$1]}" 2>/dev/null; }
all_have_exited() {
	local name
	for name in "${!PIDS[@]}"; do
		has_exited "$name" || return 1
	done
}
# has_exited NAME: bash reaps a child once it ends, and its id may be that of another process then.
has_exited() { [ -z "${STARTED[$1]:-}" ] || [ "$(start_time "${PIDS[$1]}")" != "${STARTED[$1]}" ]; }

write_vm_list() {
	echo "$VMS" | while read -r vm zone domain; do
		jq -n --arg t "$(vm_url "$vm")" --arg v "$vm" --arg z "$zone" --arg f "$domain" \
			'{targets: [$t | ltrimstr("http://")], labels: {vm: $v, zone: $z,
			  fabric_domain: $f, accelerators: "4", state: "live"}}'
	done | jq -s . >"$DIR/vms.json"
}

# token NAME: the bearer token of a team or operator.
token() { echo "$1-$SECRET"; }
digest() { token "$1" | tr -d '\n' | b2sum -l 256 | cut -d' ' -f1; }

write_settings() {
	local d=$1 n=${1#d} team
	cat <<-END
		[daemon]
		name = "$d"
		zone = "$(echo "$DAEMON_ZONES" | sed -n "s/^$d //p")"
		region = "almaty"
		listen = "127.0.0.1:$((BASE + 10 + n))"
		peer_listen = "tcp://127.0.0.1:$((BASE + 20 + n))"
		peer_key_file = "$DIR/peer.key"
		log_level = "${LOG_LEVEL:-info}"
		drain_seconds = 20
		[platform]
		log_url = "$(platform_url)"
		vm_list_url = "$(platform_url)/vms"
		[trace]
		file = "$DIR/$d.trace"
		[[operator]]
		name = "ops"
		digest = "$(digest ops)"
	END
	for team in $TEAMS; do
		printf '[[caller]]\nname = "%s"\ndigest = "%s"\n' "$team" "$(digest "$team")"
	done
}

start_engine() {
	start_process "$1" "$BUILD/standins/standin-backend" --listen "$(vm_url "$1" | cut -c8-)" --vm "$1" \
		--fencing "${FENCING:-honour}" --weights-url "$(platform_url)/weights" \
		--tokens-per-second "${TOKENS_PER_SECOND:-50}" --prefill-ms-per-1k 20 --batch 8 \
		--cache-lag-ms "${CACHE_LAG_MS:-0}" --cache-loss "${CACHE_LOSS:-0}"
}

start_daemon() {
	write_settings "$1" >"$DIR/$1.toml"
	start_process "$1" "$BUILD/packages/daemon/cornelspindled" "$DIR/$1.toml"
}

# The example's back end has a fixed port, which another run may use: the copy gets its own.
copy_example() {
	mkdir "$DIR/example"
	cp "$ROOT"/examples/consortium/*.toml "$DIR/example/"
	sed -i "s,http://127.0.0.1:7301,$(booking_url)," "$DIR/example/booking.toml"
}

cluster_start() {
	local vm d
	choose_base_port || return 1
	DIR=$(mktemp -d)
	SECRET=$(od -An -N8 -tx1 /dev/urandom | tr -d ' \n')
	token ops >"$DIR/ops.token"
	"$CTL" key "$DIR/peer.key" >"$DIR/peer.public"
	export CORNELSPINDLE_SERVER CORNELSPINDLE_TOKEN
	CORNELSPINDLE_SERVER=$(daemon_url d1)
	CORNELSPINDLE_TOKEN=$(token ops)
	write_vm_list
	copy_example
	start_process platform "$BUILD/standins/standin-platform" --listen "127.0.0.1:$BASE" \
		--vms "$DIR/vms.json" --appends-per-second "${APPENDS_PER_S:-300}" --weights-concurrent 8 \
		--weights-bytes-per-second 20000000 --vm-list-lag-ms 500
	for vm in $VM_NAMES; do
		start_engine "$vm"
	done
	start_process booking "$BUILD/standins/standin-backend" --mode service --name booking-1 \
		--listen "127.0.0.1:$((BASE + 1))" --work-ms "${WORK_MS:-100}"
	for d in $DAEMONS; do
		start_daemon "$d"
	done
}

# sanitizer_reports: what sanitizers wrote into the daemons' logs.
sanitizer_reports() {
	local d
	for d in $DAEMONS; do
		grep -A 12 -E 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$DIR/$d.log"
	done
}

# Ends all processes started here, by their ids.
stop_processes() {
	local name
	for name in "${!PIDS[@]}"; do
		signal "$name" CONT
		signal "$name" TERM
	done
	wait_for "$STOP_S" all_have_exited
	for name in "${!PIDS[@]}"; do
		signal "$name" KILL
		wait "${PIDS[$name]}" 2>/dev/null
	done
	PIDS=()
}
# Ends the processes and removes the directory.
cluster_stop() {
	stop_processes
	[ -n "${KEEP:-}" ] || rm -rf "$DIR"
}

# status DAEMON: the daemon's status document, null when the daemon doesn't answer.
status() {
	fetch -H "Authorization: Bearer $(token ops)" "$(daemon_url "$1")/apis/status" || echo null
}
daemon_ready() { status "$1" | jq -e '.ready == true' >/dev/null 2>&1; }
all_ready() {
	local d
	for d in ${1:-$DAEMONS}; do
		daemon_ready "$d" || return 1
	done
}

# engine_reports: the reports of all engine members, one JSON array.
engine_reports() {
	local vm
	for vm in $VM_NAMES; do
		FETCH_S=1 fetch "$(vm_url "$vm")/v1/report"
	done | jq -s .
}

# complete_groups: "GROUP FENCE VM,VM" for each group whose members, by their own reports
# alone, are all ready under one fencing number in one fabric domain.
complete_groups() {
	engine_reports | jq -r --slurpfile vms "$DIR/vms.json" '
		($vms[0] | map({(.labels.vm): .labels.fabric_domain}) | add) as $domain
		| map(select(.state == "ready")) | group_by([.group, .fence])[]
		| select(length == 2 and (map($domain[.vm]) | unique | length) == 1
		         and (map(.rank) | sort) == [0, 1])
		| "\(.[0].group) \(.[0].fence) \(sort_by(.rank) | map(.vm) | join(","))"'
}
# complete_group_count: number of distinct complete groups.
complete_group_count() { complete_groups | cut -d' ' -f1 | sort -u | wc -l; }
groups_complete() { [ "$(complete_group_count)" -eq "$1" ]; }
# serving_count DAEMON: number of groups of its zone that the daemon shows as serving.
serving_count() { status "$1" | jq '[.groups[]? | select(.state == "serving")] | length'; }
zone_serves() { [ "$(serving_count "$1")" = "$2" ]; }

# chat DAEMON TEAM TOKENS [CURL ARGS...]: one streamed completion.
chat() {
	local url team tokens
	url=$(daemon_url "$1")/v1/chat/completions
	team=$2
	tokens=$3
	shift 3
	curl -sN --max-time 30 -H "Authorization: Bearer $(token "$team")" \
		-H 'Content-Type: application/json' "$@" "$url" -d "{\"model\": \"assistant\",
		\"stream\": true, \"max_tokens\": $tokens, \"messages\": [{\"role\": \"user\",
		\"content\": \"draft a hire agreement for plot $tokens\"}]}"
}
# stream_is_complete FILE TOKENS: true if every token is there in order, then the end mark.
stream_is_complete() {
	local texts
	texts=$(sed -n 's/^data: {/{/p' "$1" | jq -j '.choices[0].delta.content // empty' 2>/dev/null)
	local expected=""
	local i
	for ((i = 2; i <= $2; i++)); do expected="$expected tok$i"; done
	[ "${texts#echo-????????????????}" = "$expected" ] && grep -q '^data: \[DONE\]' "$1" && return
	echo "        seen $(wc -l <"$1") lines, at the end \"$(tail -c 300 "$1" | tr '\n' ' ')\""
	return 1
}
# executed_requests URL: the requests that a back end ran.
executed_requests() { fetch "$1/ran"; }
# engines_ran: number of completions that all engines ran.
engines_ran() {
	local vm
	for vm in $VM_NAMES; do
		FETCH_S=1 fetch "$(vm_url "$vm")/ran"
	done | jq -s 'map(.requests | length) | add // 0'
}

# reserve DAEMON KEY BODY [CURL ARGS...]: a protected call.
reserve() {
	local url key body
	url=$(daemon_url "$1")/services/booking/reservations
	key=$2
	body=$3
	shift 3
	curl -s --max-time 20 -H "Authorization: Bearer $(token site-managers)" \
		-H "Idempotency-Key: $key" -H 'Content-Type: application/json' "$@" "$url" -d "$body"
}
