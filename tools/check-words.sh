#!/bin/sh
# Checks that names of the hosted platform's protocol occur only in platform/: the other
# code has its own names for them.
set -eu
cd "$(dirname "$0")/.."
words='Request-Attempt|Server-Leaving|Store-Era|Deadline-Remaining|Prompt-Prefix|Expected-Instance|Response-Signature|Not-Executed|Server-Load|Instance-Identifier|Token-Counts|Request-Urgency|Weight-Versions|Expected-Version|Length-Hint|X-Api-Key|At-Server|log-append|log-read|log-newest|log-join|log-leave|log-owners|keyed\.(op|servers|status)|PathPrefix|TrafficSplit|TargetLatencyMs|StreamResumption|SessionAffinity|KvCacheTokens|InstanceId|HeartbeatMs|CloseMode|FormationMs|GracePeriodS|RetentionCount|MinLifetimeMs|LifetimeMs|ColdRemainingMs|Cold-Remaining|ColdPerS|ColdStartS|ColdOvershoot|EvacuationMs|AllowedRegions'
found=$(git grep -nE "\"[^\"]*($words)" -- 'packages/*.c' 'packages/*.h' 'standins/*.c' 'bench/*.c' || true)
[ -z "$found" ] && exit 0
echo "names of the hosted platform outside platform/:"
echo "$found"
exit 1
