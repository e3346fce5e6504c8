#!/bin/bash
# A daemon routes requests to a group as soon as its status shows the group as serving: each
# daemon gets a request as soon as its status changes.
# shellcheck disable=SC2317
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
ROUNDS=3
WAIT_S=30

# model_group N: a group of one member, served under its own name.
model_group() {
	printf '[[model_group]]\nname = "yard-%d"\nmodel = "yard-%d"\nversion = "v1"\n' "$1" "$1"
	printf 'zones = ["almaty-a"]\nreplicas = 1\nmembers = 1\n'
}
# request_at_once DAEMON N: sends a request as soon as the daemon shows the group as serving.
request_at_once() {
	local url end
	url=$(daemon_url "$1")
	end=$((SECONDS + WAIT_S))
	until status "$1" | grep -q "yard-$2/[^}]*\"serving\""; do
		[ $SECONDS -lt $end ] || { echo "not shown as serving" >"$DIR/code-$1"; return; }
	done
	curl -s --max-time 10 -o "$DIR/answer-$1" -w '%{http_code}' "$url/v1/chat/completions" \
		-H "Authorization: Bearer $TOKEN" -d "{\"model\": \"yard-$2\", \"max_tokens\": 2,
		\"messages\": [{\"role\": \"user\", \"content\": \"hello\"}]}" >"$DIR/code-$1"
}

cluster_start || { echo "the cluster cannot be started"; exit 1; }
check "daemons become ready" wait_for 30 all_ready
printf '[[team]]\nname = "crane-crews"\npriority = 0\n' >"$DIR/resources.toml"
TOKEN=$(token crane-crews)
for ((i = 0; i < ROUNDS; i++)); do
	model_group "$i" >>"$DIR/resources.toml"
	check "group $i is declared" "$CTL" apply "$DIR/resources.toml"
	jobs=()
	for d in $DAEMONS; do
		request_at_once "$d" "$i" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	for d in $DAEMONS; do
		check "$d serves the group that its status shows as serving" equal "$(cat "$DIR/code-$d")" 200 || cat "$DIR/answer-$d"
	done
done
finish
