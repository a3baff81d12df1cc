#!/bin/sh
# Stops a daemon while orders wait there for a place at a busy runner.
# Exit status: 1 broken, 0 held, 2 could not run. TROUBLE=0 leaves out the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin2 stop-while-waiting review/9
