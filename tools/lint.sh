#!/usr/bin/env bash
# Checks the format, the layers and the linter's findings. The linter works
# from a compile database of its own, since it cannot read the compiler's
# precompiled headers.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/sources.sh | xargs clang-format --dry-run --Werror
python3 tools/check_layers.py
database=build/lint
cmake -S . -B "$database" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
git ls-files 'core/*.cpp' 'config/*.cpp' 'charts/*.cpp' 'servers/*.cpp' \
    'drivers/*.cpp' 'main/*.cpp' 'platform/*.cpp' |
    xargs -P "$(nproc)" -n 2 clang-tidy -p "$database" --quiet 2>/dev/null
echo "linter: no findings"
