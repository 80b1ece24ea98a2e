"""Answers that a target sends more often than it was asked.

They belong to no order that is under way: no caller may get one of them, and
the order that waits on the same connection gets its own answer.
"""

from __future__ import annotations

import asyncio
import unittest

from refused_orders_fixture import RefusedOrdersTest, Sent, Target


class RepeatingTarget(Target):
    """Sends some answers five times more when the next order is read."""

    def copies(self, sent: Sent) -> list[bytes]:
        return [sent.encode()] * 5 if self.random.random() < 0.2 else []


class EchoingTarget(Target):
    """Sends each answer once more without an id: a fifth at once, the others a
    little later, if the connection is still open."""

    delay_s = 0.05
    share_at_once = 0.2

    def answered(self, sent: Sent, writer: asyncio.StreamWriter) -> None:
        def repeat() -> None:
            if not writer.is_closing():
                self.counts["copies"] += 1
                writer.write(sent.encode(with_id=False))

        if self.random.random() < self.share_at_once:
            return repeat()
        asyncio.get_running_loop().call_later(self.delay_s, repeat)


class SheddingEchoingTarget(EchoingTarget):
    def refusal(self, order: str) -> int:
        return 503 if self.random.random() < 0.2 else 0


class ExtraAnswersTest(RefusedOrdersTest):
    async def test_orders_behind_many_copies_are_served(self):
        await self.start(RepeatingTarget)
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.98)

    async def test_orders_of_targets_that_repeat_answers_get_their_own(self):
        await self.start(EchoingTarget)
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.3)

    async def test_orders_of_targets_that_repeat_refusals_get_true_answers(
            self):
        await self.start(SheddingEchoingTarget)
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.3)


if __name__ == "__main__":
    unittest.main()
