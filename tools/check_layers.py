#!/usr/bin/env python3
"""Checks that no folder includes one above it.

The layers, lowest first, are those of docs/DESIGN.md. Exit status 1 with a
line for each wrong include.
"""

import pathlib
import re
import subprocess
import sys

#: Folders by layer; a file may include its own layer and those below.
LAYERS = {
    "core": 0,
    "config": 1,
    "servers": 2,
    "charts": 2,
    "drivers": 3,
    "main": 4,
    "platform": 5,
    "stand_ins": 5,
    "bench": 6,
    "tests": 6,
}

#: What stand-ins may use besides their own folder.
STAND_INS_MAY_USE = {"core", "stand_ins", "drivers"}

#: Headers that decisions must not see.
NOT_FOR_DECISIONS = re.compile(
    r"#include <(restinio|curl|grpc|asio|nlohmann)")

#: Names of the users' platform, which only its adapter may use.
PLATFORM_NAMES = re.compile(
    r"X-Api-Key|X-Deadline-Ms|X-Tenant|X-Target-Instance|X-Not-Executed"
    r"|X-Response-Signature|X-Instance-Id|X-Warmup-Ms|pathPrefix|trafficSplit"
    r"|warmupPerS|warmupLeftS|ratePerS|apiKeys|timeoutS|aimS|ttlS|allowStale"
    r"|evacuations|non_idempotent_kind|/resolve")

#: Where these names may stand.
PLATFORM_FOLDERS = ("platform/", "deploy/", "docs/", "tests/platform/",
                    "journal/", "tools/check_layers.py")

INCLUDE = re.compile(r'#include "([a-z_]+)/')


def findings_of(path: pathlib.Path) -> list[str]:
    """Returns a line for each include of `path` that breaks the layers."""
    folder = path.parts[0]
    found = []
    for number, line in enumerate(
            path.read_text(encoding="utf-8").splitlines(), 1):
        match = INCLUDE.match(line)
        if match and match[1] in LAYERS:
            if LAYERS[match[1]] > LAYERS[folder]:
                found.append(f"{path}:{number}: {folder} includes {match[1]}")
            if folder == "stand_ins" and match[1] not in STAND_INS_MAY_USE:
                found.append(f"{path}:{number}: a stand-in includes {match[1]}")
        if folder == "servers" and NOT_FOR_DECISIONS.match(line):
            found.append(f"{path}:{number}: decisions include an encoding")
    return found


def platform_findings() -> list[str]:
    """Returns a line for each name of the platform outside its adapter."""
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"],
                           check=True, capture_output=True,
                           text=True).stdout.splitlines()
    found = []
    for name in files:
        path = pathlib.Path(name)
        if name.startswith(PLATFORM_FOLDERS) or not path.is_file():
            continue
        for number, line in enumerate(
                path.read_text(encoding="utf-8", errors="replace")
                .splitlines(), 1):
            if match := PLATFORM_NAMES.search(line):
                found.append(f"{name}:{number}: {match[0]} is the platform's")
    return found


def main() -> int:
    """Checks all files and prints what is wrong."""
    found = platform_findings()
    for folder in LAYERS:
        for path in sorted(pathlib.Path(folder).rglob("*.[hc]pp")):
            found += findings_of(path)
    print("\n".join(found) if found else "layers: no findings")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
