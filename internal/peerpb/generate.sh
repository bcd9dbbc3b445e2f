#!/usr/bin/env bash
# Regenerates the protobuf code. Needs protoc; protoc-gen-go comes from go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin=protoc-gen-go="$bin/protoc-gen-go" --go_out="${1:-.}" --go_opt=paths=source_relative peer.proto streams.proto
# The protoc version differs between machines and does not affect the code.
sed -i '/^\/\/ \tprotoc  *v/d' "${1:-.}/peer.pb.go" "${1:-.}/streams.pb.go"
