#!/usr/bin/env bash
# Checks what the scripts need: the daemon of the deploy file, and Python with
# its standard library. All stand-ins are Python programs under review/lib and
# in the folders of the cases, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/pomelohinged_platform ]; then
    cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release \
        -DPOMELOHINGE_ONLY_PLATFORM=ON
    ninja -C target pomelohinged_platform
fi
python3 -m py_compile review/lib/deployment.py review/[0-9]*/*.py
