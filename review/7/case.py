"""Three of eight VMs are lost; then the zone's targets come back cold."""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import fleet  # noqa: E402

ZONE, SERVICE = "ain-sebaa", "booking"
WARMUP_S, PER_S, EXCESS, EXTRA = 3.0, 23.0, 1.5, 5.0
BOUND = PER_S * EXCESS + EXTRA
#: A cold target crashes at a rate "well above" what it tolerates.
CRASH_AT = 2 * BOUND
WORK_S, COLD_FACTOR = 0.06, 2
REQUESTS_PER_S = 240
VMS, LOST, TARGETS = 8, 3, 4
HEARTBEAT_S = 1.5


class ColdTarget(fleet.Target):
    cold_until = 0.0
    #: Arrivals while cold, with the incarnation: (id, time, request).
    cold: list[tuple[str, float, str]]
    crashed: list[float]
    lost: list[str]

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cold, self.crashed, self.lost = [], [], []

    async def answer(self, start, headers, body, reader, writer):
        request = fleet.header(headers, "X-Request-Id")
        now = self.record.now()
        mine = fleet.header(headers, "x-target-instance") in ("", self.id)
        if now < self.cold_until and mine:
            self.cold.append((self.id, now, request))
            recent = sum(1 for it, at, _ in self.cold
                         if it == self.id and at > now - 1)
            if recent > CRASH_AT:
                asyncio.create_task(self.crash())
                await asyncio.sleep(10)
                return False
        return await super().answer(start, headers, body, reader, writer)

    async def run(self, method, path, headers, body, request, writer):
        is_cold = self.record.now() < self.cold_until
        incarnation = self.id
        await asyncio.sleep(WORK_S * (COLD_FACTOR if is_cold else 1))
        if self.id != incarnation or self.state != "ready":
            self.lost.append(request)
            return False
        writer.write(self.success(request, request.encode()))
        await writer.drain()
        return True

    async def crash(self):
        if self.state != "ready":
            return
        self.record.say(f"target {self.id} crashes: more than {CRASH_AT:.0f} "
                        f"requests in a second while cold")
        self.crashed.append(self.record.now())
        await self.restart(3.0)

    async def restart(self, down_s):
        """Goes down and comes back cold, with a new id."""
        self.state = "down"
        before = self.id
        await self.stop()
        await asyncio.sleep(down_s)
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.state = "ready"
        await self.start()
        self.cold_until = self.record.now() + WARMUP_S
        await self.store.put("servers", self.id, {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots}},
            {"state": "ready", "seq": 1, "warmup" "LeftS": WARMUP_S})
        # The entry of the one before goes after three heartbeats.
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
        await self.store.remove("servers", before)


def most_in_a_second(target, sent):
    """The most requests that were sent and arrived inside one second."""
    worst = (0, 0.0, "")
    for incarnation in {it for it, _, _ in target.cold}:
        pairs = [(sent[request], at) for it, at, request in target.cold
                 if it == incarnation and request in sent]
        for begin, _ in pairs:
            n = sum(1 for s, at in pairs if begin <= s and at < begin + 1)
            worst = max(worst, (n, begin, incarnation))
    return worst


async def play(record, trouble):
    it = fleet.Fleet(record)
    try:
        await it.open(warmup_s=WARMUP_S, warmup_per_s=PER_S)
        for _ in range(TARGETS):
            await it.add_target(SERVICE, ZONE, 6, ColdTarget)
        for n in range(VMS):
            it.add_vm(ZONE, f"vm-{n}")
        await it.start()
        clients = fleet.Clients(it, "POST", "/orders/", [("x-api-key", "k1")],
                                REQUESTS_PER_S, ZONE)
        sending = asyncio.create_task(clients.run())
        await asyncio.sleep(5)
        if trouble:
            lost = fleet.hub_order(it.vms)[:LOST]
            record.say("lost for good: " + ", ".join(vm.name for vm in lost))
            for vm in lost:
                vm.signal(signal.SIGKILL)
        await asyncio.sleep(10)
        record.say("the targets go down for 3 s and come back cold")
        await asyncio.gather(*(target.restart(3.0) for target in it.targets))
        await asyncio.sleep(8)
        await clients.stop()
        await sending
        sent = {request: at for request, (at, _, _) in clients.sent.items()}
        held = True
        for target in it.targets:
            n, begin, incarnation = most_in_a_second(target, sent)
            record.say(f"cold target {incarnation}: {n} requests in the second "
                       f"from {begin:.3f}; allowed {BOUND}")
            held = held and n <= BOUND
        crashes = sum(len(target.crashed) for target in it.targets)
        lost_runs = [request for target in it.targets for request in target.lost
                     if target.crashed]
        record.say(f"{crashes} crashes; answers to clients: "
                   f"{dict(clients.answers)}; runs cut by a target's end: "
                   f"{len(lost_runs)}")
        return held
    finally:
        await it.stop()


fleet.play(HERE, play)
