#!/usr/bin/env bash
# Installs those of the given Debian packages that are not yet installed.
set -euo pipefail
missing=()
for it in "$@"; do
    dpkg -s "$it" >/dev/null 2>&1 || missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
