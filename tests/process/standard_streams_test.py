"""Processes whose standard output is closed, full or not read."""

import fcntl
import json
import os
import signal
import subprocess
import time
import unittest

from process_fixture import BUILD, ProcessTest

START_S = 15
STOP_S = 15


class StandardStreamsTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.vm = self.vms[0]
        self.fleet.start_platform()
        self.fleet.apply(self.configuration())

    def start_vm(self, **streams) -> None:
        """Starts the VM with other streams than those of the fleet."""
        vm = self.vm
        settings = self.fleet.run_dir / "vm.jsonc"
        settings.write_text(json.dumps({
            "vm": vm.name, "data_centre": vm.data_centre,
            "callers_address": vm.callers,
            "peers_address": f"{vm.ip}:8081",
            "operators_address": vm.operators,
            "platform_address": self.fleet.platform,
            "log": {"format": "json", "level": "debug"}}), encoding="utf-8")
        vm.process = subprocess.Popen(
            [f"{BUILD}/pomelohinged", "--settings", str(settings)],
            stdin=subprocess.DEVNULL, **streams)
        self.addCleanup(self.fleet.kill, vm.process)

    def wait_serving(self) -> None:
        self.fleet.wait_for("the VM", lambda: self.vm.status()["standing"]
                            == "serving", START_S)

    def assert_serves_and_stops(self) -> None:
        self.wait_serving()
        time.sleep(1)
        self.assertIsNone(self.vm.process.poll())
        self.vm.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.vm.process.wait(STOP_S), 0)

    def test_vm_with_broken_pipe_as_output_serves_and_stops(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.start_vm(stdout=writer, stderr=writer)
        os.close(writer)
        self.assert_serves_and_stops()

    def test_vm_with_full_device_as_output_serves_and_stops(self):
        with open("/dev/full", "wb") as full:
            self.start_vm(stdout=full, stderr=full)
        self.assert_serves_and_stops()

    def test_vm_with_full_pipe_that_nobody_reads_stops(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        size = fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        os.write(writer, b"x" * size)
        self.start_vm(stdout=writer, stderr=subprocess.DEVNULL)
        os.close(writer)
        self.assert_serves_and_stops()

    def test_vm_whose_reader_ends_while_it_runs_serves_and_stops(self):
        reader, writer = os.pipe()
        self.start_vm(stdout=writer, stderr=writer)
        os.close(writer)
        self.wait_serving()
        os.close(reader)
        self.assert_serves_and_stops()

    def test_vm_with_slow_reader_stops_with_its_last_line_written(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        self.start_vm(stdout=writer, stderr=subprocess.DEVNULL)
        os.close(writer)
        text = b""
        process = self.vm.process
        end = time.monotonic() + START_S + STOP_S
        sent = False
        while part := os.read(reader, 64):
            text += part
            time.sleep(0.005)
            self.assertLess(time.monotonic(), end, text[-500:])
            if not sent and b'"started"' in text:
                process.send_signal(signal.SIGTERM)
                sent = True
        self.assertEqual(process.wait(STOP_S), 0)
        self.assertIn(b'"event":"stopped"', text.splitlines()[-1])

    def test_vm_with_closed_streams_sends_no_log_lines_on_sockets(self):
        self.start_vm(preexec_fn=lambda: [os.close(it) for it in (0, 1, 2)])
        self.wait_serving()
        for it in (0, 1, 2):
            self.assertEqual(os.readlink(
                f"/proc/{self.vm.process.pid}/fd/{it}"), "/dev/null")
        self.assert_serves_and_stops()

    def test_log_of_vm_goes_on_after_failed_write(self):
        path = self.fleet.run_dir / "log"
        os.mkfifo(path)
        reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        with open(path, "wb") as writer:
            self.start_vm(stdout=writer, stderr=subprocess.DEVNULL)
        self.wait_serving()
        os.close(reader)
        settings = self.fleet.run_dir / "vm.jsonc"
        settings.write_text(settings.read_text() + "\n", encoding="utf-8")
        time.sleep(4)
        reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        self.addCleanup(os.close, reader)
        self.vm.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.vm.process.wait(STOP_S), 0)
        self.assertIn(b'"stopped"', os.read(reader, 65536))


if __name__ == "__main__":
    unittest.main()
