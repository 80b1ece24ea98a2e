#!/usr/bin/env bash
# Writes drivers/peers/generated anew from peers.proto. The result is
# committed, so that a build needs neither protoc nor its plug-in.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I drivers/peers --cpp_out=drivers/peers/generated \
    --grpc_out=drivers/peers/generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
    drivers/peers/peers.proto
