#!/usr/bin/env bash
# Lists the C++ files that are not generated, one per line.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.hpp' '*.cpp' | grep -v '/generated/'
