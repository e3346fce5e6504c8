#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the kill.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/cornelspindled
standin=review/build/forgotten_head
[ -x "$daemon" ] && [ -x "$standin" ] || exit 2
timeout -k 2 100 "$standin" "$PWD/$daemon" "${TROUBLE:-1}" >review/2/record.txt 2>&1
status=$?
[ "$status" -le 1 ] || exit 2
# Of what the stand-ins check TWO alone counts here.
grep -q 'violation at [0-9]* ms: TWO: ' review/2/record.txt && exit 1
exit 0
