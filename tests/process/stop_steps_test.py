"""Planned stops while others hang: peers, the store and the reader of logs."""

import random
import signal
import unittest

from process_fixture import ProcessTest

#: The process ends early if nothing is open; half of the default stop limit.
STOP_S = 15


class StopStepsTest(ProcessTest):
    vms_each = 2

    def hub(self):
        """Returns a hub and the other VMs of its data centre."""
        hub = next(it for it in self.vms if it.status()["hub"] == it.name)
        return hub, [it for it in self.vms if it is not hub and
                     it.data_centre == hub.data_centre]

    def assert_clean_stop(self, vm) -> None:
        self.assert_stops(vm, STOP_S)
        self.assertEqual(self.fleet.events(vm, "stop_step_expired"), [])
        self.assertEqual(len(self.fleet.events(vm, "stopped")), 1)

    def test_hub_with_open_questions_stops(self):
        self.start_fleet()
        hub, _ = self.hub()
        self.assert_clean_stop(hub)

    def test_hub_with_frozen_members_stops(self):
        self.start_fleet()
        hub, members = self.hub()
        for it in members:
            self.fleet.pause(it)
        self.assert_clean_stop(hub)

    def test_member_with_frozen_hub_stops(self):
        self.start_fleet()
        hub, members = self.hub()
        self.fleet.pause(hub)
        self.assert_clean_stop(members[0])

    def test_hub_with_hanging_store_stops(self):
        self.start_fleet()
        hub, _ = self.hub()
        self.fleet.platform_process.send_signal(signal.SIGSTOP)
        self.assert_clean_stop(hub)

    def test_stops_of_all_vms_at_seeded_times_end_with_status_0(self):
        self.start_fleet()
        order = random.Random(38).sample(self.vms, len(self.vms))
        for it in order:
            self.fleet.request_stop(it)
            self.fleet.reload(it)
        for it in order:
            self.assert_clean_stop(it)


if __name__ == "__main__":
    unittest.main()
