"""Three of eight VMs are lost; then a request comes that crashes its targets."""

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
PATH, BODY = "/orders/harmful", b"the same body"
CONTACT_S, ALLOWED = 3.0, 3
VMS, LOST, TARGETS = 8, 3, 10
REQUESTS_PER_S = 100
REPEAT_S, REPEATS = 1.2, 28
DOWN_S, HEARTBEAT_S = 3.0, 1.5


class FragileTarget(fleet.Target):
    """Crashes when it begins to run the harmful request."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.harmed: list[float] = []
        self.cut: list[str] = []

    async def run(self, method, path, headers, body, request, writer):
        if path == PATH:
            self.harmed.append(self.record.now())
            self.record.say(f"{request} crashes {self.id}")
            asyncio.create_task(self.crash())
            await asyncio.sleep(10)
            return False
        incarnation = self.id
        await asyncio.sleep(0.1)
        if self.id != incarnation or self.state != "ready":
            self.cut.append(request)
            return False
        writer.write(self.success(request, request.encode()))
        await writer.drain()
        return True

    async def crash(self):
        self.state = "down"
        before = self.id
        await self.stop()
        await asyncio.sleep(DOWN_S)
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.busy = 0
        self.state = "ready"
        await self.start()
        await self.register()
        # The entry of the one before goes after three heartbeats.
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - DOWN_S))
        await self.store.remove("servers", before)


async def play(record, trouble):
    it = fleet.Fleet(record)
    try:
        await it.open()
        for _ in range(TARGETS):
            await it.add_target(SERVICE, ZONE, 6, FragileTarget)
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
        #: Times at which the harmful request was sent, by its id.
        sent: dict[str, float] = {}

        async def send_harmful():
            address, connection = await clients._connect(
                random.randrange(len(clients._known)))
            request = fleet.request_id()
            sent[request] = record.now()
            connection.send("POST", PATH, [
                ("Host", "shop.example"), ("x-api-key", "k1"),
                ("X-Request-Id", request), ("x-deadline-ms", "3000")], BODY)
            answer = await connection.receive(3.5)
            connection.close()
            record.say(f"{request} by {address}: {answer.status}")

        for _ in range(REPEATS):
            asyncio.create_task(send_harmful())
            await asyncio.sleep(REPEAT_S)
        await asyncio.sleep(4)
        await clients.stop()
        await sending
        crashes = sorted(at for target in it.targets for at in target.harmed)
        reached = {request for target in it.targets
                   for request in target.arrivals if request in sent}
        late = [] if len(crashes) < 3 else [
            request for request in reached
            if sent[request] > crashes[2] + CONTACT_S]
        record.say(f"{len(crashes)} crashes at "
                   f"{', '.join(f'{at:.1f}' for at in crashes)}")
        cut = [request for target in it.targets for request in target.cut]
        failed = sum(1 for request in cut
                     if clients.sent.get(request, (0, "", 0))[2] != 200)
        record.say(f"{len(cut)} other requests were cut by crashes while they "
                   f"ran; {failed} of their clients got no success")
        record.say(f"{len(late)} retries reached targets that were sent later "
                   f"than {CONTACT_S:.0f} s after the third crash; allowed "
                   f"{ALLOWED}")
        return len(late) <= ALLOWED
    finally:
        await it.stop()


fleet.play(HERE, play)
