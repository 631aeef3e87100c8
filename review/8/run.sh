#!/bin/sh
# Runs the case, see claim.txt. TROUBLE=0 runs it without the disruption. Build first: the build line of
# deploy/balancer.toml, then review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x bin/sloepick ] || [ ! -x bin/review-standins-2 ]; then
	echo "bin/sloepick or bin/review-standins-2 is missing" >&2
	exit 2
fi
exec bin/review-standins-2 slow-discovery "$here/record.txt"
