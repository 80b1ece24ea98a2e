"""Signals that arrive while a process starts."""

import pathlib
import signal
import time
import unittest

from process_fixture import ProcessTest

#: Half of the default stop limit of 30 s, and the start.
STOP_S = 20
#: Delays between the end of the program's loading and the signal.
DELAYS_S = [0, 0.005, 0.02, 0.05, 0.1, 0.3]

#: Without the mask, nearly each of so many starts ends by the signal.
STARTS = 8


class EarlySignalsTest(ProcessTest):
    def start_until_loaded(self) -> None:
        """Starts a VM and returns once it has begun to set its signals up."""
        self.fleet.start_vm(self.vms[0])
        path = pathlib.Path(f"/proc/{self.vms[0].process.pid}/status")
        sigpipe = 1 << (signal.SIGPIPE - 1)
        end = time.monotonic() + 10
        while time.monotonic() < end:
            lines = path.read_text(encoding="ascii").splitlines()
            masks = dict(it.split(":", 1) for it in lines)
            if int(masks["SigIgn"], 16) & sigpipe:
                return
            time.sleep(0.001)
        self.fail("the process sets no signals up")

    def test_sigterm_during_start_is_planned_stop(self):
        self.fleet.start_platform()
        for delay in DELAYS_S:
            with self.subTest(delay=delay):
                self.start_until_loaded()
                time.sleep(delay)
                self.assert_stops(self.vms[0], STOP_S)

    def test_sighup_during_start_does_not_end_process(self):
        self.fleet.start_platform()
        for delay in DELAYS_S:
            with self.subTest(delay=delay):
                self.start_until_loaded()
                time.sleep(delay)
                self.vms[0].process.send_signal(signal.SIGHUP)
                time.sleep(0.3)
                self.assert_running(self.vms[0])
                self.fleet.kill(self.vms[0].process)

    def test_sigterm_at_once_from_starter_that_blocked_it_is_planned_stop(
            self):
        self.fleet.start_platform()
        blocked = {signal.SIGTERM, signal.SIGHUP, signal.SIGINT}
        for _ in range(STARTS):
            before = signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
            try:
                self.fleet.start_vm(self.vms[0])
            finally:
                signal.pthread_sigmask(signal.SIG_SETMASK, before)
            self.assert_stops(self.vms[0], STOP_S)


if __name__ == "__main__":
    unittest.main()
