#!/usr/bin/env bash
# Regenerates drivers/peers/generated from peers.proto. The generated files are
# committed, so that a build needs neither protoc nor its gRPC plug-in.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I drivers/peers --cpp_out=drivers/peers/generated \
    --grpc_out=drivers/peers/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
    drivers/peers/peers.proto
