"""Callers of all kinds at a planned stop of a real process."""

import random
import socket
import threading
import time
import unittest

from process_fixture import ProcessTest

ANSWER_BYTES = 3 << 20
#: Together they exceed the buffers of the sockets.
ANSWERS_AHEAD = 3
CALLERS_EACH = 6
SEED = 5


class Caller(threading.Thread):
    """Sends one request in its way and reads the answer in its way."""

    def __init__(self, address: str, kind: str, seed: int,
                 answers: int = 1) -> None:
        super().__init__()
        self.kind = kind
        self.answers = answers
        self.received = b""
        self.random = random.Random(seed)
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), 5)
        self.socket.settimeout(30)
        self.result = "no answer"

    def run(self) -> None:
        try:
            self.send()
            for _ in range(self.answers):
                self.result = self.read()
                if not self.result.startswith("whole"):
                    break
        except OSError as error:
            self.result = repr(error)
        finally:
            self.socket.close()

    def head(self, method: str, fields: str = "") -> bytes:
        return (f"{method} /booking/1 HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer bathers-secret\r\n{fields}\r\n"
                ).encode()

    def send(self) -> None:
        body = b"b" * 200_000
        length = f"Content-Length: {len(body)}\r\n"
        if self.kind in ("stalls", "shuts down"):
            method = "POST" if self.kind == "shuts down" else "GET"
            self.socket.sendall(
                self.head(method, "Content-Length: 0\r\n") * self.answers)
            if self.kind == "shuts down":
                self.socket.shutdown(socket.SHUT_WR)
        elif self.kind == "body drips":
            self.socket.sendall(self.head("POST", length))
            for at in range(0, len(body), 20_000):
                self.socket.sendall(body[at:at + 20_000])
                time.sleep(self.random.uniform(0.05, 0.2))
        elif self.kind == "expects continue":
            self.socket.sendall(
                self.head("POST", length + "Expect: 100-continue\r\n"))
            received = self.socket.recv(25)
            if received != b"HTTP/1.1 100 Continue\r\n\r\n":
                raise OSError(f"no 100 but {received!r}")
            self.socket.sendall(body)
        else:
            self.socket.sendall(self.head("GET", "Connection: close\r\n"))

    def read(self) -> str:
        while b"\r\n\r\n" not in self.received:
            if not self.receive():
                return f"cut after {len(self.received)} bytes"
        if self.kind == "stalls":
            time.sleep(self.random.uniform(6, 8))
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        length = next(int(it.split(b":")[1]) for it in head.split(b"\r\n")
                      if it.lower().startswith(b"content-length:"))
        while len(self.received) < length:
            if not self.receive():
                return f"cut after {len(self.received)} of {length} bytes"
            if self.kind == "reads slowly":
                time.sleep(0.05)
        self.received = self.received[length:]
        return "whole " + head.split(b" ")[1].decode()

    def receive(self) -> bool:
        part = self.socket.recv(65536)
        self.received += part
        return bool(part)


class StopCallersTest(ProcessTest):
    maxDiff = None
    kinds = ["stalls", "reads slowly", "body drips", "expects continue",
             "shuts down"]

    def test_every_caller_at_a_planned_stop_gets_a_whole_answer(self):
        self.fleet.start(self.configuration(), answer_bytes=ANSWER_BYTES,
                         median_us=100_000)
        vm = self.vms[0]
        callers = [Caller(vm.callers, kind, SEED * 100 + n,
                          ANSWERS_AHEAD if kind == "stalls" else 1)
                   for n in range(CALLERS_EACH) for kind in self.kinds]
        for it in callers:
            it.start()
        time.sleep(0.5)
        self.fleet.request_stop(vm)
        late = [Caller(vm.callers, kind, SEED * 200 + n)
                for n in range(2) for kind in self.kinds]
        for it in late:
            it.start()
        for it in callers + late:
            it.join()
        assert vm.process is not None
        self.assertEqual(vm.process.wait(30), 0)
        broken = [f"{it.kind}: {it.result}" for it in callers + late
                  if not it.result.startswith("whole")]
        self.assertEqual(broken, [], self.log_of(vm)[-1000:])
        served = sum(it.result == "whole 200" for it in callers)
        self.assertGreater(served, len(callers) // 2)


if __name__ == "__main__":
    unittest.main()
