#!/bin/sh
# run-tests.sh units|e2e|all TREE...: runs the tests of each build tree. units: those that keep the
# CPUs busy; e2e: those with clusters of real processes, which mostly wait; all: both, side by side.
# Tests that KNOWN-RED.txt lists are run separately and printed: they may fail, and a listed test
# that passes is an error, so that the list stays current.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
list=$root/KNOWN-RED.txt
known_failures=$(sed -n 's/^test: *//p' "$list" 2>/dev/null)
skip=$(printf '%s' "$known_failures" | sed 's/[.[\*^$]/\\&/g; s/.*/^&$/' | paste -sd '|' -)
status=0
part=$1
shift

run_known_failure() { # run_known_failure WHAT COMMAND...
	what=$1
	shift
	echo "known red: $what (see KNOWN-RED.txt)"
	if "$@" >/dev/null 2>&1; then
		echo "error: $what is listed in KNOWN-RED.txt but passes"
		status=1
	fi
}

# run_unlisted TREE OPTION...: runs tests that are not listed.
run_unlisted() {
	tree=$1
	shift
	if [ -n "$skip" ]; then
		ctest --test-dir "$tree" --output-on-failure -E "$skip" "$@" || status=1
	else
		ctest --test-dir "$tree" --output-on-failure "$@" || status=1
	fi
}

run_units() {
	sed -n 's/^open/known open/p' "$list" 2>/dev/null
	for tree in "$@"; do
		run_unlisted "$tree" -LE e2e -j 5
	done
	# Seeded failures do not depend on the build options: the first tree is enough.
	sed -n 's/^seeded: *//p' "$list" 2>/dev/null >"${TMPDIR:-/tmp}/seeded.$$"
	while read -r program arguments; do
		# shellcheck disable=SC2086
		run_known_failure "$program $arguments" "$1/$program" $arguments
	done <"${TMPDIR:-/tmp}/seeded.$$"
	rm -f "${TMPDIR:-/tmp}/seeded.$$"
}

run_e2e() {
	for tree in "$@"; do
		run_unlisted "$tree" -L e2e -j 5
		for t in $known_failures; do
			run_known_failure "$t" ctest --test-dir "$tree" -R "^$t\$"
		done
	done
}

# The output of the parts that run side by side is printed one after the other.
run_all() {
	output=$(mktemp) || exit 1
	"$0" e2e "$@" >"$output" 2>&1 &
	run_units "$@"
	wait $! || status=1
	cat "$output"
	rm -f "$output"
}

case $part in
units) run_units "$@" ;;
e2e) run_e2e "$@" ;;
all) run_all "$@" ;;
*)
	echo "run-tests.sh: unknown part \"$part\", expected units, e2e or all" >&2
	exit 2
	;;
esac
exit $status
