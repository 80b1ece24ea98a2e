"""A planned stop closes connections on which a whole request still waits
behind another one."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from deployment import (  # noqa: E402
    BOUNDS, HOST, KEY, Answer, Connection, CouldNotRun, Deployment, Server,
    configuration, main, route, trouble)

CLIENTS = 20
LOOKUP_WORK_S, ORDER_WORK_S = 1.0, 0.15
#: When the order follows the lookup, and when the machine is stopped.
ORDER_AFTER_S, STOP_AFTER_S = 0.1, 0.4


class Client:
    """Sends a lookup and then, on the same connection and before the answer,
    an order (HTTP/1.1 pipelining, RFC 9112 section 9.3.2)."""

    def __init__(self, deployment: Deployment) -> None:
        machine = deployment.machines[0]
        self.connection = Connection(
            deployment.record, machine.ip, machine.front)
        self.lookup = Answer()
        self.order = Answer()

    async def run(self) -> None:
        await self.connection.open()
        warm_up = await self.connection.ask(
            "GET", "/lookups/1", HOST, KEY, 2.5)
        if warm_up.status != 200:
            raise CouldNotRun(f"the warm-up ended as {warm_up}")
        await asyncio.sleep(0.5)
        self.lookup = self.connection.send(
            "GET", "/lookups/2", HOST, KEY, 2.5)
        await asyncio.sleep(ORDER_AFTER_S)
        self.order = self.connection.send(
            "POST", "/orders/2", HOST, KEY, 3.0, b"one ticket")
        await self.connection.receive(self.lookup, 3.5)
        await self.connection.receive(self.order, 4.0)
        self.connection.close()


async def play(deployment: Deployment) -> list[str]:
    await deployment.start(
        configuration([route("r-lookups", "/lookups/", "idempotent",
                             "booking", 2.5),
                       route("r-orders", "/orders/", "non_idempotent",
                             "booking", 3.0)], ["booking"]),
        ["ain-sebaa"], 2,
        [(Server, "booking", "ain-sebaa", 6) for _ in range(8)])
    for it in deployment.servers:
        it.work = lambda method, path: \
            ORDER_WORK_S if method == "POST" else LOOKUP_WORK_S
    clients = [Client(deployment) for _ in range(CLIENTS)]
    tasks = [asyncio.create_task(it.run()) for it in clients]
    # The warm-up takes `LOOKUP_WORK_S` and half a second.
    await asyncio.sleep(LOOKUP_WORK_S + 0.5 + STOP_AFTER_S)
    stopped_at = deployment.record.now()
    if trouble():
        machine = deployment.machines[0]
        machine.signal(signal.SIGTERM)
        await machine.wait_end(BOUNDS["graceS"])
    await asyncio.gather(*tasks)
    return findings(deployment, clients, stopped_at)


def findings(deployment: Deployment, clients: list[Client], stopped_at: float
             ) -> list[str]:
    """LOST around a SIGTERM: the process has read a whole request and the
    connection ends without a complete answer, later than `lossSlackS` after
    its last byte was sent. An end without a reset shows that the process had
    read all that was sent: closing a socket with unread bytes resets it."""
    found = []
    for it in clients:
        order, lookup = it.order, it.lookup
        after = order.ended_at - order.sent_at
        deployment.record.add(
            "pair", lookup=lookup, order=order,
            order_sent_after_sigterm_s=f"{order.sent_at - stopped_at:.3f}",
            order_ended_after_s=f"{after:.3f}",
            order_ran=deployment.runs_of(order.id))
        if order.broken == "closed" and after > BOUNDS["lossSlackS"] and \
                after < 3.0:
            found.append(
                f"LOST POST {order.id}: read, and the connection ended without"
                f" an answer {after:.2f} s after it was sent")
    return found


main(__file__, play)
