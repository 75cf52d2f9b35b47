#!/usr/bin/env bash
# Fails when the committed code of the control protocol is not what its
# description gives. Passes with a note when protoc is not installed.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc >/dev/null; then
  echo "check-generated: not run, protoc is not installed"
  exit 0
fi
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
scripts/generate.sh "$generated"
# The line that names protoc's own version may differ between machines.
for file in control.pb.go control.twirp.go; do
  if ! diff -I '^// 	protoc  ' "$generated/$file" "internal/controlpb/$file" >"$generated/difference"; then
    echo "check-generated: internal/controlpb/$file is out of date; run make generate"
    head -n 20 "$generated/difference"
    exit 1
  fi
done
echo "check-generated: current"
