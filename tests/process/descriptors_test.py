"""Real processes that run out of descriptors."""

import resource
import socket
import subprocess
import time
import unittest

from process_fixture import BUILD, ProcessTest, fleets

LIMIT = 160
CALLERS = 300
FLOOD_S = 3
STOP_S = 15
#: With one descriptor fewer a daemon cannot read its settings.
FEWEST = 5


class DescriptorsTest(ProcessTest):
    def start_with_limit(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.fleet.start_platform()
        for it in self.upstreams:
            self.fleet.start_upstream(it)
        self.fleet.apply(self.configuration())
        resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, hard))
        try:
            for vm in self.vms:
                self.fleet.start_vm(vm)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.fleet.wait_ready()

    def connect(self, vm: fleets.Vm) -> socket.socket:
        host, port = vm.callers.split(":")
        it = socket.create_connection((host, int(port)), 5)
        self.addCleanup(it.close)
        return it

    def has_ended(self, connection: socket.socket) -> bool:
        """Returns whether the VM has closed a connection that is idle."""
        connection.setblocking(False)
        try:
            return connection.recv(1) == b""
        except BlockingIOError:
            return False

    def ask(self, connection: socket.socket) -> bytes:
        """Returns the status line of an answer; empty if none comes."""
        connection.settimeout(5)
        try:
            connection.sendall(
                b"GET /.pomelohinge/entries HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n")
            return connection.recv(65536).split(b"\r\n")[0]
        except OSError:
            return b""

    def run_limited(self, limit: int) -> int:
        """Runs a VM that may open fewer than `limit` descriptors, and stops it
        after a second if it has not ended. Returns its exit status."""
        vm = self.vms[0]
        with open(self.fleet.run_dir / f"{vm.name}.log", "wb") as log:
            vm.process = subprocess.Popen(
                [f"{BUILD}/pomelohinged", "--settings",
                 str(self.fleet.run_dir / f"{vm.name}.jsonc")],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (limit, limit)))
        self.addCleanup(self.fleet.kill, vm.process)
        try:
            return vm.process.wait(1)
        except subprocess.TimeoutExpired:
            vm.process.terminate()
            return vm.process.wait(STOP_S)

    def test_start_with_too_few_descriptors_fails_plainly_or_waits(self):
        vm = self.vms[0]
        # Writes the settings.
        self.fleet.start_vm(vm)
        self.fleet.kill(vm.process)
        for limit in range(FEWEST, 21):
            with self.subTest(limit=limit):
                status = self.run_limited(limit)
                events = self.fleet.events(vm, "start_failed") or (
                    self.fleet.events(vm, "address_awaited"))
                self.assertTrue(events, self.log_of(vm))
                failed = events[0]["event"] == "start_failed"
                self.assertEqual(status, int(failed), self.log_of(vm))
                self.assertEqual(
                    self.fleet.events(vm, "exception_uncaught"), [])
                if limit == FEWEST:
                    self.assertTrue(failed)

    def test_flood_of_connections_leaves_targets_and_later_callers_served(
            self):
        self.start_with_limit()
        vm = self.vms[0]
        assert vm.process is not None
        flood = [self.connect(vm) for _ in range(CALLERS)]
        for upstream in self.upstreams:
            self.fleet.kill(upstream.process)
            self.fleet.start_upstream(upstream)
        before = fleets.cpu_seconds(vm.process.pid)
        time.sleep(FLOOD_S)
        used = fleets.cpu_seconds(vm.process.pid) - before
        self.assertLess(used, FLOOD_S / 2)
        self.assert_running(vm)
        self.assertEqual(vm.status()["standing"], "serving")
        late = self.connect(vm)
        self.assertTrue(self.ask(late).startswith(b"HTTP/1.1 200"))
        kept = [it for it in flood if not self.has_ended(it)]
        self.assertGreaterEqual(len(kept), LIMIT // 2 - 1)
        self.assertTrue(self.ask(kept[-1]).startswith(b"HTTP/1.1 200"))
        for it in flood:
            it.close()
        time.sleep(1)
        for _ in range(10):
            self.assertTrue(
                self.ask(self.connect(vm)).startswith(b"HTTP/1.1 200"))
        self.assert_stops(vm, 15)


if __name__ == "__main__":
    unittest.main()
