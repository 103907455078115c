#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/standin-4"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-4 .
