#!/usr/bin/env bash
# Regenerates the committed protobuf and gRPC code of the inner protocol.
# Requires protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" buckthorncroft/wire/exchange.proto
protoc --cpp_out=. buckthorncroft/wire/placement.proto
