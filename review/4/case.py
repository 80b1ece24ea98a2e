"""A planned stop of both machines cuts requests that it took late."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from deployment import (  # noqa: E402
    BOUNDS, HOST, KEY, Answer, Connection, CouldNotRun, Deployment, Machine,
    Server, configuration, fetch, main, route, trouble)

CLIENTS = 200
ENTRY_QUESTION = "resolve"
#: Each client sends a request about this often, so that its connection stays
#: idle for less than four fifths of `idleTimeoutS` (15 s).
PERIOD_S = 8.0
#: The work of `order-lookup` on the Authority's sheet, and the longest work of
#: `prepaid-confirm` in the Federation's site file.
LOOKUP_WORK_S, ORDER_WORK_S = 0.12, 2.1
LOOKUP_SHARE = 0.75
WARM_UP_S, WATCHED_S = 12.0, 8.0


class Client:
    """Keeps one connection, as PROTOCOL.md says: it uses a machine while the
    latest answer of the directory names it, respects `Connection: close` and
    opens a new connection otherwise."""

    def __init__(self, deployment: Deployment, random_: random.Random) -> None:
        self.deployment = deployment
        self.random = random_
        self.connection: Connection | None = None
        self.machine: Machine | None = None
        self.asked: list[tuple[Machine, Answer, str]] = []

    async def run(self, directory: "Directory", end: float) -> None:
        await asyncio.sleep(self.random.uniform(0, PERIOD_S))
        while time.monotonic() < end:
            await self.ask(directory)
            await asyncio.sleep(self.random.uniform(0.8, 1.2) * PERIOD_S)
        if self.connection is not None:
            self.connection.close()

    async def ask(self, directory: "Directory") -> None:
        await directory.refresh()
        usable = self.connection is not None and not self.connection.closing \
            and self.machine in directory.machines
        if not usable:
            if self.connection is not None:
                self.connection.close()
            self.machine = self.random.choice(directory.machines)
            self.connection = Connection(
                self.deployment.record, self.machine.ip, self.machine.front)
            try:
                await self.connection.open()
            except (OSError, asyncio.TimeoutError):
                self.connection = None
                return
        assert self.connection is not None and self.machine is not None
        if self.random.random() < LOOKUP_SHARE:
            method, path, limit = "GET", "/lookups/2f", 2.5
        else:
            method, path, limit = "POST", "/orders/2f", 3.0
        it = await self.connection.ask(method, path, HOST, KEY, limit)
        self.asked.append((self.machine, it, method))
        if it.broken:
            self.connection.close()
            self.connection = None


class Directory:
    """What the clients know of the machines: the latest answer that named
    any. It is asked again when its time to live has passed."""

    def __init__(self, deployment: Deployment) -> None:
        self.all = deployment.machines
        self.machines = list(self.all)
        self.valid_until = 0.0
        self.record = deployment.record

    async def refresh(self) -> None:
        if time.monotonic() < self.valid_until:
            return
        self.valid_until = time.monotonic() + 1
        for it in self.all:
            try:
                path = (f"/{ENTRY_QUESTION}?name={HOST}&region=r"
                        f"&zone={it.zone}")
                answer = await asyncio.wait_for(
                    fetch(it.ip, it.directory, path), 1)
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                continue
            named = [m for m in self.all
                     if f'"{m.ip}:{m.front}"'.encode() in answer.body]
            if answer.status == 200 and named:
                self.machines = named
                return


async def play(deployment: Deployment) -> list[str]:
    await deployment.start(
        configuration([route("r-lookups", "/lookups/", "idempotent",
                             "booking", 2.5),
                       route("r-orders", "/orders/", "non_idempotent",
                             "booking", 3.0)], ["booking"]),
        ["ain-sebaa"], 2,
        [(Server, "booking", "ain-sebaa", 6)
         for _ in range(8)])
    for it in deployment.servers:
        it.work = lambda method, path: \
            ORDER_WORK_S if method == "POST" else LOOKUP_WORK_S
    directory = Directory(deployment)
    random_ = random.Random(31)
    clients = [Client(deployment, random.Random(random_.random()))
               for _ in range(CLIENTS)]
    end = time.monotonic() + WARM_UP_S + WATCHED_S
    tasks = [asyncio.create_task(it.run(directory, end)) for it in clients]
    await asyncio.sleep(WARM_UP_S)
    stopped_at = deployment.record.now()
    if trouble():
        for it in deployment.machines:
            it.signal(signal.SIGTERM)
        await asyncio.gather(*(restart_when_ended(it)
                               for it in deployment.machines))
    await asyncio.gather(*tasks)
    asked = [it for client in clients for it in client.asked]
    if len(asked) < CLIENTS:
        raise CouldNotRun("too few requests")
    return findings(deployment, asked, stopped_at)


async def restart_when_ended(machine: Machine) -> None:
    await machine.wait_end(BOUNDS["graceS"])
    machine.start()


def findings(deployment: Deployment,
             asked: list[tuple[Machine, Answer, str]], stopped_at: float
             ) -> list[str]:
    """LOST around a SIGTERM: a request was passed on to a server, and its
    connection ended without a complete answer. Not counted: the deadline or
    the route's timeout was reached, or the request was sent no later than 3 s
    after the SIGTERM."""
    found = []
    for machine, it, method in asked:
        limit = 3.0 if method == "POST" else 2.5
        since = it.sent_at - stopped_at
        if it.broken not in ("closed", "cut_short", "reset"):
            continue
        passed_on = deployment.runs_of(it.id) > 0
        in_time = it.ended_at - it.sent_at < limit
        counts = 3 < since < BOUNDS["graceS"] + 1
        deployment.record.add(
            "cut", id=it.id, method=method, machine=machine.name,
            sent_after_sigterm_s=f"{since:.3f}", passed_on=passed_on,
            before_its_limit=in_time, counts=counts)
        if passed_on and in_time and counts:
            found.append(
                f"LOST {method} {it.id}: sent {since:.2f} s after the SIGTERM"
                f" of {machine.name}, passed on, and cut after"
                f" {it.ended_at - it.sent_at:.2f} s")
    return found


main(__file__, play)
