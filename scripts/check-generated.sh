#!/usr/bin/env bash
# Fails when the committed code of the protocols between nodes is not what their
# descriptions give. Passes with a note when protoc is not installed.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc >/dev/null; then
  echo "check-generated: not run, protoc is not installed"
  exit 0
fi
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
for name in control exchange; do
  scripts/generate.sh "$name" "$generated"
  # The line that names protoc's own version may differ between machines.
  for file in "$name.pb.go" "$name.twirp.go"; do
    if ! diff -I '^// 	protoc  ' "$generated/$file" "internal/${name}pb/$file" >"$generated/difference"; then
      echo "check-generated: internal/${name}pb/$file is out of date; run make generate"
      head -n 20 "$generated/difference"
      exit 1
    fi
  done
done
echo "check-generated: current"
