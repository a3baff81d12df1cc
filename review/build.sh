#!/bin/sh
# Builds the stand-ins that the scripts start, into target/.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
