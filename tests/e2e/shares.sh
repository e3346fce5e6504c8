#!/bin/bash
# The daemons' shares of a team's limit follow demand, and a daemon without a share accepts
# its first requests as long as the team is far below its limit.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
ROUNDS=6

begin
printf '[[team]]\nname = "crane-crews"\npriority = 0\nconcurrent = 9\n' >"$DIR/change.toml"
check "a limit of 9 in progress is applied" "$CTL" apply "$DIR/change.toml"
for ((i = 0; i < ROUNDS; i++)); do
	chat d1 crane-crews 60 -o "$DIR/stream" &
	job=$!
	sleep "0.$((i + 2))"
	for d in d2 d3; do
		chat $d crane-crews 3 -o "$DIR/other"
		check "round $i: $d accepts a request with one in progress at d1" stream_is_complete "$DIR/other" 3 ||
			tail -c 300 "$DIR/other"
	done
	wait $job
	check "round $i: the stream at d1 is complete" stream_is_complete "$DIR/stream" 60
done

# A limit is enforced as soon as apply reports the change as in force.
for ((i = 0; i < 3; i++)); do
	for limit in 600 4; do
		printf '[[team]]\nname = "crane-crews"\npriority = 0\nrequests_per_minute = %d\n' $limit \
			>"$DIR/change.toml"
		"$CTL" apply "$DIR/change.toml" >"$DIR/applied" 2>&1
	done
	accepted=0
	for ((k = 0; k < 8; k++)); do
		chat d1 crane-crews 1 -o "$DIR/other"
		stream_is_complete "$DIR/other" 1 && accepted=$((accepted + 1))
	done
	check "change $i: $accepted of 8 are accepted with a limit of 4" [ $accepted -le 4 ]
done
finish
