"""Starts with a store that hangs, and with odd settings."""

import json
import socket
import unittest

from process_fixture import ProcessTest, fleets

START_S = 20
STOP_S = 15


class OddStartsTest(ProcessTest):
    def wait_serving(self, vm: fleets.Vm) -> None:
        self.fleet.wait_for(vm.name, lambda: vm.status()["standing"]
                            == "serving", START_S)

    def start_store(self) -> None:
        self.fleet.start_platform()
        self.fleet.apply(self.configuration())

    def hang_store(self) -> list[socket.socket]:
        """Accepts connections at the store's address and never answers."""
        host, port = self.fleet.platform.split(":")
        listener = socket.create_server((host, int(port)), backlog=256)
        self.addCleanup(listener.close)
        return [listener]

    def test_start_before_hanging_store_serves_once_store_answers(self):
        sockets = self.hang_store()
        for vm in self.vms:
            self.fleet.start_vm(vm)
        for vm in self.vms:
            self.fleet.wait_for("store_unreachable", lambda vm=vm: bool(
                self.fleet.events(vm, "store_unreachable")), START_S)
            self.assert_running(vm)
            self.assertNotEqual(vm.status()["standing"], "serving")
        for it in sockets:
            it.close()
        self.start_store()
        for vm in self.vms:
            self.wait_serving(vm)

    def test_sigterm_before_hanging_store_is_planned_stop(self):
        self.hang_store()
        for vm in self.vms:
            self.fleet.start_vm(vm)
            self.fleet.wait_for("control_started", lambda vm=vm: bool(
                self.fleet.events(vm, "control_started")), START_S)
        for vm in self.vms:
            self.assert_stops(vm, STOP_S)

    def test_vm_alone_with_unusual_machine_serves_and_stops(self):
        self.start_store()
        vm = self.vms[0]
        for cores in (0, -1, 0.5, 4096, 1e300):
            with self.subTest(cores=cores):
                self.fleet.settings = {"machine": {"cores": cores}}
                self.fleet.start_vm(vm)
                self.wait_serving(vm)
                self.assert_stops(vm, STOP_S)

    def test_start_with_most_traffic_threads_serves_and_stops(self):
        self.start_store()
        vm = self.vms[0]
        self.fleet.settings = {"traffic_threads": 64}
        self.fleet.start_vm(vm)
        self.wait_serving(vm)
        self.assert_stops(vm, STOP_S)

    def test_start_with_unknown_fields_names_them_or_serves(self):
        self.start_store()
        vm = self.vms[0]
        for field in ({"colour": "red"}, {"machine": {"colour": 1}},
                      {"limits": {"colour": None}}):
            with self.subTest(field=json.dumps(field)):
                self.fleet.settings = field
                self.fleet.start_vm(vm)
                status = vm.process.wait(START_S)
                self.assertEqual(status, 2)
                self.assertIn("colour", self.log_of(vm))

    def test_start_without_data_centre_is_refused_plainly(self):
        self.start_store()
        vm = self.vms[0]
        vm.data_centre = ""
        self.fleet.start_vm(vm)
        self.assertEqual(vm.process.wait(START_S), 2)
        self.assertIn("data_centre", self.log_of(vm))


if __name__ == "__main__":
    unittest.main()
