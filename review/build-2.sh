#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file. Their
# stand-ins are written in Python, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast, pathlib
for it in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(it.read_text(), str(it))
END
