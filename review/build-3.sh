#!/bin/sh
# Builds what the scripts of the third review start beside the daemons: one program with
# the store, the runners and the clients. It uses nothing but the standard library.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o ../../target/review-standin-3 .
