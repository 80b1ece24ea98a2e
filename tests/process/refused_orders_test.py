"""Refusals of targets that come again while their order, or another one, is
under way on the same connection.

A target's refusal promises that the order has not run, and the VM passes that
promise on or sends the order to another target. If the copy of a refusal is
taken for the answer to a later sending, the promise is untrue: the order runs
although it is refused, or it runs twice.
"""

from __future__ import annotations

import time
import unittest

from refused_orders_fixture import (
    SERVICE, ZONE, RefusedOrdersTest, Sent, Target, deployment)


class CopyingTarget(Target):
    """Sends each refusal once more when the next order is read."""

    def copies(self, sent: Sent) -> list[bytes]:
        return [sent.encode()] if sent.status != 200 else []


class SheddingTarget(CopyingTarget):
    """Turns some orders away."""

    shed_share = 0.3

    def refusal(self, order: str) -> int:
        if self.random.random() >= self.shed_share:
            return 0
        return self.random.choice((429, 503))


class LateCopyTarget(SheddingTarget):
    copy_delay_s = 0.02


class UnnamedRefusalTarget(SheddingTarget):
    refusals_name_order = False

    def refusal(self, order: str) -> int:
        return 503 if self.random.random() < self.shed_share else 0


class UnnamedMisdirectingTarget(CopyingTarget):
    refusals_name_order = False


class TwoEntriesTest(RefusedOrdersTest):
    """Each target's address stands in a second entry too, whose id is gone, so
    that an order for that one gets 421. Entries are written anew all the time,
    because a VM seldom uses an entry after a 421."""

    attempts = 3
    entry_period_s = 0.15

    async def write_entries(self, *, successor_first: bool) -> None:
        for it in self.targets:
            if successor_first:
                await it.register()
            await self.play.store.put(
                "servers", f"{it.name}-gone",
                {"address": it.address, "born": int(time.time() * 1000),
                 "info": {"service": SERVICE, "version": "v1", "zone": ZONE,
                          "slots": self.slots}},
                deployment.status("ready"))
            if not successor_first:
                await it.register()

    async def check(self, kind: type[Target], *, successor_first: bool
                    ) -> None:
        await self.start(kind)
        self.keep_doing(
            self.entry_period_s,
            lambda: self.write_entries(successor_first=successor_first))
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.5)

    async def test_orders_misdirected_by_a_gone_entry_get_true_answers(self):
        await self.check(CopyingTarget, successor_first=False)

    async def test_orders_misdirected_by_an_older_entry_get_true_answers(self):
        await self.check(CopyingTarget, successor_first=True)

    async def test_orders_misdirected_without_an_id_get_true_answers(self):
        await self.check(UnnamedMisdirectingTarget, successor_first=False)


class RefusedOrdersComeAgainTest(RefusedOrdersTest):
    """A caller sends its refused order again with the same id, at the same VM.

    Each sending bears a number that the targets record, so a promise is held
    against the runs of just the sending to which it was given: the order may
    run in a later one. Since a caller comes again only after a promise, an
    order may run once in all its sendings.
    """

    attempts = 1
    targets_count = 3
    sendings = 4

    async def order_until_served(self, connection: deployment.Connection
                                 ) -> bool:
        order = self.new_order()
        for number in range(self.sendings):
            asked = self.send(connection, order, number)
            it = await self.receive(connection, asked, number)
            if it.broken or connection.closing:
                return False
            if not it.promises_not_run:
                break
        return True

    async def check(self, kind: type[Target]) -> None:
        await self.start(kind)
        await self.send_orders(self.order_until_served)
        self.assert_promises_kept()
        self.assert_served(0.5)

    async def test_orders_with_an_earlier_id_get_true_answers(self):
        await self.check(SheddingTarget)

    async def test_orders_with_an_earlier_id_and_late_copies_get_true_answers(
            self):
        await self.check(LateCopyTarget)


class UnnamedRefusalsTest(RefusedOrdersTest):
    async def test_orders_after_refusals_without_an_id_get_true_answers(self):
        await self.start(UnnamedRefusalTarget)
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.3)


if __name__ == "__main__":
    unittest.main()
