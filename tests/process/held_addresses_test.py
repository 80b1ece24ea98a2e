"""Start of processes whose listening addresses are held by others."""

import signal
import socket
import time
import unittest

from process_fixture import ProcessTest

START_S = 15


class HeldAddressesTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.vm = self.vms[0]
        self.fleet.start_platform()
        self.fleet.apply(self.configuration())

    def hold(self, address: str) -> socket.socket:
        host, port = address.split(":")
        held = socket.socket()
        self.addCleanup(held.close)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((host, int(port)))
        held.listen()
        return held

    def wait_for_event(self, event: str, n: int = 1) -> None:
        self.fleet.wait_for(event, lambda: len(
            self.fleet.events(self.vm, event)) >= n, START_S)

    def assert_serves_after_release(self, address: str) -> None:
        held = self.hold(address)
        self.fleet.start_vm(self.vm)
        self.wait_for_event("address_awaited")
        time.sleep(1)
        self.assert_running(self.vm)
        self.assertEqual(len(self.fleet.events(
            self.vm, "address_awaited")), 1)
        self.assertEqual(self.fleet.events(self.vm, "started"), [])
        held.close()
        self.wait_for_event("started")

    def test_start_with_held_peers_address_serves_once_it_is_free(self):
        self.assert_serves_after_release(f"{self.vm.ip}:8081")

    def test_start_with_held_callers_address_serves_once_it_is_free(self):
        self.assert_serves_after_release(self.vm.callers)

    def test_start_with_held_operators_address_serves(self):
        held = self.hold(self.vm.operators)
        self.fleet.start_vm(self.vm)
        self.wait_for_event("started")
        held.close()
        self.fleet.wait_for("the operators' page", lambda: bool(
            self.vm.status()), START_S)

    def test_start_with_address_machine_does_not_have_yet_waits_for_it(self):
        self.vm.ip = "192.0.2.1"
        self.fleet.start_vm(self.vm)
        self.wait_for_event("address_awaited", 2)
        time.sleep(1)
        self.assert_running(self.vm)
        self.assertEqual(
            sorted(it["use"] for it in self.fleet.events(
                self.vm, "address_awaited")), ["operators", "peers"])
        self.assertEqual(self.fleet.events(self.vm, "address_refused"), [])
        self.assertEqual(self.fleet.events(self.vm, "control_started"), [])
        self.assert_stops(self.vm, START_S)

    def test_sigterm_while_address_is_held_ends_with_status_0(self):
        self.hold(f"{self.vm.ip}:8081")
        self.fleet.start_vm(self.vm)
        self.wait_for_event("address_awaited")
        self.assert_stops(self.vm, START_S)

    def test_start_beside_stopping_predecessor_takes_over_when_it_has_ended(
            self):
        for it in self.upstreams:
            self.fleet.start_upstream(it)
        self.fleet.start_vm(self.vm)
        self.wait_for_event("started")
        predecessor = self.vm.process
        predecessor.send_signal(signal.SIGTERM)
        self.fleet.start_vm(self.vm)
        self.wait_for_event("address_awaited")
        self.assertIsNone(predecessor.poll())
        self.assertEqual(len(self.fleet.events(
            self.vm, "front_listening")), 1)
        self.assertEqual(predecessor.wait(START_S), 0)
        self.wait_for_event("started", 2)


if __name__ == "__main__":
    unittest.main()
