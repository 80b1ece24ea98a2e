"""Fixture of the tests of refusals that promise "not run".

Two VMs with the settings of the deploy file run as processes. The store, the
targets and the callers are stand-ins in this process, so that a test knows of
each sending of an order how it was answered and how often it ran.
"""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from process_fixture import BUILD, ROOT, fleets

sys.path[:0] = [str(ROOT / "review" / "lib")]

import deployment  # noqa: E402

deployment.DAEMON = pathlib.Path(BUILD).resolve() / "pomelohinged_platform"

SERVICE, ZONE = "booking", "ain-sebaa"
PATH = "/orders/2f"
#: Orders per second of all callers, and for how long they are sent.
RATE, PLAY_S = 200, 4.0
#: Statuses that promise that the order has not run and never will.
PROMISES = {408, 421, 429, 503}
#: Header that tells the sendings of an order apart. VMs forward it unchanged.
SENDING = "x-sending"
Headers = list[tuple[str, str]]
#: One sending of an order: the order's id and the number of the sending.
Sending = tuple[str, int]


@dataclass(frozen=True)
class Sent:
    """An answer that a target has sent."""

    order: str
    status: int
    headers: Headers
    body: bytes

    def encode(self, *, with_id: bool = True) -> bytes:
        headers = [(name, value) for name, value in self.headers
                   if with_id or name.lower() != "x-request-id"]
        return deployment.encode_answer(self.status, headers, self.body)


@dataclass(frozen=True)
class Outcome:
    """How one sending of an order ended at its caller."""

    order: str
    sending: int
    status: int
    broken: str
    headers: Headers
    body: bytes

    @property
    def promises_not_run(self) -> bool:
        return self.status in PROMISES

    @property
    def is_of_another(self) -> bool:
        """Whether the answer, or a part of it, is that of another order."""
        named = deployment.header(self.headers, "X-Request-Id")
        signed = deployment.header(self.headers, "x-response-signature")
        return (named not in ("", self.order) or
                signed.rpartition(".")[2] not in ("", self.order) or
                self.status == 200 and self.body != self.order.encode())


class Target(deployment.Server):
    """A target whose answers a test disturbs by the methods of the first
    part."""

    random: random.Random
    counts: collections.Counter[str]
    #: Whether refusals bear the id of their order.
    refusals_name_order = True
    #: From the head of the next order to the copies of the answer before it.
    copy_delay_s = 0.0

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.sendings: collections.Counter[Sending] = collections.Counter()
        self.pending = 0
        self._copies: dict[asyncio.StreamWriter, list[tuple[str, bytes]]] = {}

    def refusal(self, order: str) -> int:
        """The status with which the order is turned away; 0 to run it."""
        return 0

    def copies(self, sent: Sent) -> list[bytes]:
        """The copies of an answer that come when the next order is read."""
        return []

    def answered(self, sent: Sent, writer: asyncio.StreamWriter) -> None:
        """Called once an answer has been sent."""

    def work_time(self) -> float:
        """Seconds of work for an order."""
        return 0.06

    async def admit(self) -> bool:
        """Waits for room. Returns whether the target has any."""
        return self.busy < self.slots

    async def handle(self, method: str, path: str, headers: Headers,
                     body: bytes, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        if method != "POST":
            return await self.send(
                writer, 200, [("x-instance-id", self.name)], b"")
        order = deployment.header(headers, "x-request-id")
        sending = int(deployment.header(headers, SENDING))
        self.pending += 1
        try:
            copies = asyncio.create_task(self._send_copies(order, writer))
            if self.copy_delay_s == 0:
                await copies
            sent = await self._answer(
                order, sending,
                deployment.header(headers, "x-target-instance"))
            await copies
            writer.write(sent.encode())
            await writer.drain()
            if kept := self.copies(sent):
                self.counts["copies"] += len(kept)
                self._copies[writer] = [(order, it) for it in kept]
            self.answered(sent, writer)
        finally:
            self.pending -= 1

    async def _answer(self, order: str, sending: int, expected: str) -> Sent:
        if expected and expected != self.name:
            self.record.add("rejected", server=self.name, id=order, status=421)
            return self._refuse(order, 421, [("x-instance-id", self.name)])
        status = self.refusal(order)
        if status == 0 and not await self.admit():
            status = 503
        if status != 0:
            self.record.add(
                "rejected", server=self.name, id=order, status=status)
            return self._refuse(order, status, [("x-not-executed", "1")])
        self.busy += 1
        self.sendings[order, sending] += 1
        self.record.add("run", server=self.name, id=order, sending=sending)
        try:
            await asyncio.sleep(self.work_time())
        finally:
            self.busy -= 1
        self.record.add("done", server=self.name, id=order, sending=sending)
        return Sent(order, 200, self.headers_for(order), order.encode())

    def _refuse(self, order: str, status: int, headers: Headers) -> Sent:
        self.counts[f"refused with {status}"] += 1
        if self.refusals_name_order:
            headers = [("X-Request-Id", order), *headers]
        return Sent(order, status, headers, b"")

    async def _send_copies(self, order: str, writer: asyncio.StreamWriter
                           ) -> None:
        copies = self._copies.pop(writer, [])
        if not copies:
            return
        await asyncio.sleep(self.copy_delay_s)
        for of_order, copy in copies:
            if of_order == order:
                self.counts["copies that met their own order"] += 1
            self.record.add("copy", server=self.name, of=of_order,
                            before_answer_to=order,
                            copy=copy.split(b"\r\n")[0].decode())
            writer.write(copy)
        await writer.drain()


class DistinctPorts:
    """Gives out no port twice. A port that `draw` has closed again may be
    drawn once more, and a VM leaves out a listener without an address of its
    own."""

    def __init__(self, draw: Callable[[str], int]) -> None:
        self._draw = draw
        self._given: set[tuple[str, int]] = set()

    def __call__(self, ip: str) -> int:
        while True:
            port = self._draw(ip)
            if (ip, port) not in self._given:
                self._given.add((ip, port))
                return port


deployment.free_port = DistinctPorts(deployment.free_port)


class LocalDeployment(deployment.Deployment):
    """A deployment on the addresses of POMELOHINGE_FLEET_NETWORK."""

    def next_ip(self) -> str:
        self._last_host += 1
        return f"127.{fleets.NETWORK}.7.{self._last_host}"


class RefusedOrdersTest(unittest.IsolatedAsyncioTestCase):
    """Two VMs before `targets_count` targets of the class that a test gives
    to `start`."""

    seed = 41
    targets_count = 6
    slots = 12
    #: Targets to which one sending of an order may go.
    attempts = 2
    callers = 40
    deadline_s = 2.0

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="pomelohinge-test-")
        self.addCleanup(folder.cleanup)
        self.random = random.Random(self.seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.outcomes: list[Outcome] = []
        self.background: list[asyncio.Task[None]] = []
        self.play = LocalDeployment(str(pathlib.Path(folder.name) / "play"))
        self.addCleanup(shutil.rmtree, self.play.folder, ignore_errors=True)

    async def asyncTearDown(self) -> None:
        for it in self.background:
            it.cancel()
        for it in self.play.machines:
            it.kill()
        # The stand-ins see that the connections of the VMs end.
        await asyncio.sleep(0.2)
        if logs := os.environ.get("KEEP_LOGS"):
            kept = pathlib.Path(logs) / self.id()
            shutil.copytree(self.play.folder, kept, dirs_exist_ok=True)
            shutil.copy(self.play.here / "record.txt", kept)

    async def start(self, kind: type[Target]) -> None:
        kind.random = self.random
        kind.counts = self.counts
        route = deployment.route("r-orders", "/orders/", "non_idempotent",
                                 SERVICE, 3.0, self.attempts)
        try:
            await self.play.start(
                deployment.configuration([route], [SERVICE]), [ZONE], 2,
                [(kind, SERVICE, ZONE, self.slots)] * self.targets_count)
        except deployment.CouldNotRun as error:
            self.fail(f"{error}\n{self.logs()}")
        self.targets = [it for it in self.play.servers
                        if isinstance(it, Target)]

    def logs(self) -> str:
        """The first lines of each VM's log."""
        paths = sorted(pathlib.Path(self.play.folder).glob("*.log"))
        return "\n".join(
            f"{it.name}:\n{it.read_text(errors='replace')[:4000]}"
            for it in paths)

    def keep_doing(self, period_s: float, action: Callable[[], Awaitable[Any]]
                   ) -> None:
        """Does `action` again and again until the end of the test."""
        async def repeat() -> None:
            while True:
                await action()
                await asyncio.sleep(period_s)

        self.background.append(asyncio.create_task(repeat()))

    def new_order(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    async def connect(self, machine: deployment.Machine
                      ) -> deployment.Connection:
        it = deployment.Connection(self.play.record, machine.ip, machine.front)
        await it.open()
        return it

    def send(self, connection: deployment.Connection, order: str,
             sending: int, body: bytes = b"one ticket") -> deployment.Answer:
        assert connection.writer is not None
        it = deployment.Answer()
        it.id = order
        connection.writer.write(
            f"POST {PATH} HTTP/1.1\r\nHost: {deployment.HOST}\r\n"
            f"X-Request-Id: {order}\r\nx-api-key: {deployment.KEY}\r\n"
            f"x-deadline-ms: {round(self.deadline_s * 1000)}\r\n"
            f"{SENDING}: {sending}\r\nContent-Length: {len(body)}\r\n\r\n"
            .encode() + body)
        it.sent_at = self.play.record.now()
        self.play.record.add("sent", id=order, sending=sending,
                             to=f"{connection.ip}:{connection.port}")
        return it

    async def receive(self, connection: deployment.Connection,
                      asked: deployment.Answer, sending: int) -> Outcome:
        it = await connection.receive(asked, self.deadline_s + 1)
        outcome = Outcome(
            it.id, sending, it.status, it.broken, it.headers, it.body)
        self.outcomes.append(outcome)
        return outcome

    async def order_once(self, connection: deployment.Connection) -> bool:
        """Sends a new order. Returns whether the connection may be used
        again."""
        asked = self.send(connection, self.new_order(), 0)
        it = await self.receive(connection, asked, 0)
        return not it.broken

    async def call(self, order: Callable[[deployment.Connection],
                                         Awaitable[bool]],
                   end: float, period_s: float) -> None:
        """Gives `order` a connection every `period_s` until `end`."""
        await asyncio.sleep(self.random.uniform(0, period_s))
        connection: deployment.Connection | None = None
        while time.monotonic() < end:
            if connection is None:
                connection = await self.connect(
                    self.random.choice(self.play.machines))
            next_at = (time.monotonic() +
                       self.random.uniform(0.8, 1.2) * period_s)
            if not await order(connection) or connection.closing:
                connection.close()
                connection = None
            await asyncio.sleep(next_at - time.monotonic())
        if connection is not None:
            connection.close()

    async def send_orders(self, order: Callable[[deployment.Connection],
                                                Awaitable[bool]] | None = None,
                          orders_each: int = 1) -> None:
        """Lets the callers send orders at `RATE` for `PLAY_S` and waits until
        the targets have nothing left. `order` sends `orders_each`."""
        end = time.monotonic() + PLAY_S
        period_s = self.callers * orders_each / RATE
        await asyncio.gather(*(
            self.call(order or self.order_once, end, period_s)
            for _ in range(self.callers)))
        await self.wait_until_idle()

    async def wait_until_idle(self) -> None:
        idle_since = time.monotonic()
        end = idle_since + 10
        while time.monotonic() - idle_since < 0.4:
            self.assertLess(time.monotonic(), end, "targets are still at work")
            await asyncio.sleep(0.05)
            if any(it.pending for it in self.targets):
                idle_since = time.monotonic()

    def runs(self) -> collections.Counter[Sending]:
        return sum((it.sendings for it in self.targets),
                   collections.Counter())

    def ran_too_often(self) -> list[str]:
        """The orders of which one sending ran twice, or that ran more than
        once although all but one of their sendings, or all, were answered
        with a promise."""
        runs = self.runs()
        orders: collections.Counter[str] = collections.Counter()
        for (order, _), count in runs.items():
            orders[order] += count
        unpromised = collections.Counter(
            it.order for it in self.outcomes if not it.promises_not_run)
        twice = {order for (order, _), count in runs.items() if count > 1}
        twice |= {order for order, count in orders.items()
                  if count > max(1, unpromised[order])}
        return sorted(twice)

    def assert_promises_kept(self) -> None:
        """Checks that no sending that was answered with a promise ran, that
        no order ran too often and that none got the answer to another."""
        runs = self.runs()
        for it in self.play.machines:
            assert it.process is not None
            self.assertIsNone(it.process.poll(), f"{it.name} has ended")
        refused_and_ran = [
            (it.order, it.sending, it.status) for it in self.outcomes
            if it.promises_not_run and runs[it.order, it.sending]]
        ran_too_often = self.ran_too_often()
        statuses = collections.Counter(
            it.broken or str(it.status) for it in self.outcomes)
        summary = (f"{len(refused_and_ran)} refused and ran, "
                   f"{len(ran_too_often)} ran twice of {len(self.outcomes)}; "
                   f"answers {dict(statuses)}; targets {dict(self.counts)}")
        self.play.record.add("summary", of=self.id(), text=summary)
        self.assertEqual((refused_and_ran[:3], ran_too_often[:3]), ([], []),
                         summary)
        self.assertEqual(
            [it for it in self.outcomes if it.is_of_another][:3], [], summary)
        known = {(it.order, it.sending) for it in self.outcomes}
        self.assertEqual(set(runs) - known, set(), "runs that nobody sent")
        self.assertGreater(len(self.outcomes), RATE * PLAY_S / 4, summary)
        self.assertGreater(sum(self.counts.values()), 20,
                           "the targets have disturbed too little")

    def assert_served(self, share: float) -> None:
        """Checks that at least `share` of the orders was served."""
        orders = {it.order for it in self.outcomes}
        served = {it.order for it in self.outcomes if it.status == 200}
        self.assertGreaterEqual(len(served) / len(orders), share)
