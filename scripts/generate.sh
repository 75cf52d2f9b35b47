#!/usr/bin/env bash
# Writes the Go code of the control protocol into the directory given.
# Usage: scripts/generate.sh DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
destination=$1
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -modfile=tools/go.mod -o "$plugins/" \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$plugins:$PATH" protoc --proto_path=internal/controlpb \
  --go_out="$destination" --go_opt=paths=source_relative \
  --twirp_out="$destination" --twirp_opt=paths=source_relative \
  control.proto
