"""The stand-in for upstreams: refusals, and answers that are sent again."""

import http.client
import socket
import unittest
from typing import NamedTuple

from process_fixture import ProcessTest

REQUESTS = 40


class Answer(NamedTuple):
    """What tells answers apart. `outcome` is None if the request ran."""

    request: str
    status: int
    outcome: str | None


class Connection:
    """A kept connection whose answers are read one at a time."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout=2)
        self._input = self._socket.makefile("rb")

    def close(self) -> None:
        self._input.close()
        self._socket.close()

    def send(self, request: str) -> None:
        self._socket.sendall(
            "POST /sales HTTP/1.1\r\nHost: upstream\r\nContent-Length: 0\r\n"
            f"X-Request-Id: {request}\r\nX-Payment-Id: {request}\r\n\r\n"
            .encode())

    def receive(self) -> Answer:
        status = int(self._input.readline().split()[1])
        headers = http.client.parse_headers(self._input)
        self._input.read(int(headers["Content-Length"]))
        return Answer(headers["X-Request-Id"], status,
                      headers["Pomelohinge-Outcome"])

    def exchange(self, request: str) -> list[Answer]:
        """Sends a request and returns the answers up to its own one."""
        self.send(request)
        answers = [self.receive()]
        while answers[-1].request != request:
            answers.append(self.receive())
        return answers


class StandInUpstreamTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.upstream = self.upstreams[0]
        self.fleet.start_upstream(self.upstream)
        self.fleet.wait_for(
            "the upstream", lambda: bool(self.upstream.ledger()), 10)

    def exchange_all(self) -> list[list[Answer]]:
        """Sends requests one after the other on one connection. Returns the
        answers that arrived during each one."""
        connection = Connection(self.upstream.address)
        self.addCleanup(connection.close)
        return [connection.exchange(f"r{n}") for n in range(REQUESTS)]

    def test_healthy_upstream_sends_each_answer_once(self):
        self.assertEqual(
            self.exchange_all(),
            [[Answer(f"r{n}", 200, None)] for n in range(REQUESTS)])

    def test_shedding_upstream_refuses_under_the_id_of_the_request(self):
        self.upstream.set_mode("shedding")
        self.assertEqual(
            self.exchange_all(),
            [[Answer(f"r{n}", 503, "not_run")] for n in range(REQUESTS)])
        self.assertEqual(self.upstream.ledger()["payments"], {})

    def test_repeating_upstream_sends_answers_again_in_the_next_request(self):
        self.upstream.set_mode("repeating")
        answers = self.exchange_all()
        copies = [it for row in answers for it in row[:-1]]
        self.assertEqual({it.status for it in copies}, {200, 503})
        self.assertEqual(answers[0][:-1], [])
        for earlier, row in zip(answers, answers[1:]):
            self.assertIn(row[:-1], ([], [earlier[-1]]))

    def test_repeating_upstream_runs_just_what_it_does_not_refuse(self):
        self.upstream.set_mode("repeating")
        own = [row[-1] for row in self.exchange_all()]
        self.assertEqual(
            self.upstream.ledger()["payments"],
            {it.request: 1 for it in own if it.outcome is None})


if __name__ == "__main__":
    unittest.main()
