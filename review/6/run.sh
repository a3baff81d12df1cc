#!/bin/sh
# Changes a large configuration twice in quick succession, several times.
# Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0 makes one change at a time.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin2 config-missed review/6
