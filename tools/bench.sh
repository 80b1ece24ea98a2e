#!/usr/bin/env bash
# Runs all benches: tools/bench.sh BUILD. docs/MEASUREMENTS.md explains their
# output. Exits with status 1 if one misses its bound.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
for it in path size scale; do
    echo "== $it"
    python3 "bench/${it}_bench.py" --build "$1" || failed=1
done
exit "$failed"
