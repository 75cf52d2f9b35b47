#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The system itself is built with the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
