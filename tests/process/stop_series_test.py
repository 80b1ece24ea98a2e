"""Stops of several VMs at once, under callers."""

import time
import unittest

from process_fixture import DATA_CENTRES, ProcessTest, fleets

#: Before the first stop, s.
QUIET_S = 2
#: The stop limit of the settings, 30 s, and the rest of the load.
STOP_S = 40


class StopSeriesTest(ProcessTest):
    vms_each = 2

    def scenario(self) -> dict:
        return {
            "seed": 38, "duration_s": 12,
            "entries": [vm.callers for vm in self.vms],
            "ledgers": [it.address for it in self.upstreams],
            "tenants": [{
                "organisation": "bathers", "key": "bathers-secret",
                "service": "booking", "path": "/times",
                "requests_per_second": 80}],
        }

    def test_hub_and_another_stopped_beside_configuration_change_cut_nothing(
            self):
        self.start_fleet()
        callers = self.fleet.start_callers(self.scenario())
        hubs = [it for it in self.vms if it.status()["hub"] == it.name]
        time.sleep(QUIET_S)
        stopped = [hubs[0], next(
            it for it in self.vms if it not in hubs[:1] and
            it.data_centre == hubs[0].data_centre)]
        for it in stopped:
            self.fleet.request_stop(it)
            self.fleet.reload(it)
        configuration = fleets.make_configuration(
            self.fleet, {"bathers": (900.0, 900)}, DATA_CENTRES)
        self.fleet.apply(configuration)
        for it in stopped:
            self.fleet.request_stop(it)
            self.assertEqual(it.process.wait(STOP_S), 0)
        self.assertEqual(callers.wait(STOP_S), 0)
        result = self.fleet.report()["all"]
        self.assertGreater(result["answered"], 500, result)
        self.assertEqual(result["cut"], 0, result)


if __name__ == "__main__":
    unittest.main()
