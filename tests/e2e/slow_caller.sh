#!/bin/bash
# Callers that stop reading cost the daemon a bounded amount of memory and do not delay other
# callers; a caller that resumes reading gets its complete answer.
# shellcheck disable=SC2317
TOKENS_PER_SECOND=5000
# Freed memory in the sanitizer's quarantine would count towards the daemon's resident size.
export ASAN_OPTIONS=quarantine_size_mb=1
# shellcheck source=tests/e2e/e2e.sh
. "$(dirname "$0")/e2e.sh"
CALLERS=3
TOKENS=200000        # of each slow caller: about 30 MB, more than sockets buffer
MAX_GROWTH_KB=16384  # of the daemon, for all of them

rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }

begin
before=$(rss_kb d1)
for ((i = 0; i < CALLERS; i++)); do
	start_process "caller-$i" curl -sN --max-time 90 -o "$DIR/slow-$i" -H 'Content-Type: application/json' \
		-H "Authorization: Bearer $(token crane-crews)" \
		"$(daemon_url d1)/v1/chat/completions" -d "{\"model\": \"assistant\", \"stream\":
		true, \"max_tokens\": $TOKENS, \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}"
done
sleep 0.3
for ((i = 0; i < CALLERS; i++)); do
	signal "caller-$i" STOP
done
sleep 4
chat d1 crane-crews 20 -o "$DIR/other"
check "another caller gets its answer" stream_is_complete "$DIR/other" 20
check "the back end still runs the slow callers' requests" equal "$(fetch "$(head_url)/v1/report" | jq .running)" $CALLERS
check "the daemon's memory stays bounded" at_most $(($(rss_kb d1) - before)) $MAX_GROWTH_KB
for ((i = 0; i < CALLERS; i++)); do
	signal "caller-$i" CONT
done
for ((i = 0; i < CALLERS; i++)); do
	reap "caller-$i"
	check "caller $i got all tokens" equal "$(grep -c '^id:' "$DIR/slow-$i")" $TOKENS
	check "caller $i got the end mark" grep -q '^data: \[DONE\]' "$DIR/slow-$i"
done
finish
