"""Fixture of the tests that run real processes.

The programs are taken from the folder in POMELOHINGE_BUILD, `build` if it is
not set.
"""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tools")]

import fleet as fleets  # noqa: E402

BUILD = os.environ.get("POMELOHINGE_BUILD", str(ROOT / "build"))
DATA_CENTRES = ["ain-sebaa", "sidi-maarouf"]
#: Requests per second and burst.
RATES = {"bathers": (1000.0, 1000)}


class ProcessTest(unittest.TestCase):
    """A fleet of `vms_each` VMs and `upstreams_each` targets of the service
    "booking" in each data centre. No process runs until a test starts it."""

    vms_each = 1
    upstreams_each = 2

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="pomelohinge-test-")
        self.addCleanup(folder.cleanup)
        self.fleet = fleets.Fleet(BUILD, folder.name)
        self.addCleanup(self.fleet.close)
        self.fleet.add_vms(DATA_CENTRES, self.vms_each)
        self.fleet.add_upstreams(
            "booking", DATA_CENTRES, self.upstreams_each, 6, 9100)
        self.vms = list(self.fleet.vms.values())
        self.upstreams = list(self.fleet.upstreams.values())

    def configuration(self) -> fleets.Configuration:
        return fleets.make_configuration(self.fleet, RATES, DATA_CENTRES)

    def start_fleet(self) -> None:
        """Starts all processes and waits until the fleet is ready."""
        self.fleet.start(self.configuration())

    def log_of(self, vm: fleets.Vm) -> str:
        path = self.fleet.run_dir / f"{vm.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def assert_running(self, vm: fleets.Vm) -> None:
        assert vm.process is not None
        self.assertIsNone(vm.process.poll(), self.log_of(vm)[-2000:])

    def assert_stops(self, vm: fleets.Vm, timeout_s: float) -> None:
        """Checks that a VM ends with status 0 after SIGTERM."""
        assert vm.process is not None
        vm.process.send_signal(signal.SIGTERM)
        try:
            status = vm.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.fail(f"{vm.name} still runs {timeout_s} s after SIGTERM")
        self.assertEqual(status, 0, self.log_of(vm)[-2000:])
