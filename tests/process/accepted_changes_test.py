"""Changes that were accepted just before the hubs that spread them end.

Hubs keep nothing: what one has read or has been told ends with it, and what
was accepted must still be in force everywhere within seconds and stay so.
"""

import http.client
import random
import signal
import time
import unittest

from process_fixture import DATA_CENTRES, ProcessTest, fleets

SEED = 38
#: Within these times a configuration is in force at each VM, and a withdrawn
#: key works nowhere.
IN_FORCE_S, REVOKED_S = 3.5, 5
#: How long it is watched that nothing reverts.
WATCHED_S = 2
#: The stop limit of the settings, 30 s, and the rest of the load.
STOP_S = 40


class AcceptedChangesTest(ProcessTest):
    vms_each = 4
    upstreams_each = 1

    def setUp(self) -> None:
        super().setUp()
        self.random = random.Random(SEED)
        self.start_fleet()
        self.version = 1

    def changed(self, **rates: tuple[float, int]) -> fleets.Configuration:
        """A configuration with the organisations of `rates` alone."""
        return fleets.make_configuration(self.fleet, rates, DATA_CENTRES)

    def apply(self, configuration: fleets.Configuration) -> None:
        self.fleet.apply(configuration, "--against", str(self.version))
        self.version += 1

    def hubs(self, *, with_standbys: bool) -> list[fleets.Vm]:
        """The hub of each data centre; with its standbys, all VMs but one."""
        chosen = []
        for name in DATA_CENTRES:
            members = [it for it in self.fleet.running()
                       if it.data_centre == name]
            hub = members[0].status()["hub"] or members[0].name
            chosen.append(self.fleet.vms[hub])
            if with_standbys:
                rest = [it for it in members if it.name != hub]
                chosen += self.random.sample(rest, len(rest) - 1)
        return chosen

    def kill(self, vms: list[fleets.Vm]) -> None:
        for it in vms:
            it.process.send_signal(signal.SIGKILL)
        for it in vms:
            it.process.wait()

    def versions(self) -> dict[str, int]:
        return {it.name: it.status()["configuration_version"]
                for it in self.fleet.running()}

    def assert_in_force(self, accepted_at: float) -> None:
        """Checks that the last accepted version is in force at all VMs in
        time, and that none goes back."""
        left_s = accepted_at + IN_FORCE_S - time.monotonic()
        try:
            self.fleet.wait_for(
                "the configuration", lambda: set(self.versions().values()) ==
                {self.version}, left_s)
        except TimeoutError:
            self.fail(f"not in force: {self.versions()} of {self.version}")
        end = time.monotonic() + WATCHED_S
        while time.monotonic() < end:
            self.assertEqual(set(self.versions().values()), {self.version})
            time.sleep(0.1)

    def ask(self, vm: fleets.Vm, key: str) -> int:
        connection = http.client.HTTPConnection(vm.callers, timeout=5)
        try:
            connection.request("GET", "/booking/times", headers={
                "Authorization": f"Bearer {key}"})
            return connection.getresponse().status
        finally:
            connection.close()

    def test_change_accepted_before_kill_of_hubs_is_in_force_everywhere(
            self):
        for number in range(3):
            hubs = self.hubs(with_standbys=number == 2)
            self.apply(self.changed(bathers=(900.0 + number, 900)))
            accepted_at = time.monotonic()
            time.sleep(self.random.uniform(0, 0.3))
            self.kill(hubs)
            self.assert_in_force(accepted_at)
            for it in hubs:
                self.fleet.start_vm(it)
            self.fleet.wait_ready()
        self.assertEqual(self.fleet.invariant_violations(), 0)

    def test_key_withdrawn_before_kill_of_hubs_works_nowhere(self):
        self.apply(self.changed(
            bathers=(1000.0, 1000), others=(1000.0, 1000)))
        self.assert_in_force(time.monotonic())
        for vm in self.fleet.running():
            self.assertEqual(self.ask(vm, "others-secret"), 200)
        hubs = self.hubs(with_standbys=True)
        self.apply(self.changed(bathers=(1000.0, 1000)))
        accepted_at = time.monotonic()
        self.kill(hubs)
        while time.monotonic() < accepted_at + REVOKED_S:
            for vm in self.fleet.running():
                self.ask(vm, "others-secret")
            time.sleep(0.1)
        for _ in range(3):
            for vm in self.fleet.running():
                self.assertNotEqual(self.ask(vm, "others-secret"), 200)
                self.assertEqual(self.ask(vm, "bathers-secret"), 200)

    def test_target_leaving_before_kill_of_hubs_gets_no_orders(self):
        leaving = self.upstreams[0]
        self.assertGreater(self.send_to_all(), 0)
        del self.fleet.upstreams[leaving.name]
        configuration = self.configuration()
        configuration.target(
            leaving.name, service=leaving.service,
            data_centre=leaving.data_centre, address=leaving.address,
            slots=leaving.slots, leaving=True)
        hubs = self.hubs(with_standbys=True)
        self.apply(configuration)
        accepted_at = time.monotonic()
        self.kill(hubs)
        while time.monotonic() < accepted_at + IN_FORCE_S:
            self.send_to_all()
        before = leaving.ledger()["runs"]
        for _ in range(5):
            self.assertEqual(self.send_to_all(), len(self.fleet.running()))
        self.assertEqual(leaving.ledger()["runs"], before)

    def send_to_all(self) -> int:
        """Sends a request to each VM; returns how many were served."""
        return sum(self.ask(it, "bathers-secret") == 200
                   for it in self.fleet.running())

    def test_hubs_and_standbys_stopped_beside_changes_cut_nothing(self):
        callers = self.fleet.start_callers({
            "seed": SEED, "duration_s": 8,
            "entries": [it.callers for it in self.vms],
            "ledgers": [it.address for it in self.upstreams],
            "tenants": [{
                "organisation": "bathers", "key": "bathers-secret",
                "service": "booking", "path": "/orders", "method": "POST",
                "payments": True, "requests_per_second": 60}]})
        time.sleep(2)
        stopped = self.hubs(with_standbys=True)
        for number, it in enumerate(stopped):
            self.fleet.request_stop(it)
            if number == 1:
                self.apply(self.changed(bathers=(900.0, 900)))
                accepted_at = time.monotonic()
            time.sleep(self.random.uniform(0, 0.25))
        staying = [it for it in self.vms if it not in stopped]
        self.fleet.wait_for("the configuration", lambda: all(
            it.status()["configuration_version"] == 2 for it in staying),
            accepted_at + IN_FORCE_S - time.monotonic())
        self.apply(self.changed(bathers=(950.0, 950)))
        for it in stopped:
            self.assertEqual(it.process.wait(STOP_S), 0)
        self.assert_in_force(time.monotonic())
        self.assertEqual(callers.wait(STOP_S), 0)
        report = self.fleet.report()
        result = report["all"]
        self.assertGreater(result["answered"], 300, result)
        self.assertEqual(
            (result["cut"], result["not_reached"], result["wrong"]),
            (0, 0, 0), result)
        self.assertEqual(
            (report["payments_doubled"], report["not_run_untrue"]), (0, 0))


if __name__ == "__main__":
    unittest.main()
