"""Bursts of large requests to real processes."""

import http.client
import threading
import time
import unittest

from process_fixture import ProcessTest

import fleet as fleets

MB = 1_000_000
#: Memory of a VM; the budget for large requests is a quarter of it.
MEMORY_MB = 160
BODY = bytes(8 * MB)
CALLERS = 24
BURST_S = 3
TIMEOUT_S = 20


class LargeRequestsTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.settings = {
            "machine": {"memory_mb": MEMORY_MB},
            "limits": {"request_body_bytes": 16 * MB}}
        #: Status and outcome of each answer, or the name of the exception.
        self.results: list[tuple[object, str]] = []
        self.peak_mb = 0.0

    def send(self, vm: fleets.Vm) -> tuple[object, str]:
        connection = http.client.HTTPConnection(vm.callers, timeout=TIMEOUT_S)
        try:
            connection.request("POST", "/booking/orders", BODY, {
                "Authorization": "Bearer bathers-secret"})
            answer = connection.getresponse()
            answer.read()
            return answer.status, answer.getheader("Pomelohinge-Outcome", "")
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__, ""
        finally:
            connection.close()

    def call(self, vm: fleets.Vm, end: float) -> None:
        while time.monotonic() < end:
            self.results.append(self.send(vm))

    def burst(self, vm: fleets.Vm) -> None:
        """Sends large requests to a VM and records its resident memory."""
        assert vm.process is not None
        end = time.monotonic() + BURST_S
        callers = [threading.Thread(target=self.call, args=(vm, end))
                   for _ in range(CALLERS)]
        for it in callers:
            it.start()
        while any(it.is_alive() for it in callers):
            self.peak_mb = max(
                self.peak_mb, fleets.resident_mb(vm.process.pid))
            time.sleep(0.005)

    def test_burst_of_large_requests_stays_within_memory_and_cuts_none(self):
        self.start_fleet()
        vm = self.vms[0]
        assert vm.process is not None
        idle_mb = fleets.resident_mb(vm.process.pid)
        self.burst(vm)
        self.assert_running(vm)
        self.assertLess(self.peak_mb, 0.75 * MEMORY_MB)
        served = self.results.count((200, ""))
        self.assertGreater(served, 3, self.results)
        for status, outcome in self.results:
            if status != 200:
                self.assertEqual((status, outcome), (503, "not_run"))
        time.sleep(1)
        self.assertLess(
            fleets.resident_mb(vm.process.pid), idle_mb + 2 * len(BODY) / MB)


if __name__ == "__main__":
    unittest.main()
