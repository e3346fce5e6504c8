#!/bin/bash
# Operators send conflicting changes, based on the same version, through different daemons at
# once: one change per round is in force everywhere, the other operators are told that theirs
# is not, and no version decreases.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
ROUNDS=5

# apply_limit_expecting DAEMON LIMIT VERSION: sets the team's limit, which was seen at that version,
# in a separate change.
apply_limit_expecting() {
	printf '[[team]]\nname = "crane-crews"\npriority = 0\nconcurrent = %d\n' "$2" >"$DIR/$1.toml"
	"$CTL" apply --server "$(daemon_url "$1")" --expect "$TEAM=$3" "$DIR/$1.toml" >"$DIR/$1.applied" 2>&1
	echo $? >"$DIR/$1.code"
}
version_and_limit() {
	"$CTL" get --json --server "$(daemon_url "$1")" team/crane-crews 2>/dev/null |
		jq -r '.items[0] | "\(.version) \(.spec.concurrent)"'
}
limits_agree() { [ "$(version_and_limit d1)" = "$(version_and_limit d2)" ] && [ "$(version_and_limit d1)" = "$(version_and_limit d3)" ]; }

begin
version=$(version_of d1 "$TEAM")
for ((i = 0; i < ROUNDS; i++)); do
	jobs=()
	for d in d1 d2 d3; do
		apply_limit_expecting $d $((i * 10 + ${d#d})) "$version" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	check "round $i: all daemons agree" wait_for 10 limits_agree
	read -r now limit <<<"$(version_and_limit d1)"
	check "round $i: the version increases" [ "$now" -gt "$version" ]
	codes=""
	winner=""
	for d in d1 d2 d3; do
		codes="$codes$(cat "$DIR/$d.code")"
		[ $((i * 10 + ${d#d})) = "$limit" ] && winner=$d
	done
	check "round $i: the limit in force is one of the proposed limits" [ -n "$winner" ]
	check "round $i: the winning operator got success" equal "$(cat "$DIR/$winner.code")" 0
	check "round $i: the other operators got an error" equal "$(fold -w 1 <<<"$codes" | sort | xargs)" "0 1 1"
	apply_limit_expecting d1 99 "$version"
	check "round $i: a later change of the old version is refused" equal "$(cat "$DIR/d1.code")" 1
	check "round $i: the limit is unchanged" equal "$(version_and_limit d1)" "$now $limit"
	version=$now
done
finish
