"""A small deployment for the cases of this review.

The store, the targets and the clients are stand-ins in this process that speak
PROTOCOL.md; the VMs are processes with the settings of deploy/settings.jsonc.
All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, Awaitable, Callable, Optional

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "pomelohinged_platform"
TEMPLATE = ROOT / "deploy" / "settings.jsonc"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Headers = list[tuple[str, str]]


class CouldNotRun(Exception):
    """The case could not be played; the run tells nothing."""


def free_port(host: str) -> int:
    with socket.socket() as it:
        it.bind((host, 0))
        return int(it.getsockname()[1])


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._begin = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._begin

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.add(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self) -> None:
        self._file.close()


def header(headers: Headers, name: str) -> str:
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return ""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Reads a start line, headers and a body with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    headers = [(key, value.strip()) for key, _, value in
               (it.partition(":") for it in lines[1:])]
    if "chunked" in header(headers, "Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return lines[0], headers, body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(header(headers, "Content-Length") or 0)
    return lines[0], headers, await reader.readexactly(length)


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    text = start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers)
    if not header(headers, "Content-Length"):
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


class HttpServer:
    """Accepts connections and answers each request by `answer`."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host, self.port = host, port
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: Optional[asyncio.AbstractServer] = None

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 24, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                if not await self.answer(start, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, start: str, headers: Headers, body: bytes,
                     reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> bool:
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects by kind and name, lists, watches, eras."""

    def __init__(self, host: str, record: Record) -> None:
        super().__init__(host)
        self.record = record
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = (
            collections.defaultdict(dict))
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Condition()
        self.delay_s = 0.004
        self.era = 1
        #: Called with each request; may answer in place of the store.
        self.calls: collections.Counter[str] = collections.Counter()

    async def put(self, kind: str, name: str, spec: Any, status: Any = None,
                  ) -> int:
        self.revision += 1
        known = self.objects[kind].get(name)
        created = known["metadata"]["created"] if known else self.revision
        it = {"metadata": {"name": name, "rev": self.revision,
                           "created": created, "finalizers": [],
                           "deleting": False},
              "spec": spec, "status": status}
        self.objects[kind][name] = it
        await self._note(kind, it, False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        it = self.objects[kind].pop(name, None)
        if it is None:
            return
        self.revision += 1
        await self._note(kind, it, True)

    async def _note(self, kind: str, it: dict[str, Any], deleted: bool) -> None:
        self.events.append((self.revision, kind, it, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, start: str, headers: Headers, body: bytes,
                     reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> bool:
        method, target, _ = start.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(it.split("=", 1) for it in query_text.split("&") if it)
        self.calls[method + " " + path.split("/")[2]] += 1
        await asyncio.sleep(self.delay_s)
        status, value = await self._call(method, path.split("/")[2:], query, body)
        text = json.dumps(value).encode()
        writer.write(encode(f"HTTP/1.1 {status} Status", [
            ("Content-Type", "application/json"),
            ("Store-Era", str(self.era))], text))
        await writer.drain()
        return True

    async def _call(self, method: str, path: list[str], query: dict[str, str],
                    body: bytes) -> tuple[int, Any]:
        kind = path[0]
        name = path[1] if len(path) > 1 else ""
        known = self.objects[kind].get(name)
        if method == "GET" and name:
            return (200, known) if known else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", 0)) / 1000)
        if method == "GET":
            names = sorted(it for it in self.objects[kind]
                           if it > query.get("after", ""))
            return 200, {"items": [self.objects[kind][it] for it in names[:500]],
                         "hasMore": len(names) > 500, "at": self.revision}
        rev = int(query.get("rev", 0))
        given = json.loads(body) if body else {}
        rev = rev or int(given.get("metadata", {}).get("rev", 0) or 0)
        if method == "POST":
            name = given["metadata"]["name"]
            known = self.objects[kind].get(name)
            if known:
                return 409, known
            await self.put(kind, name, given.get("spec"))
            return 201, self.objects[kind][name]
        if known is None:
            return 404, {}
        if rev and rev != known["metadata"]["rev"]:
            return 409, known
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        if path[2:] == ["status"]:
            await self.put(kind, name, known["spec"], given.get("status"))
        elif given.get("spec") != known["spec"]:
            await self.put(kind, name, given.get("spec"), known["status"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind: str, since: int,
                     wait_s: float) -> tuple[int, Any]:
        if since > self.revision:
            return 410, {}
        end = time.monotonic() + wait_s
        while True:
            found = [{"deleted": deleted, "object": it}
                     for rev, of, it, deleted in self.events
                     if of == kind and rev > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Target(HttpServer):
    """One target: runs each request for `work_s` and signs its answers."""

    def __init__(self, host: str, record: Record, store: Store, service: str,
                 zone: str, slots: int = 6) -> None:
        super().__init__(host)
        self.record, self.store = record, store
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.zone, self.slots = service, zone, slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.work_s = 0.05
        self.busy = 0
        #: Times at which each request began to run.
        self.runs: dict[str, list[float]] = collections.defaultdict(list)
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)

    async def register(self) -> None:
        await self.store.put("servers", self.id, {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots}},
            {"state": self.state, "seq": 1, "warmup" "LeftS": 0})

    async def answer(self, start: str, headers: Headers, body: bytes,
                     reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> bool:
        method, path, _ = start.split(" ")
        request = header(headers, "X-Request-Id")
        now = self.record.now()
        if path == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("x-instance-id", self.id)]))
            return True
        self.arrivals[request].append(now)
        if header(headers, "x-target-instance") not in ("", self.id):
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("x-instance-id", self.id),
                                 ("X-Request-Id", request)]))
            return True
        if self.busy >= self.slots:
            writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                [("x-not-executed", "1"),
                                 ("X-Request-Id", request)]))
            return True
        self.busy += 1
        self.runs[request].append(now)
        self.record.add(f"run {request} at {self.id} ({self.service}) "
                        f"tenant {header(headers, 'x-tenant')}")
        try:
            return await self.run(method, path, headers, body, request, writer)
        finally:
            self.busy -= 1

    async def run(self, method: str, path: str, headers: Headers, body: bytes,
                  request: str, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.work_s)
        writer.write(self.success(request, request.encode()))
        await writer.drain()
        return True

    def success(self, request: str, body: bytes, *extra: tuple[str, str],
                ) -> bytes:
        return encode("HTTP/1.1 200 OK", [
            ("X-Request-Id", request),
            ("x-response-signature", f"{self.id}.{request}"), *extra], body)


class Vm:
    """One process of the deploy file's program."""

    def __init__(self, fleet: "Fleet", host: str, zone: str, name: str) -> None:
        self.fleet, self.host, self.zone, self.name = fleet, host, zone, name
        self.ports = {it: free_port(host) for it in
                      ("front", "ready", "control", "directory")}
        self.process: Optional[subprocess.Popen[bytes]] = None
        self.starts = 0

    def at(self, role: str) -> str:
        return f"{self.host}:{self.ports[role]}"

    def start(self) -> None:
        values: dict[str, Any] = {
            "node": self.name, "zone": self.zone, "ip": self.host,
            "platform": {"address": self.fleet.store_address},
            "listen": {it: self.at(it) for it in self.ports},
            "seeds": [it.at("control") for it in self.fleet.vms[:3]],
            "limits": {"cpuShare": 1.0, "memoryMb": 260, "linkMbps": 1000.0,
                       "cores": 1},
            "bounds": self.fleet.bounds}
        path = self.fleet.folder / f"{self.name}.jsonc"
        path.write_text(fill(TEMPLATE.read_text(), values))
        self.starts += 1
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [str(DAEMON)], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "POMELOHINGE_SETTINGS": str(path)})
        log.close()

    def signal(self, it: int) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(it)

    def log(self) -> str:
        return (self.fleet.folder / f"{self.name}.log").read_text(
            errors="replace")


def lookup(values: Any, name: str) -> Any:
    for part in name.split("."):
        if isinstance(values, dict):
            values = values.get(part)
        elif isinstance(values, list) and part.isdigit():
            values = values[int(part)] if int(part) < len(values) else None
        else:
            return None
    return values


def fill(text: str, values: dict[str, Any]) -> str:
    """Fills in a template of settings as DEPLOY.md says."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match: "re.Match[str]", outer: Any) -> str:
        value = lookup(values, match[2])
        is_set = value not in (None, False, "", [], {})
        if match[1] == "^":
            return "" if is_set else expand_all(match[3], outer)
        return expand_all(match[3], value) if is_set else ""

    def expand_all(part: str, current: Any) -> str:
        part = section.sub(lambda it: expand(it, current), part)

        def place(match: "re.Match[str]") -> str:
            name, form = match[1], match[2]
            value = current if name == "." else lookup(values, name)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(?:\|(\w+))?\}\}", place, part)

    return expand_all(text, None)


BOUNDS = {"contactS": 3, "drainS": 2, "graceS": 6, "configS": 2,
          "lossSlackS": 0.2, "strictRevoke": True, "revokeS": 5,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 60,
          "quotaWindowS": 5, "evacuateS": 5, "floorShare": 0.7}


def configuration(version: int, **given: Any) -> dict[str, Any]:
    """What the operator writes to config/main: one tenant, a route for orders
    that run once and one for look-ups."""
    service = given.get("service", "booking")
    routes = [
        {"name": "r-orders", "path" "Prefix": "/orders/", "kind": "non_idempotent",
         "timeout" "S": 3, "aim" "S": 0.8, "priority": 1, "service": service,
         "attempts": 2, "public": False},
        {"name": "r-look", "path" "Prefix": "/look/", "kind": "idempotent",
         "timeout" "S": 2.5, "aim" "S": 0.8, "priority": 2, "service": service,
         "attempts": 2, "public": False}]
    return {
        "version": version,
        "services": [{"name": it, "healthPath": "/health", "maxConns": 360,
                      "protocol": "h1", "tls": False,
                      "warmupS": given.get("warmup_s", 3.0),
                      "warmup" "PerS": given.get("warmup_per_s", 23.0)}
                     for it in ("booking", "counter")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": [{"name": "t1", "api" "Keys": ["k1", "k2"], "priority": 1,
                     "rate" "PerS": given.get("rate", 0),
                     "burst": given.get("burst", 0)}],
        "hosts": [{"host": "shop.example", "paths": routes}]}


class Fleet:
    """The store, targets and VMs of one run."""

    def __init__(self, record: Record, seed: int = 0) -> None:
        self.record = record
        self.bounds = dict(BOUNDS)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store(f"{self.net}.1", record)
        self.store_address = ""
        self.targets: list[Target] = []
        self.vms: list[Vm] = []
        self.version = 7

    def add_vm(self, zone: str, name: str) -> Vm:
        it = Vm(self, f"{self.net}.{100 + len(self.vms)}", zone, name)
        self.vms.append(it)
        return it

    async def add_target(self, service: str, zone: str, slots: int = 6,
                         kind: type[Target] = Target) -> Target:
        it = kind(f"{self.net}.{20 + len(self.targets)}", self.record,
                  self.store, service, zone, slots)
        await it.start()
        await it.register()
        self.targets.append(it)
        return it

    async def open(self, **configured: Any) -> None:
        """Starts the store with the first configuration."""
        await self.store.start()
        self.store_address = self.store.address
        await self.store.put(
            "config", "main", configuration(self.version, **configured))

    async def start(self, settle_s: float = 4.0) -> None:
        if not DAEMON.exists():
            raise CouldNotRun(f"{DAEMON} is not built")
        for it in self.vms:
            it.start()
        end = time.monotonic() + 20
        for it in self.vms:
            while await self.ready(it) != 200:
                if time.monotonic() > end:
                    raise CouldNotRun(f"{it.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)

    async def ready(self, vm: Vm) -> int:
        try:
            it = await ask(vm.at("ready"), "GET", "/ready", [], timeout_s=1)
            return it.status
        except OSError:
            return 0

    async def stop(self) -> None:
        for it in self.vms:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        for target in self.targets:
            await target.stop()
        await self.store.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status: int, headers: Headers, body: bytes,
                 broken: str = "") -> None:
        self.status, self.headers, self.body = status, headers, body
        self.broken = broken

    def header(self, name: str) -> str:
        return header(self.headers, name)


class Connection:
    """A client's connection that is kept for several requests."""

    def __init__(self, reader: asyncio.StreamReader,
                 writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address: str, timeout_s: float = 1.0) -> "Connection":
        host, port = address.split(":")
        return Connection(*await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 24), timeout_s))

    def send(self, method: str, path: str, headers: Headers,
             body: bytes = b"") -> None:
        if method == "GET" and not body:
            text = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in headers) + "\r\n"
            self.writer.write(text.encode())
            return
        self.writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))

    async def receive(self, timeout_s: float) -> Answer:
        try:
            start, headers, body = await asyncio.wait_for(
                read_message(self.reader), timeout_s)
        except asyncio.TimeoutError:
            return Answer(0, [], b"", "timeout")
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            return Answer(0, [], b"", f"closed ({type(error).__name__})")
        return Answer(int(start.split(" ")[1]), headers, body)

    def close(self) -> None:
        self.writer.close()


async def ask(address: str, method: str, path: str, headers: Headers,
              body: bytes = b"", timeout_s: float = 5.0) -> Answer:
    connection = await Connection.open(address)
    try:
        connection.send(method, path, [("Host", "shop.example"), *headers], body)
        return await connection.receive(timeout_s)
    finally:
        connection.close()


def xxh64(data: bytes, seed: int = 0) -> int:
    """XXH64 of less than 32 bytes, by which the VMs order themselves."""
    p1, p2, p3, p4, p5 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F,
                          0x165667B19E3779F9, 0x85EBCA77C2B2AE63,
                          0x27D4EB2F165667C5)
    mask = (1 << 64) - 1

    def turn(value: int, bits: int) -> int:
        return ((value << bits) | (value >> (64 - bits))) & mask

    assert len(data) < 32
    h = (seed + p5 + len(data)) & mask
    while len(data) >= 8:
        k = int.from_bytes(data[:8], "little") * p2 & mask
        h = (turn(h ^ (turn(k, 31) * p1 & mask), 27) * p1 + p4) & mask
        data = data[8:]
    if len(data) >= 4:
        h ^= int.from_bytes(data[:4], "little") * p1 & mask
        h = (turn(h, 23) * p2 + p3) & mask
        data = data[4:]
    for it in data:
        h = turn(h ^ (it * p5 & mask), 11) * p1 & mask
    h = (h ^ (h >> 33)) * p2 & mask
    h = (h ^ (h >> 29)) * p3 & mask
    return h ^ (h >> 32)


def hub_order(vms: list[Vm]) -> list[Vm]:
    """The VMs of one zone in the order in which they become its hub."""
    return sorted(vms, key=lambda it: xxh64(it.name.encode()))


def request_id() -> str:
    return f"{random.getrandbits(64):016x}"


class Clients:
    """Clients that ask the directory where to connect, as PROTOCOL.md says, and
    send requests at a steady rate, each on a new connection."""

    #: Seconds for which an answer of the directory counts.
    ttl_max_s = 5.0

    def __init__(self, fleet: Fleet, method: str, path: str, headers: Headers,
                 rate: float, zone: str, deadline_s: float = 3.0,
                 clients: int = 50) -> None:
        self.fleet, self.method, self.path = fleet, method, path
        self.headers, self.rate, self.zone = headers, rate, zone
        self.deadline_s = deadline_s
        self.answers: collections.Counter[int] = collections.Counter()
        #: Requests by id: time sent, address, status (0: no answer).
        self.sent: dict[str, tuple[float, str, int]] = {}
        #: For each client, the addresses that it knows and until when.
        self._known: list[tuple[list[str], float]] = [([], 0.0)] * clients
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    async def addresses(self, client: int) -> list[str]:
        now = time.monotonic()
        known, until = self._known[client]
        if known and now < until:
            return known
        nodes = sorted(self.fleet.vms,
                       key=lambda it: (it.zone != self.zone, random.random()))
        for vm in nodes[:3]:
            try:
                it = await ask(vm.at("directory"), "GET",
                               "/" f"resolve?name=shop.example&region=r"
                               f"&zone={self.zone}", [], timeout_s=1)
            except (OSError, asyncio.TimeoutError):
                continue
            found = json.loads(it.body) if it.status == 200 else {}
            if found.get("addresses"):
                known = found["addresses"]
                self._known[client] = (
                    known, now + min(found["ttl" "S"], self.ttl_max_s))
                break
        return known

    async def _connect(self, client: int) -> tuple[str, Connection]:
        """Tries the known addresses in random order, and asks the directory
        once more if none of them takes a connection."""
        for _ in range(2):
            known = list(await self.addresses(client))
            random.shuffle(known)
            for address in known:
                try:
                    return address, await Connection.open(address)
                except (OSError, asyncio.TimeoutError):
                    continue
            self._known[client] = ([], 0.0)
        raise ConnectionError("no address takes a connection")

    async def _one(self) -> None:
        request = request_id()
        try:
            address, connection = await self._connect(
                random.randrange(len(self._known)))
        except ConnectionError:
            self.answers[-1] += 1
            return
        sent_at = self.fleet.record.now()
        self.sent[request] = (sent_at, address, 0)
        try:
            connection.send(self.method, self.path + request, [
                ("Host", "shop.example"), *self.headers,
                ("X-Request-Id", request),
                ("x-deadline-ms", str(int(self.deadline_s * 1000)))],
                b"" if self.method == "GET" else request.encode())
            it = await connection.receive(self.deadline_s + 0.5)
        finally:
            connection.close()
        self.sent[request] = (sent_at, address, it.status)
        self.answers[it.status] += 1
        self.fleet.record.add(f"answer {request} by {address}: {it.status} "
                              f"{it.broken} sent at {sent_at:.3f}")

    async def run(self) -> None:
        due = time.monotonic()
        while not self._stopped:
            due += random.expovariate(self.rate)
            await asyncio.sleep(max(0, due - time.monotonic()))
            task = asyncio.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        self._stopped = True
        if self._tasks:
            await asyncio.wait(self._tasks)


def play(case: pathlib.Path,
         body: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Runs a case and exits with its result. `body` gets whether there is a
    disruption and returns whether the rule held."""
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(body(record, trouble), 115))
        code = HELD if held else BROKEN
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "THE RULE IS BROKEN",
                COULD_NOT_RUN: "no result"}[code])
    record.close()
    sys.exit(code)
