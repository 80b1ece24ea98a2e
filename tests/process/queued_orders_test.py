"""Orders that wait: behind others on a connection, at two VMs, or in the queue
of a target. What is refused meanwhile must not run later."""

from __future__ import annotations

import asyncio
import unittest

from refused_orders_fixture import RefusedOrdersTest, Sent, Target, deployment


class SheddingTarget(Target):
    """Turns some orders away, and sends the refusal once more when the next
    order is read."""

    def refusal(self, order: str) -> int:
        return 503 if self.random.random() < 0.3 else 0

    def copies(self, sent: Sent) -> list[bytes]:
        return [sent.encode()] if sent.status != 200 else []


class QueueingTarget(Target):
    """Queues orders beyond its room and sheds those that wait for too long. It
    runs an order also if the VM has given up."""

    room = 1
    max_wait_s = 0.25

    async def admit(self) -> bool:
        waited_s = 0.0
        while self.busy >= self.room and waited_s < self.max_wait_s:
            await asyncio.sleep(0.01)
            waited_s += 0.01
        return self.busy < self.room

    def work_time(self) -> float:
        return 0.1


class PatientTarget(QueueingTarget):
    """Queues orders for longer than their callers wait."""

    max_wait_s = 1.5


class SlowTarget(SheddingTarget):
    """Takes longer for some orders than their callers wait."""

    def work_time(self) -> float:
        return 1.0 if self.random.random() < 0.1 else 0.05


class QueuedOrdersTest(RefusedOrdersTest):
    async def test_orders_behind_others_on_a_connection_get_true_answers(self):
        async def order_three(connection: deployment.Connection) -> bool:
            asked = [
                self.send(connection, self.new_order(), 0,
                          b"b" * self.random.choice((1, 700, 30_000)))
                for _ in range(3)]
            for it in asked:
                outcome = await self.receive(connection, it, 0)
                if outcome.broken or connection.closing:
                    return False
            return True

        await self.start(SheddingTarget)
        await self.send_orders(order_three, orders_each=3)
        self.assert_promises_kept()
        self.assert_served(0.7)

    async def check_orders_sent_twice(self, *, to_same_vm: bool) -> None:
        async def order_twice(connection: deployment.Connection) -> bool:
            other = await self.connect(next(
                it for it in self.play.machines
                if (it.ip == connection.ip) == to_same_vm))
            order = self.new_order()
            outcomes = await asyncio.gather(*(
                self.receive(it, self.send(it, order, number), number)
                for number, it in enumerate((connection, other))))
            other.close()
            return not outcomes[0].broken

        await self.start(SheddingTarget)
        await self.send_orders(order_twice, orders_each=2)
        self.assert_promises_kept()
        self.assert_served(0.7)

    async def test_orders_sent_to_two_vms_at_once_get_true_answers(self):
        await self.check_orders_sent_twice(to_same_vm=False)

    async def test_orders_sent_twice_to_a_vm_at_once_get_true_answers(self):
        await self.check_orders_sent_twice(to_same_vm=True)


class FullTargetsTest(RefusedOrdersTest):
    """Targets with less room than they state, or slow ones, and callers that
    wait for a short time."""

    deadline_s = 0.6
    callers = 80

    async def check(self, kind: type[Target]) -> None:
        await self.start(kind)
        await self.send_orders()
        self.assert_promises_kept()
        self.assert_served(0.1)

    async def test_orders_shed_from_a_queue_get_true_answers(self):
        await self.check(QueueingTarget)

    async def test_orders_queued_past_their_deadline_get_true_answers(self):
        await self.check(PatientTarget)

    async def test_orders_of_slow_targets_get_true_answers(self):
        await self.check(SlowTarget)


if __name__ == "__main__":
    unittest.main()
