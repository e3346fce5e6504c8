#!/usr/bin/env bash
# Runs every benchmark of a build tree: tables to the terminal, TSV below BUILD/bench-out.
# The first argument is the build tree, the others choose benchmarks by name.
set -u
build=${1:-build}
shift
out=$build/bench-out
mkdir -p "$out"
status=0
is_selected() {
	local name=$1
	shift
	[ $# = 0 ] && return 0
	case " $* " in *" $name "*) return 0 ;; esac
	return 1
}
for program in "$build"/bench/bench_*; do
	name=$(basename "$program")
	is_selected "$name" "$@" || continue
	echo "== $name"
	"$program" --tsv "$out/$name.tsv" || status=1
done
for script in gateway control claims; do
	is_selected "$script" "$@" || continue
	echo "== $script"
	TSV="$out/$script.tsv" "$(dirname "$0")/bench-$script.sh" "$build" || status=1
done
echo "TSV files: $out"
exit $status
