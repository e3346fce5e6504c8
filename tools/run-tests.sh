#!/bin/sh
# Runs every test of each build tree given. What KNOWN-RED.txt lists is run apart and
# printed: it may fail, and one that passes is an error, so that the list stays true.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
list=$root/KNOWN-RED.txt
red=$(sed -n 's/^test: *//p' "$list" 2>/dev/null)
skip=$(printf '%s' "$red" | sed 's/[.[\*^$]/\\&/g; s/.*/^&$/' | paste -sd '|' -)
status=0

known() { # known WHAT COMMAND...
	what=$1
	shift
	echo "known red: $what (see KNOWN-RED.txt)"
	if "$@" >/dev/null 2>&1; then
		echo "error: $what is listed in KNOWN-RED.txt but passes"
		status=1
	fi
}

# run TREE OPTION...: runs tests that are not listed.
run() {
	tree=$1
	shift
	if [ -n "$skip" ]; then
		ctest --test-dir "$tree" --output-on-failure -E "$skip" "$@" || status=1
	else
		ctest --test-dir "$tree" --output-on-failure "$@" || status=1
	fi
}

# Clusters of real processes apart from what keeps processors busy.
for tree in "$@"; do
	run "$tree" -LE e2e -j 5
	run "$tree" -L e2e -j 3
	for t in $red; do
		known "$t" ctest --test-dir "$tree" -R "^$t\$"
	done
done

# Seeded faults do not depend on how a tree was built: the first one shows them.
sed -n 's/^seeded: *//p' "$list" 2>/dev/null >"${TMPDIR:-/tmp}/seeded.$$"
while read -r program arguments; do
	# shellcheck disable=SC2086
	known "$program $arguments" "$1/$program" $arguments
done <"${TMPDIR:-/tmp}/seeded.$$"
rm -f "${TMPDIR:-/tmp}/seeded.$$"
exit $status
