#!/usr/bin/env bash
# Prints the C++ files that are written by hand, one a line.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.hpp' '*.cpp' | grep -v '/generated/'
