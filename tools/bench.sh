#!/usr/bin/env bash
# Runs all benches; docs/MEASUREMENTS.md explains their output. Status 1 if
# one misses its bound.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
for it in path size scale; do
    echo "== $it"
    python3 "bench/${it}_bench.py" --build "$1" || failed=1
done
exit "$failed"
