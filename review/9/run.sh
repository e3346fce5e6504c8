#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/edge-cases unanswered target/packages/daemon/cornelspindled review/9/record.txt
