"""Peers that send and answer what is no message of a VM.

Another program may listen at the address of a VM that is gone, or connect to the
peers' port, and a VM of another version may send other fields. HTTP/2 is spoken
here by hand, with headers that are not compressed.
"""

import random
import socket
import struct
import threading
import time
import unittest

from process_fixture import ProcessTest

START_S = 20
STOP_S = 15
#: Messages that are tried; each is a draw of its own.
MESSAGES = 60
#: A VM asks about three times a second.
ANSWERS = 15
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEADERS, DATA, SETTINGS, PING = 1, 0, 4, 6
END_STREAM, END_HEADERS, ACK = 1, 4, 1


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">I", len(payload))[1:] + struct.pack(
        ">BBI", kind, flags, stream) + payload


def header_block(*fields: tuple[str, str]) -> bytes:
    """Literal headers that are not indexed."""
    return b"".join(
        b"\0" + bytes([len(name)]) + name.encode() + bytes([len(value)])
        + value.encode() for name, value in fields)


def grpc_message(body: bytes) -> bytes:
    return struct.pack(">BI", 0, len(body)) + body


def draw_message(rng: random.Random) -> bytes:
    """Returns bytes that may be the fields of a message: well formed or not,
    of any type and number, some of them nested."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randint(0, 300))
    body = b""
    for _ in range(rng.randint(1, 12)):
        number = rng.randint(1, 15)
        kind = rng.choice((0, 1, 2, 2, 2, 5))
        body += bytes([number << 3 | kind])
        if kind == 0:
            body += rng.choice((b"\0", b"\1", b"\xff" * 9 + b"\1"))
        elif kind == 2:
            part = draw_message(rng) if rng.random() < 0.3 else (
                rng.randbytes(rng.randint(0, 20)))
            part = part[:127]
            body += bytes([len(part)]) + part
        else:
            body += rng.choice((b"\0", b"\xff")) * (8 if kind == 1 else 4)
    return body


class NonsensePeer:
    """Answers each question with another message."""

    def __init__(self, address: str, rng: random.Random) -> None:
        host, port = address.split(":")
        self.rng = rng
        self.answered = 0
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection, connection.makefile("rb") as file:
                self._answer(connection, file)
        except OSError:
            pass

    def _answer(self, connection: socket.socket, file) -> None:
        file.read(len(PREFACE))
        connection.sendall(frame(SETTINGS, 0, 0))
        while len(head := file.read(9)) == 9:
            size = int.from_bytes(head[:3], "big")
            kind, flags, stream = struct.unpack(">BBI", head[3:])
            payload = file.read(size)
            if kind == SETTINGS and not flags & ACK:
                connection.sendall(frame(SETTINGS, ACK, 0))
            elif kind == PING and not flags & ACK:
                connection.sendall(frame(PING, ACK, 0, payload))
            elif kind == DATA and flags & END_STREAM:
                self.answered += 1
                connection.sendall(
                    frame(HEADERS, END_HEADERS, stream, header_block(
                        (":status", "200"),
                        ("content-type", "application/grpc")))
                    + frame(DATA, 0, stream,
                            grpc_message(draw_message(self.rng)))
                    + frame(HEADERS, END_HEADERS | END_STREAM, stream,
                            header_block(("grpc-status", "0"))))


class PeerNonsenseTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.vm, self.other = self.vms
        self.rng = random.Random(1)
        self.fleet.start_platform()
        for it in self.upstreams:
            self.fleet.start_upstream(it)
        self.fleet.apply(self.configuration())

    def start_vm(self) -> None:
        self.fleet.start_vm(self.vm)
        self.fleet.wait_for("the VM", lambda: self.vm.status()["standing"]
                            == "serving", START_S)

    def assert_serves_and_stops(self) -> None:
        self.assert_running(self.vm)
        self.assertEqual(self.vm.status()["standing"], "serving")
        self.assert_stops(self.vm, STOP_S)

    def send(self, text: bytes) -> bytes:
        """Sends bytes to the peers' port; returns what comes until there is
        nothing for 100 ms."""
        answer = b""
        with socket.create_connection((self.vm.ip, 8081), 5) as connection:
            connection.settimeout(0.1)
            try:
                connection.sendall(text)
                while part := connection.recv(65536):
                    answer += part
            except OSError:
                pass
        return answer

    def question(self, body: bytes) -> bytes:
        return PREFACE + frame(SETTINGS, 0, 0) + frame(
            HEADERS, END_HEADERS, 1, header_block(
                (":method", "POST"), (":scheme", "http"),
                (":path", "/pomelohinge.wire.Peer/Sync"),
                (":authority", "peer"), ("te", "trailers"),
                ("content-type", "application/grpc"))) + frame(
            DATA, END_STREAM, 1, grpc_message(body))

    def test_vm_that_receives_bytes_of_no_protocol_serves(self):
        self.start_vm()
        for _ in range(MESSAGES):
            size = self.rng.randint(1, 400)
            start = self.rng.choice((b"", PREFACE, b"GET / HTTP/1.1\r\n\r\n"))
            self.send(start + self.rng.randbytes(size))
        self.assert_serves_and_stops()

    def test_vm_that_receives_questions_with_other_fields_serves(self):
        self.start_vm()
        self.assertIn(self.vm.name.encode(), self.send(self.question(b"")))
        answers = [self.send(self.question(draw_message(self.rng)))
                   for _ in range(MESSAGES)]
        # Some have the form of a question.
        self.assertTrue(any(self.vm.name.encode() in it for it in answers))
        time.sleep(1)
        self.assert_serves_and_stops()

    def test_vm_whose_seed_answers_with_other_fields_serves(self):
        peer = NonsensePeer(f"{self.other.ip}:8081", self.rng)
        self.addCleanup(peer.close)
        self.vm.platform = f"{self.vm.ip}:9"
        self.fleet.start_vm(self.vm)
        self.fleet.wait_for(
            "answers", lambda: peer.answered >= ANSWERS, START_S)
        self.assert_running(self.vm)
        self.assert_stops(self.vm, STOP_S)


if __name__ == "__main__":
    unittest.main()
