"""Requests that arrive, or still arrive, while real processes stop."""

import http.client
import signal
import threading
import time
import unittest

from process_fixture import ProcessTest

#: The process ends early if nothing is open; half of the default stop limit.
STOP_S = 15
CALLERS = 12
#: Bytes of a body are sent in pieces with this pause.
PIECES = 4
PIECE_PAUSE_S = 0.01


class Orderer(threading.Thread):
    """Sends one order after the other on an open connection, until an answer or
    the VM closes it. A body is chunked or has a stated length."""

    def __init__(self, number: int, address: str, service: str,
                 begins_at: float = 0, pause_s: float = PIECE_PAUSE_S,
                 rate_pause_s: float = 0.05) -> None:
        super().__init__()
        self.number = number
        self.path = f"/{service}/orders"
        self.chunked = number % 2 == 0
        self.begins_at = begins_at
        self.pause_s = pause_s
        self.rate_pause_s = rate_pause_s
        #: Status of each answered order, and the order that got no answer.
        self.answers: dict[str, int] = {}
        self.outcomes: dict[str, str | None] = {}
        self.unanswered: str | None = None
        self.error: str | None = None
        self.connection = http.client.HTTPConnection(
            *address.split(":"), timeout=20)
        self.connection.connect()

    def join(self, timeout: float | None = None) -> None:
        super().join(timeout)
        self.connection.close()

    def pieces(self):
        for _ in range(PIECES):
            yield b"x" * 1000
            time.sleep(self.pause_s)

    def run(self) -> None:
        time.sleep(max(0, self.begins_at - time.monotonic()))
        for n in range(10_000):
            order = f"order-{self.number}-{n}"
            if not self.send(order):
                return
            time.sleep(self.rate_pause_s)

    def send(self, order: str) -> bool:
        headers = {"Authorization": "Bearer bathers-secret",
                   "X-Payment-Id": order}
        if not self.chunked:
            headers["Content-Length"] = str(PIECES * 1000)
        try:
            self.connection.request("POST", self.path, self.pieces(), headers,
                                    encode_chunked=self.chunked)
            answer = self.connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.unanswered = order
            self.error = repr(error)
            return False
        self.answers[order] = answer.status
        self.outcomes[order] = answer.headers.get("Pomelohinge-Outcome")
        return answer.headers.get("Connection", "").lower() != "close"


class StopArrivalsTest(ProcessTest):
    maxDiff = None

    def setUp(self) -> None:
        super().setUp()
        self.fleet.add_upstreams(
            "counter", ["ain-sebaa", "sidi-maarouf"], 1, 6, 9200)
        self.upstreams = list(self.fleet.upstreams.values())

    def payments(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for it in self.upstreams:
            for order, n in it.ledger()["payments"].items():
                runs[order] = runs.get(order, 0) + n
        return runs

    def assert_outcomes_true(self, callers: list[Orderer]) -> None:
        """Checks that no order ran without an answer, that none ran twice, and
        that those which were refused as not run have not."""
        runs = self.payments()
        self.assertEqual([it for it, n in runs.items() if n > 1], [])
        answered = {order for it in callers for order in it.answers}
        self.assertEqual(sorted(set(runs) - answered), [])
        untrue = [order for it in callers
                  for order, outcome in it.outcomes.items()
                  if outcome == "not_run" and order in runs]
        self.assertEqual(untrue, [])

    def assert_all_answered(self, callers: list[Orderer]) -> None:
        self.assertEqual([(it.unanswered, it.error) for it in callers
                          if it.unanswered], [])

    def stop_all(self, vms) -> None:
        for it in vms:
            self.fleet.request_stop(it)

    def assert_stopped(self, vms) -> None:
        for it in vms:
            self.assertEqual(it.process.wait(STOP_S), 0,
                             self.log_of(it)[-1000:])
            self.assertEqual(self.fleet.events(it, "stop_step_expired"), [])

    def test_orders_on_open_connections_are_answered_until_the_end(self):
        self.fleet.start(self.configuration(), median_us=50_000)
        vm = self.vms[0]
        callers = [Orderer(n, vm.callers, "booking") for n in range(CALLERS)]
        for it in callers:
            it.start()
        time.sleep(1)
        self.stop_all([vm])
        for it in callers:
            it.join()
        self.assert_stopped([vm])
        self.assert_all_answered(callers)
        self.assert_outcomes_true(callers)
        self.assertGreater(sum(len(it.answers) for it in callers), CALLERS)

    def test_new_routes_near_the_end_of_a_stop_are_answered(self):
        self.fleet.start(self.configuration(), median_us=50_000)
        vm = self.vms[0]
        stop_at = time.monotonic() + 1
        # A slow body keeps the VM from ending before the late orders.
        callers = [Orderer(n, vm.callers, "booking", stop_at - 0.2, 0.7)
                   for n in range(2)]
        callers += [Orderer(n, vm.callers, "counter", stop_at + n * 0.3)
                    for n in range(2, CALLERS)]
        for it in callers:
            it.start()
        time.sleep(stop_at - time.monotonic())
        self.stop_all([vm])
        for it in callers:
            it.join()
        self.assert_stopped([vm])
        # Orders that come when the process has ended are not received.
        self.assert_all_answered(callers[:2])
        self.assert_outcomes_true(callers)
        self.assertGreater(sum(bool(it.answers) for it in callers[2:]), 5)

    def test_all_vms_stop_with_the_store_away(self):
        self.fleet.start(self.configuration(), median_us=50_000)
        callers = [Orderer(n, self.vms[n % len(self.vms)].callers, "booking")
                   for n in range(CALLERS)]
        for it in callers:
            it.start()
        time.sleep(0.5)
        self.fleet.platform_process.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        self.stop_all(self.vms)
        for it in callers:
            it.join()
        self.assert_stopped(self.vms)
        self.assert_all_answered(callers)
        self.assert_outcomes_true(callers)


if __name__ == "__main__":
    unittest.main()
