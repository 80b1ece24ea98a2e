#!/usr/bin/env python3
"""Checks the dependencies between the folders.

A folder may include only its own layer and those below (docs/DESIGN.md), and
names of the users' platform may stand only in the adapter for it. Prints a
line for each violation and exits with status 1 if there are any.
"""

import pathlib
import re
import subprocess
import sys

#: Layer of each folder; 0 is the lowest.
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

#: Folders that stand-ins may include.
STAND_IN_DEPENDENCIES = {"core", "stand_ins", "drivers"}

#: Headers of network and message-format libraries, which the decision logic
#: (servers/) must not include.
ENCODING_INCLUDE = re.compile(
    r"#include <(restinio|curl|grpc|asio|nlohmann)")

#: Names of the users' platform.
PLATFORM_NAME = re.compile(
    r"X-Api-Key|X-Deadline-Ms|X-Tenant|X-Target-Instance|X-Not-Executed"
    r"|X-Response-Signature|X-Instance-Id|X-Warmup-Ms|pathPrefix|trafficSplit"
    r"|warmupPerS|warmupLeftS|ratePerS|apiKeys|timeoutS|aimS|ttlS|allowStale"
    r"|evacuations|toVersion|finishByS|non_idempotent_kind|/resolve")

#: Paths where names of the platform are permitted, as prefixes.
PLATFORM_PATHS = ("platform/", "deploy/", "docs/", "tests/platform/",
                  "journal/", "tools/check_layers.py")

INCLUDE = re.compile(r'#include "([a-z_]+)/')


def include_findings(path: pathlib.Path) -> list[str]:
    """Returns a line for each include of `path` that is not permitted."""
    folder = path.parts[0]
    findings = []
    for number, line in enumerate(
            path.read_text(encoding="utf-8").splitlines(), 1):
        match = INCLUDE.match(line)
        if match and match[1] in LAYERS:
            if LAYERS[match[1]] > LAYERS[folder]:
                findings.append(
                    f"{path}:{number}: {folder}/ must not include {match[1]}/")
            if (folder == "stand_ins"
                    and match[1] not in STAND_IN_DEPENDENCIES):
                findings.append(
                    f"{path}:{number}: {folder}/ must not include {match[1]}/")
        if folder == "servers" and ENCODING_INCLUDE.match(line):
            findings.append(f"{path}:{number}: {folder}/ must not include "
                            "network or message-format libraries")
    return findings


def platform_findings() -> list[str]:
    """Returns a line for each use of a platform name outside its adapter."""
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"],
                           check=True, capture_output=True,
                           text=True).stdout.splitlines()
    findings = []
    for name in files:
        path = pathlib.Path(name)
        if name.startswith(PLATFORM_PATHS) or not path.is_file():
            continue
        for number, line in enumerate(
                path.read_text(encoding="utf-8", errors="replace")
                .splitlines(), 1):
            if match := PLATFORM_NAME.search(line):
                findings.append(f"{name}:{number}: {match[0]} is a name of "
                                "the users' platform")
    return findings


def main() -> int:
    """Checks all files and prints the findings."""
    findings = platform_findings()
    for folder in LAYERS:
        for path in sorted(pathlib.Path(folder).rglob("*.[hc]pp")):
            findings += include_findings(path)
    print("\n".join(findings) if findings else "layers: no findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
