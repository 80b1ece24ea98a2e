"""Orders that run while operators or the platform change their targets: a
target drains and ends, is withdrawn, its zone is evacuated, or the weights of
its route's services change.

An order that was placed just before the change is queued, on its way or at
work then. It must end with an answer that is true, and after the time within
which a change takes effect the target must get no new one.
"""

from __future__ import annotations

import asyncio
import re
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from process_fixture import ROOT
from refused_orders_fixture import (
    Headers, RefusedOrdersTest, Target, deployment)

SERVICES = ["booking", "booking-next"]
ZONES = ["ain-sebaa", "sidi-maarouf"]
#: Within this time a change of targets, zones or weights is in force.
IN_FORCE_S = 2.0
#: When the change comes after the first order, and when it is taken back.
CHANGE_S, RETURN_S = 0.7, 1.0
CHANGE_PERIOD_S = 0.12


def kind_of(constant: str) -> str:
    """The platform's name of a kind of objects."""
    names = (ROOT / "platform" / "names.hpp").read_text(encoding="utf-8")
    found = re.search(rf'string_view {constant} = "([^"]+)"', names)
    assert found is not None
    return found.group(1)


class Worker(Target):
    """Notes when each order begins, and can end its process."""

    has_ended = False

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.begun: list[float] = []

    def work_time(self) -> float:
        self.begun.append(time.monotonic())
        return self.random.uniform(0.02, 0.3)

    async def handle(self, method: str, path: str, headers: Headers,
                     body: bytes, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        if self.has_ended:
            raise ConnectionResetError
        await super().handle(method, path, headers, body, reader, writer)

    def begun_after(self, when: float) -> int:
        return sum(it > when for it in self.begun)


class ChangedTargetsTest(RefusedOrdersTest):
    seed = 38
    #: One zone alone has three times the slots that the orders need.
    slots = 16

    async def asyncSetUp(self) -> None:
        Worker.random = self.random
        Worker.counts = self.counts
        self.version = 7
        kinds = [(Worker, service, zone, self.slots)
                 for service in SERVICES for zone in ZONES for _ in range(3)]
        try:
            await self.play.start(
                self.configuration([1.0, 1.0]), ZONES, 1, kinds)
        except deployment.CouldNotRun as error:
            self.fail(f"{error}\n{self.logs()}")
        self.targets = [it for it in self.play.servers
                        if isinstance(it, Worker)]
        self.addAsyncCleanup(self.end_background)

    async def end_background(self) -> None:
        await asyncio.gather(*self.background, return_exceptions=True)

    def configuration(self, weights: list[float]) -> dict[str, Any]:
        """The configuration whose orders go to the services by `weights`."""
        route = deployment.route("r-orders", "/orders/", "non_idempotent",
                                 SERVICES[0], 3.0, self.attempts)
        del route["service"]
        route[deployment.field("traffic", "split")] = [
            {"service": name, "weight": weight}
            for name, weight in zip(SERVICES, weights)]
        it = deployment.configuration([route], SERVICES)
        it["version"] = self.version
        return it

    async def set_weights(self, *weights: float) -> None:
        self.version += 1
        await self.play.store.put(
            "config", "main", self.configuration(list(weights)))

    async def set_state(self, it: Worker, state: str) -> None:
        spec = self.play.store.objects["servers"][it.name]["spec"]
        await self.play.store.put(
            "servers", it.name, spec, deployment.status(state))

    async def withdraw(self, it: Worker) -> None:
        await self.play.store.delete("servers", it.name)

    async def evacuate(self, zone: str) -> None:
        await self.play.store.put(
            kind_of("closures"), zone, {"reason": "drill"})

    async def put_back(self, zone: str) -> None:
        await self.play.store.delete(kind_of("closures"), zone)

    def chosen(self, *, service: str | None = None, zone: str | None = None
               ) -> list[Worker]:
        return [it for it in self.targets
                if service in (None, it.service) and zone in (None, it.zone)]

    async def play_change(self, change: Callable[[], Awaitable[None]]
                          ) -> float:
        """Sends orders and makes a change meanwhile. Returns its time."""
        changed_at = 0.0

        async def change_later() -> None:
            nonlocal changed_at
            await asyncio.sleep(CHANGE_S)
            await change()
            changed_at = time.monotonic()

        later = asyncio.create_task(change_later())
        await self.send_orders()
        await later
        return changed_at

    def assert_orders_true(self, *, all_served: bool = True) -> None:
        """Checks that each order has its answer, that what it says is true
        and, if asked for, that none was lost or refused."""
        runs = self.runs()
        for it in self.play.machines:
            assert it.process is not None
            self.assertIsNone(it.process.poll(), f"{it.name} has ended")
        self.assertGreater(len(self.outcomes), 300)
        self.assertEqual([it for it in self.outcomes if it.broken], [])
        self.assertEqual([it for it in self.outcomes if it.is_of_another], [])
        self.assertEqual([it for it, count in runs.items() if count > 1], [])
        for it in self.outcomes:
            count = runs[it.order, it.sending]
            if it.status == 200:
                self.assertEqual(count, 1, it)
            if it.promises_not_run:
                self.assertEqual(count, 0, it)
        if all_served:
            self.assertEqual([it for it in self.outcomes if it.status != 200],
                             [])

    def assert_unused(self, targets: list[Worker], changed_at: float) -> None:
        self.assertEqual(
            {it.name: n for it in targets
             if (n := it.begun_after(changed_at + IN_FORCE_S))}, {})
        self.assertGreater(min(len(it.begun) for it in targets), 2,
                           "the targets had too few orders before")

    async def test_draining_target_ends_after_its_last_order(self) -> None:
        leaving = [self.chosen(service=it)[0] for it in SERVICES]

        async def drain() -> None:
            for it in leaving:
                await self.set_state(it, "draining")

        async def end_after_drain() -> None:
            await asyncio.sleep(CHANGE_S + IN_FORCE_S)
            while any(it.busy for it in leaving):
                await asyncio.sleep(0.02)
            for it in leaving:
                it.has_ended = True
                await self.withdraw(it)

        ended = asyncio.create_task(end_after_drain())
        changed_at = await self.play_change(drain)
        await ended
        self.assert_unused(leaving, changed_at)
        self.assert_orders_true()

    async def test_withdrawn_target_gets_no_further_orders(self) -> None:
        withdrawn = [self.chosen(service=it)[1] for it in SERVICES]

        async def withdraw() -> None:
            for it in withdrawn:
                await self.withdraw(it)

        changed_at = await self.play_change(withdraw)
        self.assert_unused(withdrawn, changed_at)
        self.assert_orders_true()

    async def test_target_withdrawn_and_back_under_orders_cuts_none(
            self) -> None:
        it = self.chosen(service=SERVICES[0])[0]

        async def withdraw_and_return() -> None:
            for _ in range(3):
                await self.withdraw(it)
                await asyncio.sleep(0.3)
                await it.register()
                await asyncio.sleep(0.3)

        await self.play_change(withdraw_and_return)
        self.assert_orders_true()

    async def test_evacuated_zone_gets_no_further_orders(self) -> None:
        left = self.chosen(zone=ZONES[0])
        changed_at = await self.play_change(lambda: self.evacuate(ZONES[0]))
        self.assert_unused(left, changed_at)
        self.assert_orders_true()

    async def test_zone_put_back_gets_orders_again(self) -> None:
        left = self.chosen(zone=ZONES[0])

        async def evacuate_and_return() -> None:
            await self.evacuate(ZONES[0])
            await asyncio.sleep(RETURN_S)
            await self.put_back(ZONES[0])

        changed_at = await self.play_change(evacuate_and_return)
        self.assertGreater(
            sum(it.begun_after(changed_at + IN_FORCE_S) for it in left), 0)
        self.assert_orders_true()

    async def test_service_without_weight_gets_no_further_orders(self) -> None:
        changed_at = await self.play_change(lambda: self.set_weights(0.0, 1.0))
        self.assert_unused(self.chosen(service=SERVICES[0]), changed_at)
        self.assert_orders_true()

    async def test_orders_under_all_changes_in_series_get_true_answers(
            self) -> None:
        draw = self.random

        async def evacuate_one(zone: str) -> None:
            # With both data centres closed every order is refused, rightly.
            for other in ZONES:
                if other != zone:
                    await self.put_back(other)
            await self.evacuate(zone)

        async def change_any() -> None:
            it = draw.choice(self.targets)
            listed = it.name in self.play.store.objects["servers"]
            await draw.choice([
                lambda: self.set_weights(draw.random(), draw.random()),
                lambda: evacuate_one(draw.choice(ZONES)),
                lambda: self.put_back(ZONES[0]),
                lambda: self.put_back(ZONES[1]),
                lambda: (self.set_state(it, draw.choice(["draining", "ready"]))
                         if listed else it.register()),
                lambda: self.withdraw(it) if listed else it.register(),
            ])()

        self.keep_doing(CHANGE_PERIOD_S, change_any)
        await self.send_orders()
        self.assert_orders_true(all_served=False)
        self.assert_served(0.5)


if __name__ == "__main__":
    unittest.main()
