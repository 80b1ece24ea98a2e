"""Starts and stops a small fleet on loopback for demos, tests and benches.

Every process is started here and ended by its own id. Addresses: VM n of
data centre d is 127.0.(10+d).n, upstreams are 127.0.(100+d).n.
"""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import Any, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "operators"))

from pomelohinge_config import Configuration, key_hash  # noqa: E402

#: Seconds that a fleet may take to become ready.
READY_LIMIT_S = 40


def http(url: str, body: str | None = None, timeout: float = 2) -> str:
    """Returns the answer's text; raises OSError without one."""
    data = None if body is None else body.encode("utf-8")
    with urllib.request.urlopen(url, data=data, timeout=timeout) as answer:
        return answer.read().decode("utf-8")


class Vm:
    """One entry VM: its settings and, while it runs, its process."""

    def __init__(self, name: str, data_centre: str, ip: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.ip = ip
        #: Where it reaches the object service, if not at the fleet's address.
        self.platform: str | None = None
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def callers(self) -> str:
        return f"{self.ip}:8080"

    @property
    def operators(self) -> str:
        return f"{self.ip}:8082"

    def status(self) -> dict[str, Any]:
        """Returns `/status`; raises OSError if the VM does not answer."""
        return json.loads(http(f"http://{self.operators}/status"))


class Upstream:
    """One upstream stand-in."""

    def __init__(self, name: str, service: str, data_centre: str,
                 address: str, slots: int) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = address
        #: Where the process listens; VMs may reach it through a proxy.
        self.listens_at = address
        self.slots = slots
        self.process: subprocess.Popen[bytes] | None = None

    def set_mode(self, mode: str) -> None:
        http(f"http://{self.listens_at}/stand_in/mode", mode)

    def ledger(self) -> dict[str, Any]:
        return json.loads(http(
            f"http://{self.listens_at}/stand_in/ledger"))


class Fleet:
    """A platform stand-in, upstreams and VMs."""

    def __init__(self, build: str, run_dir: str,
                 platform: str = "127.0.1.1:9000",
                 log_level: str = "info", traffic_threads: int = 1) -> None:
        self.build = pathlib.Path(build).resolve()
        self.run_dir = pathlib.Path(run_dir)
        self.run_dir.mkdir(parents=True, exist_ok=True)
        self.platform = platform
        self.log_level = log_level
        self.traffic_threads = traffic_threads
        self.vms: dict[str, Vm] = {}
        self.upstreams: dict[str, Upstream] = {}
        self._processes: list[subprocess.Popen[bytes]] = []

    # Set-up.

    def add_vms(self, data_centres: list[str], each: int) -> None:
        """Adds `each` VMs to every data centre."""
        for number, data_centre in enumerate(data_centres):
            for n in range(1, each + 1):
                name = f"{data_centre}-vm-{n}"
                self.vms[name] = Vm(
                    name, data_centre, f"127.0.{10 + number}.{n}")

    def add_upstreams(self, service: str, data_centres: list[str],
                      each: int, slots: int, port: int) -> None:
        """Adds `each` targets of a service to every data centre."""
        for number, data_centre in enumerate(data_centres):
            for n in range(1, each + 1):
                name = f"{service}-{data_centre}-{n}"
                self.upstreams[name] = Upstream(
                    name, service, data_centre,
                    f"127.0.{100 + number}.{n}:{port}", slots)

    # Processes.

    def _start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with open(self.run_dir / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [str(self.build / arguments[0]), *arguments[1:]],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self._processes.append(process)
        return process

    def start_platform(self) -> None:
        self._start("platform", "stand_in_platform", "--address",
                    self.platform)
        self.wait_for("the platform", lambda: bool(
            http(f"http://{self.platform}/calls")), 10)

    def start_upstream(self, it: Upstream, cold: bool = False,
                       median_us: int = 10_000, seed: int = 1,
                       answer_bytes: int = 200) -> None:
        arguments = ["stand_in_upstream", "--address", it.listens_at, "--slots",
                     str(it.slots), "--median-us", str(median_us), "--seed",
                     str(seed), "--answer-bytes", str(answer_bytes)]
        if cold:
            arguments.append("--cold")
        it.process = self._start(it.name, *arguments)

    def start_vm(self, it: Vm) -> None:
        settings = self.run_dir / f"{it.name}.jsonc"
        settings.write_text(json.dumps({
            "vm": it.name, "data_centre": it.data_centre,
            "callers_address": it.callers,
            "peers_address": f"{it.ip}:8081",
            "operators_address": it.operators,
            "platform_address": it.platform or self.platform,
            "seeds": [f"{other.ip}:8081" for other in
                      list(self.vms.values())[:3] if other is not it],
            "traffic_threads": self.traffic_threads,
            "log": {"format": "json", "level": self.log_level},
        }, indent=2), encoding="utf-8")
        it.process = self._start(
            it.name, "pomelohinged", "--settings", str(settings))

    def start(self, configuration: Configuration, **upstream: Any) -> None:
        """Starts everything and waits until every VM serves."""
        self.start_platform()
        for seed, it in enumerate(self.upstreams.values(), 1):
            self.start_upstream(it, seed=seed, **upstream)
        self.apply(configuration)
        for vm in self.vms.values():
            self.start_vm(vm)
        self.wait_ready()

    def apply(self, configuration: Configuration, *extra: str) -> str:
        """Applies a configuration by the command line."""
        path = self.run_dir / "configuration.json"
        path.write_text(configuration.text(), encoding="utf-8")
        return self.command("apply", str(path), *extra)

    def command(self, *arguments: str) -> str:
        """Runs the operators' command line; raises if it fails."""
        return subprocess.run(
            [str(self.build / "pomelohinge"), "--platform", self.platform,
             *arguments], check=True, capture_output=True, text=True,
            timeout=60).stdout

    def wait_for(self, what: str, is_so: Callable[[], bool],
                 limit_s: float) -> float:
        """Waits until `is_so`; returns the seconds it took."""
        began = time.monotonic()
        while time.monotonic() - began < limit_s:
            try:
                if is_so():
                    return time.monotonic() - began
            except (OSError, urllib.error.URLError, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{what} did not come within {limit_s} s")

    def running(self) -> list[Vm]:
        return [vm for vm in self.vms.values()
                if vm.process is not None and vm.process.poll() is None]

    def is_ready(self) -> bool:
        """Whether all running VMs serve, see each other and know all
        targets."""
        vms = self.running()
        for vm in vms:
            status = vm.status()
            seen = sum(it["alive"] for members in
                       status["data_centres"].values() for it in members)
            if status["standing"] != "serving" or seen != len(vms):
                return False
            if status["targets"] < len(self.upstreams):
                return False
        return True

    def wait_ready(self, limit_s: float = READY_LIMIT_S) -> float:
        return self.wait_for("a ready fleet", self.is_ready, limit_s)

    # Faults.

    def kill(self, process: subprocess.Popen[bytes] | None) -> None:
        """Ends a process at once."""
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()

    def pause(self, it: "Vm | Upstream") -> None:
        if it.process is not None:
            it.process.send_signal(signal.SIGSTOP)

    def resume(self, it: "Vm | Upstream") -> None:
        if it.process is not None:
            it.process.send_signal(signal.SIGCONT)

    def reload(self, vm: Vm) -> None:
        """Asks a VM to read its settings anew."""
        if vm.process is not None:
            vm.process.send_signal(signal.SIGHUP)

    def ask_to_stop(self, vm: Vm) -> None:
        """Begins a planned stop."""
        if vm.process is not None:
            vm.process.terminate()

    def set_platform_fault(self, fault: str) -> None:
        http(f"http://{self.platform}/fault", fault)

    # Results.

    def start_callers(self, scenario: dict[str, Any],
                      name: str = "callers") -> subprocess.Popen[bytes]:
        """Starts the caller stand-in; its report is NAME-report.json."""
        path = self.run_dir / f"{name}.json"
        path.write_text(json.dumps(scenario, indent=2), encoding="utf-8")
        return self._start(name, "stand_in_caller", "--scenario", str(path),
                           "--report",
                           str(self.run_dir / f"{name}-report.json"))

    def report(self, name: str = "callers") -> dict[str, Any]:
        path = self.run_dir / f"{name}-report.json"
        return json.loads(path.read_text(encoding="utf-8"))

    def events(self, vm: Vm, event: str) -> list[dict[str, Any]]:
        """Returns the lines of one event in a VM's log."""
        lines = []
        log = self.run_dir / f"{vm.name}.log"
        for line in log.read_text(encoding="utf-8").splitlines():
            try:
                it = json.loads(line)
            except ValueError:
                continue
            if it.get("event") == event:
                lines.append(it)
        return lines

    def invariant_violations(self) -> int:
        """Violations that running VMs have counted."""
        return sum(vm.status()["invariant_violations"]
                   for vm in self.running())

    def close(self) -> None:
        """Ends every process that was started here."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(it) for it in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def make_configuration(fleet: Fleet, rates: dict[str, tuple[float, int]],
               data_centres: list[str], floor_percent: int = 50
               ) -> Configuration:
    """Returns a configuration in the Federation's shape for a fleet.

    `rates` gives each organisation's rate and burst; its key is its name
    with "-secret" behind it.
    """
    configuration = Configuration()
    for service in sorted({it.service for it in fleet.upstreams.values()}):
        configuration.service(service, floor_percent=floor_percent,
                              echoes_request_id=True)
        configuration.route(f"{service}-read", service=service,
                            methods=["GET", "HEAD"])
        configuration.route(f"{service}-write", service=service,
                            methods=["POST"])
    configuration.correction("bokking", "booking")
    for name in data_centres:
        configuration.data_centre(name, region="casa-settat")
    for it in fleet.upstreams.values():
        configuration.target(it.name, service=it.service,
                             data_centre=it.data_centre, address=it.address,
                             slots=it.slots)
    for name, (rate, burst) in rates.items():
        configuration.organisation(
            name, requests_per_second=rate, burst=burst,
            key_hashes=[key_hash(f"{name}-secret")])
    return configuration
