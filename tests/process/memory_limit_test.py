"""A VM that gets no more memory from the machine.

An allocation that fails throws, on whichever thread it is. The process must end
with its own status and say why, and not by SIGABRT without its last log lines.
"""

import pathlib
import re
import resource
import socket
import time
import unittest

from process_fixture import ProcessTest, fleets

START_S = 20
#: Exit status of a process that ends by an uncaught exception.
UNCAUGHT_EXCEPTION = 4
CALLERS = 200
BODY_BYTES = 900_000


class MemoryLimitTest(ProcessTest):
    def begin_large_request(self, vm: fleets.Vm) -> None:
        """Sends a request but for its last byte."""
        host, port = vm.callers.split(":")
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.settimeout(0.5)
        try:
            connection.connect((host, int(port)))
            connection.sendall(
                b"POST /booking HTTP/1.1\r\nHost: x\r\nContent-Length: "
                b"%d\r\n\r\n" % (BODY_BYTES + 1) + b"x" * BODY_BYTES)
        except OSError:
            pass
        time.sleep(0.05)

    def test_vm_without_memory_ends_with_status_and_event(self):
        vm = self.vms[0]
        self.fleet.start_platform()
        for it in self.upstreams:
            self.fleet.start_upstream(it)
        self.fleet.apply(self.configuration())
        self.fleet.start_vm(vm)
        self.fleet.wait_for("the VM", lambda: vm.status()["standing"]
                            == "serving", START_S)
        status = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
        used = int(re.findall(r"VmData:\s+(\d+) kB", status)[0]) * 1024
        resource.prlimit(vm.process.pid, resource.RLIMIT_DATA, (used, used))
        for _ in range(CALLERS):
            if vm.process.poll() is None:
                self.begin_large_request(vm)
        self.assertEqual(vm.process.wait(5), UNCAUGHT_EXCEPTION)
        ends = self.fleet.events(vm, "exception_uncaught")
        self.assertEqual([it["detail"] for it in ends], ["std::bad_alloc"])
        self.assertTrue(self.fleet.events(vm, "started"))


if __name__ == "__main__":
    unittest.main()
