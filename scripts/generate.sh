#!/usr/bin/env bash
# Writes the Go code of one protocol between nodes into the directory given.
# Usage: scripts/generate.sh NAME DIRECTORY, with NAME as in internal/NAMEpb/NAME.proto
set -euo pipefail
cd "$(dirname "$0")/.."
name=$1
destination=$2
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -modfile=tools/go.mod -o "$plugins/" \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$plugins:$PATH" protoc --proto_path="internal/${name}pb" \
  --go_out="$destination" --go_opt=paths=source_relative \
  --twirp_out="$destination" --twirp_opt=paths=source_relative \
  "$name.proto"
