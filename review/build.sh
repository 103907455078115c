#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
