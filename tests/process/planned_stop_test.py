"""Planned stops of real processes."""

import unittest

from process_fixture import ProcessTest

#: The process ends early if nothing is open; half of the default stop limit.
STOP_S = 15


class PlannedStopTest(ProcessTest):
    def test_idle_vm_after_sigterm_ends_with_status_0(self):
        self.start_fleet()
        self.assert_stops(self.vms[0], STOP_S)
        self.assert_running(self.vms[1])


if __name__ == "__main__":
    unittest.main()
