"""The store is restored from a copy that lacks the latest changes.

What is in force must not go back, and changes after the restore must arrive.
"""

import http.client
import time
import unittest

from process_fixture import DATA_CENTRES, ProcessTest, fleets

IN_FORCE_S = 5
#: How long it is watched that nothing reverts.
WATCHED_S = 4


class RestoredStoreTest(ProcessTest):
    vms_each = 2
    upstreams_each = 1

    def setUp(self) -> None:
        super().setUp()
        self.fleet.platform_era = 1
        self.start_fleet()

    def apply(self, against: int, **rates: tuple[float, int]) -> None:
        self.fleet.apply(
            fleets.make_configuration(self.fleet, rates, DATA_CENTRES),
            "--against", str(against))

    def versions(self) -> set[int]:
        return {it.status()["configuration_version"]
                for it in self.fleet.running()}

    def wait_for_version(self, version: int) -> None:
        self.fleet.wait_for(
            f"version {version}", lambda: self.versions() == {version},
            IN_FORCE_S)

    def restore(self, age_s: float) -> None:
        connection = http.client.HTTPConnection(self.fleet.platform, timeout=2)
        self.addCleanup(connection.close)
        connection.request("POST", "/restore", str(int(age_s * 1000)))
        self.assertEqual(connection.getresponse().status, 200)

    def ask(self, vm: fleets.Vm, key: str) -> int:
        connection = http.client.HTTPConnection(vm.callers, timeout=5)
        try:
            connection.request("GET", "/booking/times", headers={
                "Authorization": f"Bearer {key}"})
            return connection.getresponse().status
        finally:
            connection.close()

    def assert_unchanged(self, version: int, span_s: float) -> None:
        end = time.monotonic() + span_s
        while time.monotonic() < end:
            self.assertEqual(self.versions(), {version})
            for vm in self.fleet.running():
                self.assertNotEqual(self.ask(vm, "others-secret"), 200)
                self.assertEqual(self.ask(vm, "bathers-secret"), 200)
            time.sleep(0.05)

    def test_withdrawn_key_stays_withdrawn_and_later_changes_arrive(self):
        self.apply(1, bathers=(1000.0, 1000), others=(1000.0, 1000))
        self.wait_for_version(2)
        time.sleep(1)
        before = time.monotonic()
        self.apply(2, bathers=(1000.0, 1000))
        self.wait_for_version(3)
        self.restore(time.monotonic() - before)
        self.assert_unchanged(3, 1)
        # The operators write again what was lost.
        self.apply(2, bathers=(1000.0, 1000))
        self.assert_unchanged(3, WATCHED_S)
        self.apply(3, bathers=(900.0, 900))
        self.wait_for_version(4)
        self.assertIn("store_era_changed", "".join(
            self.log_of(it) for it in self.fleet.running()))
        self.assertEqual(self.fleet.invariant_violations(), 0)


if __name__ == "__main__":
    unittest.main()
