#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/cornelspindled
[ -x $daemon ] && [ -x target/review-2/edge-cases ] || exit 2
timeout -k 5 110 target/review-2/edge-cases unanswered $daemon review/10/record.txt
status=$?
[ $status -le 1 ] || status=2
exit $status
