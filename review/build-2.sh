#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-standin-2 .
