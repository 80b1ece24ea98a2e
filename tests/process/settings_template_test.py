"""The settings template of the deploy file, filled in with odd sheets."""

import copy
import json
import os
import pathlib
import re
import subprocess
import tempfile
import unittest
from typing import Any

from process_fixture import BUILD, ROOT

DAEMON = f"{BUILD}/pomelohinged_platform"
TEMPLATE = ROOT / "deploy" / "settings.jsonc"
#: Value of a field that the sheet lacks.
ABSENT = object()

SHEET: dict[str, Any] = {
    "node": "front-ain-sebaa-1", "ip": "127.4.0.5", "zone": "ain-sebaa",
    "portRange": [7660, 7675], "seeds": ["127.4.0.5:8407", "127.4.0.6:8407"],
    "zones": {"ain-sebaa": "casa-settat", "bouskoura": "casa-settat"},
    "listen": {"front": "127.4.0.5:8405", "ready": "127.4.0.5:8406",
               "control": "127.4.0.5:8407", "directory": "127.4.0.5:8404"},
    "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260,
               "linkMbps": 1000.0},
    "bounds": {"graceS": 6, "strictRevoke": True, "revokeS": 5,
               "retryBudgetRatio": 0.2, "budgetWindowS": 10,
               "budgetExtra": 60, "floorShare": 0.7, "exposeShare": 0.1,
               "exposeExtra": 50, "rollbackS": 5},
    "platform": {"address": "127.4.0.9:8408"},
}


def lookup(name: str, scopes: list[Any]) -> Any:
    """Returns the value of a name in the innermost scope that has it."""
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def as_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(as_text(it) for it in value)
    if isinstance(value, (bool, dict)):
        return json.dumps(value)
    return str(value)


def render(template: str, scopes: list[Any]) -> str:
    """Fills in the sections and placeholders of a template."""
    def section(match: re.Match[str]) -> str:
        kind, name, body = match.groups()
        value = lookup(name, scopes)
        is_absent = value is None or value is False
        if kind == "^":
            return render(body, scopes) if is_absent else ""
        if is_absent:
            return ""
        if isinstance(value, (list, dict)):
            entries = list(value.values() if isinstance(value, dict)
                           else value)
            return "".join(
                render(body.replace("{{,}}", "," if n < len(entries) else ""),
                       [*scopes, it]) for n, it in enumerate(entries, 1))
        return render(body, [*scopes, value])

    def placeholder(match: re.Match[str]) -> str:
        value = lookup(match[1], scopes)
        if match[2]:
            return "" if value is None else json.dumps(value)
        return as_text(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section,
                  template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def changed(**changes: Any) -> dict[str, Any]:
    """Returns the sheet with changes; "__" stands for a dot in a name."""
    sheet = copy.deepcopy(SHEET)
    for name, value in changes.items():
        *path, last = name.split("__")
        scope = sheet
        for it in path:
            scope = scope[it]
        if value is ABSENT:
            del scope[last]
        else:
            scope[last] = value
    return sheet


class SettingsTemplateTest(unittest.TestCase):
    def check(self, sheet: dict[str, Any], **environment: str
              ) -> subprocess.CompletedProcess[str]:
        with tempfile.TemporaryDirectory(prefix="pomelohinge-test-") as folder:
            path = pathlib.Path(folder, "settings")
            path.write_text(render(TEMPLATE.read_text(encoding="utf-8"),
                                   [sheet]), encoding="utf-8")
            arguments = [] if environment else ["--settings", str(path)]
            return subprocess.run(
                [DAEMON, "--check-settings", *arguments], text=True,
                capture_output=True, timeout=20, check=False,
                env={**os.environ, **{name: str(path) for name
                                      in environment}})

    def assert_accepted(self, **changes: Any) -> str:
        with self.subTest(**changes):
            checked = self.check(changed(**changes))
            self.assertEqual(checked.returncode, 0, checked.stderr)
            return checked.stderr
        return ""

    def test_full_sheet_is_accepted_without_adjustments(self):
        self.assertEqual(self.assert_accepted(), "")

    def test_path_from_environment_is_used_without_option(self):
        checked = self.check(SHEET, POMELOHINGE_SETTINGS="")
        self.assertEqual(checked.returncode, 0, checked.stderr)

    def test_sheet_without_optional_field_is_accepted(self):
        for field in ["ip", "portRange", "seeds", "zones", "limits", "bounds",
                      "listen__ready", "listen__directory",
                      *(f"limits__{it}" for it in SHEET["limits"]),
                      *(f"bounds__{it}" for it in SHEET["bounds"])]:
            self.assert_accepted(**{field: ABSENT})

    def test_odd_limits_are_accepted(self):
        for field in SHEET["limits"]:
            for value in [0, -1, 0.0001, 0.5, 7.25, 64, 1e12]:
                self.assert_accepted(**{f"limits__{field}": value})

    def test_odd_bounds_are_accepted(self):
        for field in SHEET["bounds"]:
            for value in [0, 0.5, 1.0, 1e9, False]:
                self.assert_accepted(**{f"bounds__{field}": value})

    def test_addresses_with_two_uses_are_accepted(self):
        front = SHEET["listen"]["front"]
        self.assert_accepted(listen__directory=front)
        self.assert_accepted(listen__ready=front)
        self.assert_accepted(listen__ready=front, listen__directory=front)
        self.assert_accepted(listen__control="127.4.0.5:9464")

    def test_seeds_of_other_kinds_are_accepted(self):
        for seeds in [[], ["127.4.0.5:8407"], ["[::1]:8407"], ["host:8407"]]:
            self.assert_accepted(seeds=seeds)

    def test_value_out_of_range_is_reported(self):
        self.assertIn("floor", self.assert_accepted(bounds__floorShare=1.5))
        self.assertIn("cores", self.assert_accepted(limits__cores=0))

    def test_sheet_without_platform_is_refused(self):
        self.assertEqual(self.check(changed(
            platform__address="")).returncode, 2)


if __name__ == "__main__":
    unittest.main()
