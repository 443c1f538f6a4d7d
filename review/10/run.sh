#!/bin/sh
# Case 10 of the second review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/spurwinch ] && [ -x bin/review-2 ] || exit 2
timeout -k 5 110 bin/review-2 devices review/10
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
