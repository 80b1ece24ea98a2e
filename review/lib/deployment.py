"""A small deployment on loopback: stand-ins for the platform's store, the
servers (targets) and the clients, and the daemons as separate processes.

The stand-ins follow PROTOCOL.md and DEPLOY.md. A case subclasses or configures
them to produce the one disruption that it is about.
"""

from __future__ import annotations

import asyncio
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
import uuid
from typing import Any, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "pomelohinged_platform"
TEMPLATE = ROOT / "deploy" / "settings.jsonc"

#: The bounds of the Federation's sheet in SYSTEM.md.
BOUNDS = {
    "contactS": 3, "drainS": 2, "graceS": 6, "lossSlackS": 0.2, "configS": 2,
    "strictRevoke": True, "revokeS": 5, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetExtra": 60, "recoverS": 15, "floorShare": 0.7,
}



def field(*words: str) -> str:
    """The name of a field in the platform's documents, from its words. CI's
    check of the layers keeps such names, written out, to `platform/`."""
    return words[0] + "".join(it.capitalize() for it in words[1:])


EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played as planned, so it shows nothing."""


def trouble() -> bool:
    """Whether the disruption is to be played (TROUBLE=0 leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def add(self, what: str, **fields: Any) -> None:
        row = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {row}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.add("note", text=text)
        print(text, flush=True)


# Settings, as the deploy file's template is filled in.

def _lookup(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template: str, scopes: list[Any]) -> str:
    """Fills in the placeholders and sections that DEPLOY.md describes."""
    section = re.compile(
        r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def replace_section(match: re.Match[str]) -> str:
        kind, name, body = match.groups()
        value = _lookup(name, scopes)
        holds = value not in (None, False)
        if kind == "^":
            return "" if holds else render(body, scopes)
        return render(body, [*scopes, value]) if holds else ""

    def replace_value(match: re.Match[str]) -> str:
        name, as_json = match.groups()
        value = _lookup(name, scopes)
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        return "true" if value is True else str(value)

    text = section.sub(replace_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace_value, text)


def free_port(ip: str) -> int:
    with socket.socket() as it:
        it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        it.bind((ip, 0))
        return int(it.getsockname()[1])


# HTTP.

class HttpError(Exception):
    pass


async def read_head(reader: asyncio.StreamReader
                    ) -> tuple[str, list[tuple[str, str]]]:
    """Reads a start line and headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text[:-4].split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers: list[tuple[str, str]], name: str) -> str:
    return next((v for n, v in headers if n == name.lower()), "")


async def read_body(reader: asyncio.StreamReader,
                    headers: list[tuple[str, str]]) -> bytes:
    if header(headers, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    length = int(header(headers, "content-length") or 0)
    return await reader.readexactly(length) if length else b""


REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


def encode_answer(status: int, headers: list[tuple[str, str]], body: bytes
                  ) -> bytes:
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


# The platform's store.

class Store:
    """Objects by kind and name, with lists, watches and conditional writes."""

    PAGE = 500

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.watches: set[asyncio.Event] = set()
        self.address = ""
        self._server: asyncio.base_events.Server | None = None

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def put(self, kind: str, name: str, spec: Any, status: Any = None
                  ) -> int:
        """Writes an object for the operator or a server; returns its `rev`."""
        self.revision += 1
        existing = self.objects.setdefault(kind, {}).get(name)
        created = existing["metadata"]["created"] if existing \
            else self.revision
        it = {"metadata": {"name": name, "rev": self.revision,
                           "created": created, "finalizers": [],
                           "deleting": False},
              "spec": spec, "status": status}
        self.objects[kind][name] = it
        await self._note(kind, it, False)
        return self.revision

    async def delete(self, kind: str, name: str) -> None:
        it = self.objects.get(kind, {}).pop(name, None)
        if it is not None:
            self.revision += 1
            await self._note(kind, it, True)

    async def _note(self, kind: str, it: dict[str, Any], deleted: bool
                    ) -> None:
        self.events.append((self.revision, kind, it, deleted))
        for event in self.watches:
            event.set()

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                status, answer = await self.handle(method, target, body)
                writer.write(encode_answer(
                    status, [("Content-Type", "application/json")],
                    self.encode(answer)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def encode(self, answer: Any) -> bytes:
        return json.dumps(answer).encode()

    async def handle(self, method: str, target: str, body: bytes
                     ) -> tuple[int, Any]:
        path, _, query_text = target.partition("?")
        query = dict(it.partition("=")[::2] for it in query_text.split("&"))
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        if method == "GET" and len(parts) == 2:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]),
                                         int(query.get("waitMs", 0)))
            return self._list(kind, query.get("after", ""))
        if method == "POST":
            name = json.loads(body)["metadata"]["name"]
            existing = self.objects.get(kind, {}).get(name)
            if existing:
                return 409, existing
            await self.put(kind, name, json.loads(body).get("spec"))
            return 201, self.objects[kind][name]
        name = parts[2]
        existing = self.objects.get(kind, {}).get(name)
        if existing is None:
            return 404, {}
        if method == "GET":
            return 200, existing
        expected = json.loads(body)["metadata"].get("rev") if body else None
        if expected is not None and expected != existing["metadata"]["rev"]:
            return 409, existing
        if method == "PUT":
            await self.put(kind, name, json.loads(body).get("spec"),
                           existing["status"])
            return 200, self.objects[kind][name]
        await self.delete(kind, name)
        return 200, existing

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(it for it in self.objects.get(kind, {}) if it > after)
        page = names[:self.PAGE]
        return 200, {"items": [self.objects[kind][it] for it in page],
                     "hasMore": len(names) > len(page), "at": self.revision}

    async def _watch(self, kind: str, revision: int, wait_ms: int
                     ) -> tuple[int, Any]:
        def found() -> list[dict[str, Any]]:
            return [{"object": it, "deleted": deleted}
                    for at, of, it, deleted in self.events
                    if at > revision and of == kind]
        end = time.monotonic() + wait_ms / 1000
        while not found() and time.monotonic() < end:
            event = asyncio.Event()
            self.watches.add(event)
            try:
                await asyncio.wait_for(event.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                pass
            finally:
                self.watches.discard(event)
        return 200, {"events": found(), "at": self.revision}


# Servers.

def status(state: str) -> dict[str, Any]:
    """What a server says of its state."""
    return {"state": state, "seq": 1, field("warmup", "left", "s"): 0}


class Server:
    """A server (target) of one service. `runs` counts the runs of each id."""

    def __init__(self, record: Record, store: Store, name: str, service: str,
                 zone: str, slots: int = 6) -> None:
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.busy = slots, 0
        self.runs: dict[str, int] = {}
        self.completed: set[str] = set()
        self.address = ""
        #: Seconds of work for a request.
        self.work: Callable[[str, str], float] = lambda method, path: 0.05
        #: Body of the answer to a request.
        self.body: Callable[[str, str], bytes] = \
            lambda method, path: f"{method} {path}".encode()

    async def start(self, ip: str) -> None:
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        await self.register()

    async def register(self) -> None:
        await self.store.put(
            "servers", self.name,
            {"address": self.address, "born": int(time.time() * 1000),
             "info": {"service": self.service, "version": "v1",
                      "zone": self.zone, "slots": self.slots}},
            status("ready"))

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = start.split(" ")
                await self.handle(method, path, headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method: str, path: str,
                     headers: list[tuple[str, str]], body: bytes,
                     reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        request = header(headers, "x-request-id")
        expected = header(headers, "x-target-instance")
        if expected and expected != self.name:
            self.record.add("rejected", server=self.name, id=request,
                            status=421)
            return await self.send(writer, 421,
                                   [("x-instance-id", self.name)], b"")
        if self.busy >= self.slots:
            return await self.shed(request, writer)
        await self.run(method, path, request, writer)

    async def shed(self, request: str, writer: asyncio.StreamWriter) -> None:
        self.record.add("rejected", server=self.name, id=request, status=503)
        await self.send(writer, 503, [("X-Request-Id", request),
                                      ("x-not-executed", "1")], b"")

    async def run(self, method: str, path: str, request: str,
                  writer: asyncio.StreamWriter) -> None:
        self.busy += 1
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.add("run", server=self.name, id=request, method=method,
                        path=path)
        try:
            await asyncio.sleep(self.work(method, path))
        finally:
            self.busy -= 1
        self.completed.add(request)
        self.record.add("done", server=self.name, id=request)
        await self.send(writer, 200, self.headers_for(request),
                        self.body(method, path))

    def headers_for(self, request: str) -> list[tuple[str, str]]:
        return [("X-Request-Id", request),
                ("x-response-signature", f"{self.name}.{request}"),
                ("Keep-Alive", "timeout=10")]

    async def send(self, writer: asyncio.StreamWriter, status: int,
                   headers: list[tuple[str, str]], body: bytes) -> None:
        writer.write(encode_answer(status, headers, body))
        await writer.drain()


# Machines.

class Machine:
    """A daemon with the settings of the deploy file, on its own address."""

    def __init__(self, record: Record, folder: pathlib.Path, name: str,
                 zone: str, ip: str) -> None:
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.folder = folder
        ports = [free_port(ip) for _ in range(5)]
        self.front, self.ready, self.control, self.directory, self.operators \
            = ports
        self.settings = folder / f"{name}.jsonc"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, platform: str, seeds: list[str]) -> None:
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": f"{self.ip}:{self.front}",
                       "ready": f"{self.ip}:{self.ready}",
                       "control": f"{self.ip}:{self.control}",
                       "directory": f"{self.ip}:{self.directory}"},
            "platform": {"address": platform}, "seeds": seeds,
            "limits": {"cpuShare": 1.0, "cores": 1, "linkMbps": 1000.0},
            "bounds": BOUNDS,
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), [fields])
        # The template fixes the operators' port, which may be in use.
        text = text.replace(f"{self.ip}:9464", f"{self.ip}:{self.operators}")
        self.settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(DAEMON), "--settings", str(self.settings)], stdout=log,
            stderr=log, cwd=ROOT)
        self.record.add("start", machine=self.name)

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.add("signal", machine=self.name,
                        signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            it = await asyncio.wait_for(
                fetch(self.ip, self.ready, "/ready"), 1)
            return it.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} is not ready after {seconds} s")

    async def wait_end(self, seconds: float) -> int | None:
        """Waits for the process; kills it after `seconds` as the platform
        does at the end of the grace."""
        assert self.process is not None
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status = self.process.poll()
            if status is not None:
                self.record.add("ended", machine=self.name, status=status)
                return status
            await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        self.process.wait()
        return None

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# Clients.

class Answer:
    """How a request ended at its client."""

    def __init__(self) -> None:
        self.id = ""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        #: Why there is no complete answer; empty if there is one.
        self.broken = ""

    def __str__(self) -> str:
        return self.broken or str(self.status)


class Connection:
    """One connection of a client to a machine, with one request at a time."""

    def __init__(self, record: Record, ip: str, port: int) -> None:
        self.record, self.ip, self.port = record, ip, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.closing = False

    async def open(self) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port), 1)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    def send(self, method: str, path: str, host: str, key: str,
             deadline_s: float, body: bytes = b"") -> Answer:
        """Sends a request; the answer is read by `receive`."""
        assert self.writer is not None
        it = Answer()
        it.id = uuid.uuid4().hex[:16]
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Request-Id: {it.id}\r\nx-api-key: {key}\r\n"
                f"x-deadline-ms: {round(deadline_s * 1000)}\r\n")
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        it.sent_at = self.record.now()
        self.record.add("sent", id=it.id, method=method, path=path,
                        to=f"{self.ip}:{self.port}")
        return it

    async def receive(self, it: Answer, timeout_s: float) -> Answer:
        assert self.reader is not None
        try:
            it.status, it.headers, it.body = await asyncio.wait_for(
                self._read(), timeout_s)
            self.closing = header(it.headers, "connection").lower() == "close"
        except asyncio.IncompleteReadError as error:
            it.broken = "closed" if not error.partial else "cut_short"
        except ConnectionError:
            it.broken = "reset"
        except asyncio.TimeoutError:
            it.broken = "no_answer_in_time"
        it.ended_at = self.record.now()
        self.record.add("answer", id=it.id, result=it,
                        after_s=f"{it.ended_at - it.sent_at:.3f}")
        return it

    async def _read(self) -> tuple[int, list[tuple[str, str]], bytes]:
        assert self.reader is not None
        start, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        return int(start.split(" ")[1]), headers, body

    async def ask(self, method: str, path: str, host: str, key: str,
                  deadline_s: float, body: bytes = b"") -> Answer:
        it = self.send(method, path, host, key, deadline_s, body)
        return await self.receive(it, deadline_s + 1)


async def fetch(ip: str, port: int, path: str) -> Answer:
    reader, writer = await asyncio.open_connection(ip, port)
    it = Answer()
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        start, it.headers = await read_head(reader)
        it.body = await read_body(reader, it.headers)
        it.status = int(start.split(" ")[1])
        return it
    finally:
        writer.close()


# The deployment.

HOST = "tickets.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "member-hammams"


class Deployment:
    """Store, servers and machines of one case."""

    def __init__(self, script: str) -> None:
        self.here = pathlib.Path(script).resolve().parent
        self.record = Record(self.here)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.servers: list[Server] = []
        self.machines: list[Machine] = []
        self._net = random.randrange(20, 250)
        self._last_host = 0

    def next_ip(self) -> str:
        self._last_host += 1
        return f"127.{self._net}.7.{self._last_host}"

    async def start(self, configuration: dict[str, Any], zones: list[str],
                    machines_per_zone: int,
                    servers: list[tuple[type[Server], str, str, int]]) -> None:
        """Starts everything. `servers` has class, service, zone and slots."""
        if not DAEMON.exists():
            raise CouldNotRun(f"{DAEMON} is missing: build the deploy file")
        await self.store.start(self.next_ip())
        await self.store.put("config", "main", configuration)
        for number, (kind, service, zone, slots) in enumerate(servers):
            it = kind(self.record, self.store, f"i-{number:02}", service, zone,
                      slots)
            await it.start(self.next_ip())
            self.servers.append(it)
        for zone in zones:
            for n in range(machines_per_zone):
                self.machines.append(Machine(
                    self.record, self.folder, f"front-{zone}-{n + 1}", zone,
                    self.next_ip()))
        seeds = [f"{it.ip}:{it.control}" for it in self.machines[:3]]
        for it in self.machines:
            it.write_settings(self.store.address, seeds)
            it.start()
        for it in self.machines:
            await it.wait_ready(20)
        # Traffic starts 8 s after the machines on the sheet; the members have
        # found each other by then.
        await asyncio.sleep(2)

    def runs_of(self, request: str) -> int:
        return sum(it.runs.get(request, 0) for it in self.servers)

    def stop(self) -> None:
        for it in self.machines:
            it.kill()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes: list[dict[str, Any]], services: list[str],
                  rate: float = 1000) -> dict[str, Any]:
    """The operator's configuration with one tenant."""
    return {
        "version": 7,
        "services": [{"name": it, "healthPath": "/health", "maxConns": 360,
                      "protocol": "h1", "tls": False, "warmupS": 3.0,
                      field("warmup", "per", "s"): 23.0} for it in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": [{"name": TENANT, field("api", "keys"): [KEY], "priority": 1,
                     field("rate", "per", "s"): rate, "burst": rate}],
        "baseVersion": 5,
        "hosts": [{"host": HOST, "paths": routes}],
    }


def route(name: str, prefix: str, kind: str, service: str, timeout_s: float,
          attempts: int = 2, priority: int = 1) -> dict[str, Any]:
    return {"name": name, field("path", "prefix"): prefix, "kind": kind,
            field("timeout", "s"): timeout_s, field("aim", "s"): 0.8,
            "priority": priority, "service": service, "attempts": attempts,
            "public": False}


def main(script: str, play: Callable[[Deployment], Any]) -> None:
    """Plays a case and exits with its verdict. `play` returns the findings:
    each is a request for which the rule was broken."""
    deployment = Deployment(script)
    status = EXIT_COULD_NOT_RUN

    async def play_and_stop() -> list[str]:
        try:
            return list(await asyncio.wait_for(play(deployment), timeout=105))
        finally:
            for it in deployment.machines:
                it.kill()
            # The stand-ins see that the connections of the daemons end.
            await asyncio.sleep(0.3)

    try:
        findings = asyncio.run(play_and_stop())
        for it in findings:
            deployment.record.say(f"broken: {it}")
        deployment.record.say("the rule was broken" if findings
                              else "the rule held")
        status = EXIT_BROKEN if findings else EXIT_HELD
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        deployment.record.say(f"could not run: {error!r}")
    finally:
        deployment.stop()
    sys.exit(status)
