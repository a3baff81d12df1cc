#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/review-2/ .
