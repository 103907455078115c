#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2 .
cd ../standin-3
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-3 .
