"""Orders that run while their VM is frozen or their target is withdrawn."""

import http.client
import threading
import time
import unittest
from collections.abc import Callable

from process_fixture import ProcessTest, fleets

CALLERS = 12
#: More than a caller may wait for any answer.
TIMEOUT_S = 30
REFUSALS = {429, 500, 502, 503, 504}


class DisturbedOrdersTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.ended = threading.Event()
        #: Per order the status, or the text of the error.
        self.results: dict[str, "int | str"] = {}
        self.not_run: set[str] = set()

    def call(self, vm: fleets.Vm, caller: int) -> None:
        """Sends orders one after the other on a connection each."""
        number = 0
        while not self.ended.is_set():
            order = f"{caller}-{number}"
            number += 1
            connection = http.client.HTTPConnection(
                vm.callers, timeout=TIMEOUT_S)
            try:
                connection.request("POST", "/booking/order", "b" * 100, {
                    "Authorization": "Bearer bathers-secret",
                    "X-Payment-Id": order})
                answer = connection.getresponse()
                answer.read()
                self.results[order] = answer.status
                if answer.getheader("Pomelohinge-Outcome") == "not_run":
                    self.not_run.add(order)
            except (OSError, http.client.HTTPException) as error:
                self.results[order] = repr(error)
            finally:
                connection.close()

    def play(self, disturb: Callable[[], None]) -> None:
        """Disturbs the fleet while callers send orders to the first VM."""
        callers = [threading.Thread(target=self.call, args=(self.vms[0], it))
                   for it in range(CALLERS)]
        for it in callers:
            it.start()
        try:
            time.sleep(0.5)
            disturb()
            time.sleep(1.0)
        finally:
            self.ended.set()
            for it in callers:
                it.join()

    def assert_orders_true(self) -> None:
        """Checks that each order was answered, and that what was answered is
        what the targets' ledgers say."""
        self.assert_running(self.vms[0])
        runs: dict[str, int] = {}
        for it in self.upstreams:
            for order, count in it.ledger()["payments"].items():
                runs[order] = runs.get(order, 0) + count
        unanswered = {order: result for order, result in self.results.items()
                      if result != 200 and result not in REFUSALS}
        self.assertEqual(unanswered, {}, self.log_of(self.vms[0])[-2000:])
        served = [order for order, result in self.results.items()
                  if result == 200]
        self.assertGreater(len(served), CALLERS)
        self.assertEqual([it for it in served if runs.get(it) != 1], [])
        self.assertEqual([it for it in self.not_run if it in runs], [])
        self.assertEqual([it for it in runs if runs[it] > 1], [])

    def test_orders_of_a_vm_frozen_for_seconds_get_true_answers(self):
        self.start_fleet()

        def freeze() -> None:
            for _ in range(3):
                self.fleet.pause(self.vms[0])
                time.sleep(2.0)
                self.fleet.resume(self.vms[0])
                time.sleep(0.7)

        self.play(freeze)
        self.assert_orders_true()

    def test_orders_of_a_target_withdrawn_meanwhile_get_true_answers(self):
        self.fleet.start(self.configuration(), median_us=150_000)

        def withdraw_and_return() -> None:
            listed = dict(self.fleet.upstreams)
            for version in (1, 3, 5):
                del self.fleet.upstreams[self.upstreams[0].name]
                self.fleet.apply(
                    self.configuration(), "--against", str(version))
                time.sleep(0.7)
                self.fleet.upstreams.update(listed)
                self.fleet.apply(
                    self.configuration(), "--against", str(version + 1))
                time.sleep(0.7)

        self.play(withdraw_and_return)
        self.assert_orders_true()
        known = [it["targets"] for it in
                 self.fleet.events(self.vms[0], "targets_changed")]
        self.assertIn(len(self.upstreams) - 1, known)
        self.assertEqual(self.fleet.invariant_violations(), 0)


if __name__ == "__main__":
    unittest.main()
