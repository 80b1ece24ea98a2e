#!/usr/bin/env bash
# Checks the format, the layers and the linter's findings.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/sources.sh | xargs clang-format --dry-run --Werror
python3 tools/check_layers.py
