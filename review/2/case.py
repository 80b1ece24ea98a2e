"""One entry of another writer in the list of servers, very deeply nested, ends
every machine, again and again."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from deployment import (  # noqa: E402
    HOST, KEY, Answer, Connection, CouldNotRun, Deployment, Machine, Server,
    Store, configuration, main, route, status, trouble)

#: The entry has 800 KB; the store holds values up to `valueBytes`, 1,048,576.
DEPTH = 400_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
PLACEHOLDER = "nested-value"

WARM_UP_S, WATCHED_S, DOWN_S = 3.0, 12.0, 1.0
CLIENTS, PERIOD_S, WORK_S, DEADLINE_S = 40, 0.5, 0.3, 3.0


class StoreWithNestedEntry(Store):
    """Python can't encode the value, so its text is put in afterwards."""

    def encode(self, answer: object) -> bytes:
        return super().encode(answer).replace(
            f'"{PLACEHOLDER}"'.encode(), NESTED)


async def keep_running(deployment: Deployment, machine: Machine,
                       ends: dict[str, int]) -> None:
    """The platform: "A process that exits or is killed is restarted after a
    short delay"."""
    while True:
        await asyncio.sleep(0.01)
        assert machine.process is not None
        status = machine.process.poll()
        if status is None:
            continue
        ends[machine.name] = ends.get(machine.name, 0) + 1
        deployment.record.add("ended_by_itself", machine=machine.name,
                              status=status)
        await asyncio.sleep(DOWN_S)
        machine.start()


async def client(deployment: Deployment, end: float, asked: list[Answer]
                 ) -> None:
    connection: Connection | None = None
    while time.monotonic() < end:
        await asyncio.sleep(random.uniform(0.8, 1.2) * PERIOD_S)
        if connection is None:
            machine = random.choice(deployment.machines)
            connection = Connection(
                deployment.record, machine.ip, machine.front)
            try:
                await connection.open()
            except (OSError, asyncio.TimeoutError):
                connection = None
                continue
        it = await connection.ask("POST", "/orders/2f", HOST, KEY, DEADLINE_S,
                                  b"one ticket")
        asked.append(it)
        if it.broken or connection.closing:
            connection.close()
            connection = None
    if connection is not None:
        connection.close()


async def play(deployment: Deployment) -> list[str]:
    deployment.store = StoreWithNestedEntry(deployment.record)
    await deployment.start(
        configuration([route("r-orders", "/orders/", "non_idempotent",
                             "booking", 3.0)], ["booking"]),
        ["ain-sebaa"], 2,
        [(Server, "booking", "ain-sebaa", 6) for _ in range(6)])
    for it in deployment.servers:
        it.work = lambda method, path: WORK_S
    ends: dict[str, int] = {}
    watches = [asyncio.create_task(keep_running(deployment, it, ends))
               for it in deployment.machines]
    asked: list[Answer] = []
    end = time.monotonic() + WARM_UP_S + WATCHED_S
    tasks = [asyncio.create_task(client(deployment, end, asked))
             for _ in range(CLIENTS)]
    await asyncio.sleep(WARM_UP_S)
    if trouble():
        await deployment.store.put(
            "servers", "i-legacy",
            {"address": "127.0.0.1:9", "born": 1,
             "info": {"service": PLACEHOLDER, "version": "v1",
                      "zone": "ain-sebaa", "slots": 6}},
            status("ready"))
        deployment.record.say("another writer has written its entry")
    await asyncio.gather(*tasks)
    for it in watches:
        it.cancel()
    if not any(it.status == 200 for it in asked):
        raise CouldNotRun("nothing was served")
    return findings(deployment, asked, ends)


def findings(deployment: Deployment, asked: list[Answer],
             ends: dict[str, int]) -> list[str]:
    """Fault: on a tenth of the machines in use (two at least) processes end by
    themselves three times with no disruption there."""
    cut = sum(it.broken in ("closed", "cut_short", "reset") and
              deployment.runs_of(it.id) > 0 for it in asked)
    deployment.record.say(f"ends by themselves: {ends}; orders passed on and "
                          f"cut: {cut}")
    ended = [name for name, n in ends.items() if n >= 3]
    if len(ended) < 2:
        return []
    return [f"Fault: {name} ended by itself {ends[name]} times"
            for name in ended]


main(__file__, play)
