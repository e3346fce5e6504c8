# Shared by the end-to-end tests: a small cluster of one zone (three daemons, one model
# group of two members and a spare, one plain service) and checks that are counted.
# shellcheck shell=bash
set -u
BUILD=$(cd "$1" && pwd) || exit 2
DAEMON_ZONES=${DAEMON_ZONES:-"d1 almaty-a
d2 almaty-a
d3 almaty-a"}
VMS=${VMS:-"a1 almaty-a a-f1
a2 almaty-a a-f1
a3 almaty-a a-f1"}
# shellcheck source=tools/cluster.sh
. "$(dirname "${BASH_SOURCE[0]}")/../../tools/cluster.sh"

failures=0
failed_checks=

# check WHAT COMMAND...: the command must succeed.
check() {
	local what=$1
	shift
	if "$@"; then
		echo "ok      $what"
	else
		echo "FAILED  $what"
		failures=$((failures + 1))
		failed_checks="$failed_checks$what; "
		return 1
	fi
}
# equal A B: prints both values when they differ.
equal() {
	[ "$1" = "$2" ] || {
		echo "        seen \"$1\", expected \"$2\""
		return 1
	}
}
at_most() { [ "$1" -le "$2" ] || { echo "        seen $1, bound $2"; return 1; }; }

# Ends the test; prints the end of the daemons' logs when a check failed.
finish() {
	local d
	stop_processes
	sanitizer_reports
	check "no sanitizer reports" equal "$(sanitizer_reports | wc -l)" 0
	if [ $failures != 0 ]; then
		for d in $DAEMONS; do
			echo "log of $d:"
			tail -n 40 "$DIR/$d.log"
		done
	fi
	cluster_stop
	[ $failures = 0 ] || echo "$failures checks failed: $failed_checks"
	[ $failures = 0 ]
	exit
}
trap 'cluster_stop; exit 1' INT TERM

# One replica in the one zone; an answer without data for 2 s times out.
write_resources() {
	cat >"$DIR/resources.toml" <<-END
		[[model_group]]
		name = "assistant"
		model = "yard-assistant"
		version = "v1"
		zones = ["almaty-a"]
		replicas = ${REPLICAS:-1}
		members = 2
		max_concurrent = ${MAX_CONCURRENT:-32}
		fences_orders = ${FENCES:-true}
		weight_bytes = ${WEIGHT_BYTES:-0}
		[[service]]
		name = "assistant"
		kind = "model"
		model_group = "assistant"
		timeout_ms = 2000
		[[service]]
		name = "booking"
		kind = "plain"
		timeout_ms = 4000
		[[service.backend]]
		name = "booking-1"
		zone = "almaty-a"
		url = "$(booking_url)"
		[[service.protected]]
		method = "POST"
		path_prefix = "/reservations"
		[[team]]
		name = "crane-crews"
		priority = 0
		[[team]]
		name = "site-managers"
		priority = 1
	END
}
groups_serve() {
	local n=${REPLICAS:-1}
	groups_complete "$n" && serving_all "$n"
}
# serving_all N: every daemon sees N groups of its zone serve.
serving_all() {
	local d
	for d in $DAEMONS; do zone_serves "$d" "$1" || return 1; done
}
# check_answers WHAT: every daemon streams a complete answer.
check_answers() {
	local d
	for d in $DAEMONS; do
		chat "$d" crane-crews 5 -o "$DIR/answer-$d"
		check "$d: $1" stream_is_complete "$DIR/answer-$d" 5
	done
}
# fences: the groups' fencing numbers.
fences() { status d1 | jq -c '[.groups[] | {(.name): .fence}] | sort'; }

# VMs of UNLISTED_VMS are not in the VM list until list_all_vms.
UNLISTED_VMS=${UNLISTED_VMS:-}
eval "$(declare -f write_vm_list | sed '1s/.*/write_all_vms ()/')"
write_vm_list() {
	write_all_vms
	jq --arg l "$UNLISTED_VMS" 'map(select(.labels.vm | inside($l) | not))' "$DIR/vms.json" >"$DIR/first"
	mv "$DIR/first" "$DIR/vms.json"
}
list_all_vms() {
	write_all_vms
	fetch -X PUT "$(platform_url)/vms" -d "@$DIR/vms.json" >/dev/null
}
all_vms_listed() {
	status d1 | jq -e --argjson n "$(echo "$VM_NAMES" | wc -l)" '.accelerators.total == 4 * $n' >/dev/null
}

# Starts the cluster and applies the resources; ends the test if that fails.
begin() {
	cluster_start || { echo "the cluster cannot be started"; exit 1; }
	write_resources
	check "daemons become ready" wait_for 30 all_ready
	check "resources are applied" "$CTL" apply "$DIR/resources.toml"
	check "the group serves" wait_for 40 groups_serve
	[ $failures = 0 ] || finish
}

incarnation() { status "$1" | jq -r .incarnation; }
version_of() {
	"$CTL" get --json --server "$(daemon_url "$1")" "$2" 2>/dev/null | jq -r '.items[0].version'
}
# run_count KEY: how often the plain service ran the key.
run_count() { executed_requests "$(booking_url)" | jq --arg k "$1" '[.requests[] | select(.key == $k)] | length'; }
# protected_call DAEMON KEY: a protected call; its answer is stored for check_outcome.
protected_call() { reserve "$1" "$2" '{"plot": 1}' -w '\n%{http_code}' >"$DIR/answer-$2"; }
# check_outcome KEY: checks that the call ran as often as its caller was told.
check_outcome() {
	local runs reported
	runs=$(run_count "$1")
	case $(tail -n 1 "$DIR/answer-$1") in
	2*) check "$1 was answered and ran once" equal "$runs" 1 ;;
	*)
		reported=$(outcome "$(head -n 1 "$DIR/answer-$1")")
		check "the answer to $1 has an outcome" [ -n "$reported" ]
		[ "$reported" = not-run ] && check "$1 did not run" equal "$runs" 0
		check "$1 ran once at most" at_most "$runs" 1
		;;
	esac
}

TEAM=team/crane-crews
IN_FORCE_S=10 # bound within which an accepted change is in force everywhere
# apply_limit DAEMON LIMIT [ARGS...]: sets the team's limit through a daemon.
apply_limit() {
	printf '[[team]]\nname = "crane-crews"\npriority = 0\nconcurrent = %s\n' "$2" >"$DIR/change.toml"
	"$CTL" apply --server "$(daemon_url "$1")" "${@:3}" "$DIR/change.toml" >"$DIR/applied" 2>&1
}
has_version() { [ "$(version_of "$1" "$TEAM")" -ge "$2" ]; }
# check_change_result STATUS BEFORE: the result of apply holds at every daemon: the change is in
# force, or it was refused and the version is the one from before.
check_change_result() {
	local d now
	now=$(sed -n 's/.* is in force at version //p' "$DIR/applied")
	check "the change is in force or refused: $(tail -n 1 "$DIR/applied")" at_most "$1" 1
	for d in $DAEMONS; do
		if [ "$1" = 0 ]; then
			check "$d has the change" wait_for $IN_FORCE_S has_version "$d" "$now"
		else
			check "$d kept its version" equal "$(version_of "$d" "$TEAM")" "$2"
		fi
	done
}
inject_fault() { fetch -f "$1/fault" -d "$2" >/dev/null; }
# head_url: the URL of the head of the first serving group.
head_url() { vm_url "$(complete_groups | sed -n '1s/.* //; 1s/,.*//p')"; }
outcome() { echo "$1" | jq -r '.outcome // empty' 2>/dev/null; }
