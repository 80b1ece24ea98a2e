"""Runs a small fleet on loopback for the demo, the soak test and benches.

`Fleet` starts every process itself and ends it by its process id. In data
centre d, counted from 0, VM n listens at 127.N.(10+d).n and upstream n of a
service at 127.N.(100+d).n. N is 0, or POMELOHINGE_FLEET_NETWORK (0 to 255), so
that fleets can run beside each other.
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

#: Timeout for a started fleet to become ready.
READY_TIMEOUT_S = 40

#: The second number of the addresses of all processes.
NETWORK = int(os.environ.get("POMELOHINGE_FLEET_NETWORK", "0"))


def http(url: str, body: str | None = None, timeout: float = 2) -> str:
    """Sends a GET, or a POST if there is a body, and returns the body of the
    answer. Raises OSError if there is no answer or an error status."""
    data = None if body is None else body.encode("utf-8")
    with urllib.request.urlopen(url, data=data, timeout=timeout) as answer:
        return answer.read().decode("utf-8")


class Vm:
    """A VM: its addresses and, once started, its process."""

    def __init__(self, name: str, data_centre: str, ip: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.ip = ip
        #: Address of the object service; None stands for `Fleet.platform`.
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
    """An instance of the upstream stand-in, a target of one service."""

    def __init__(self, name: str, service: str, data_centre: str,
                 address: str, slots: int) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        #: Address in the configuration, which VMs connect to.
        self.address = address
        #: Address of the process; differs if a proxy listens at `address`.
        self.listen_address = address
        self.slots = slots
        self.process: subprocess.Popen[bytes] | None = None

    def set_mode(self, mode: str) -> None:
        http(f"http://{self.listen_address}/stand_in/mode", mode)

    def ledger(self) -> dict[str, Any]:
        return json.loads(http(
            f"http://{self.listen_address}/stand_in/ledger"))


class Fleet:
    """A platform stand-in, upstream stand-ins and VMs.

    As a context manager it kills all of its processes at the end.
    """

    def __init__(self, build: str, run_dir: str,
                 platform: str = f"127.{NETWORK}.1.1:9000",
                 log_level: str = "info", traffic_threads: int = 1) -> None:
        self.build = pathlib.Path(build).resolve()
        self.run_dir = pathlib.Path(run_dir)
        self.run_dir.mkdir(parents=True, exist_ok=True)
        self.platform = platform
        self.log_level = log_level
        self.traffic_threads = traffic_threads
        #: First value of `Store-Era`; 0 for a store that does not send it.
        self.platform_era = 0
        #: Further settings of all VMs.
        self.settings: dict[str, Any] = {}
        self.vms: dict[str, Vm] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.platform_process: subprocess.Popen[bytes] | None = None
        self._processes: list[subprocess.Popen[bytes]] = []

    # Set-up.

    def add_vms(self, data_centres: list[str],
                per_data_centre: int) -> None:
        """Adds this number of VMs to each data centre."""
        for number, data_centre in enumerate(data_centres):
            for n in range(1, per_data_centre + 1):
                name = f"{data_centre}-vm-{n}"
                self.vms[name] = Vm(
                    name, data_centre, f"127.{NETWORK}.{10 + number}.{n}")

    def add_upstreams(self, service: str, data_centres: list[str],
                      per_data_centre: int, slots: int, port: int) -> None:
        """Adds this number of targets of a service to each data centre."""
        for number, data_centre in enumerate(data_centres):
            for n in range(1, per_data_centre + 1):
                name = f"{service}-{data_centre}-{n}"
                self.upstreams[name] = Upstream(
                    name, service, data_centre,
                    f"127.{NETWORK}.{100 + number}.{n}:{port}", slots)

    # Processes.

    def _start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with open(self.run_dir / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [str(self.build / arguments[0]), *arguments[1:]],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self._processes.append(process)
        return process

    def start_platform(self) -> None:
        self.platform_process = self._start(
            "platform", "stand_in_platform", "--address", self.platform,
            "--era", str(self.platform_era))
        self.wait_for("the platform", lambda: bool(
            http(f"http://{self.platform}/calls")), 10)

    def start_upstream(self, it: Upstream, cold: bool = False,
                       median_us: int = 10_000, seed: int = 1,
                       answer_bytes: int = 200) -> None:
        arguments = ["stand_in_upstream", "--address", it.listen_address,
                     "--slots", str(it.slots), "--median-us", str(median_us),
                     "--seed", str(seed), "--answer-bytes", str(answer_bytes)]
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
            **self.settings,
        }, indent=2), encoding="utf-8")
        it.process = self._start(
            it.name, "pomelohinged", "--settings", str(settings))

    def start(self, configuration: Configuration, **upstream: Any) -> None:
        """Starts all processes and waits until the fleet is ready.

        `upstream` is passed on to `start_upstream`.
        """
        self.start_platform()
        for seed, it in enumerate(self.upstreams.values(), 1):
            self.start_upstream(it, seed=seed, **upstream)
        self.apply(configuration)
        for vm in self.vms.values():
            self.start_vm(vm)
        self.wait_ready()

    def apply(self, configuration: Configuration, *extra: str) -> str:
        """Applies a configuration with the operators' command line."""
        path = self.run_dir / "configuration.json"
        path.write_text(configuration.text(), encoding="utf-8")
        return self.command("apply", str(path), *extra)

    def command(self, *arguments: str) -> str:
        """Runs the operators' command line and returns its output.

        Raises `subprocess.SubprocessError` if it fails or takes over a
        minute.
        """
        return subprocess.run(
            [str(self.build / "pomelohinge"), "--platform", self.platform,
             *arguments], check=True, capture_output=True, text=True,
            timeout=60).stdout

    def wait_for(self, description: str, condition: Callable[[], bool],
                 timeout_s: float) -> float:
        """Polls until `condition` is true; returns the seconds it took.

        A condition that raises OSError or ValueError counts as false. Raises
        TimeoutError after `timeout_s`.
        """
        start = time.monotonic()
        while time.monotonic() - start < timeout_s:
            try:
                if condition():
                    return time.monotonic() - start
            except (OSError, urllib.error.URLError, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(
            f"timed out after {timeout_s} s waiting for {description}")

    def running(self) -> list[Vm]:
        """Returns the VMs whose process has not ended."""
        return [vm for vm in self.vms.values()
                if vm.process is not None and vm.process.poll() is None]

    def is_ready(self) -> bool:
        """Returns whether all running VMs are serving and each one lists all
        running VMs as alive and has all targets."""
        vms = self.running()
        for vm in vms:
            status = vm.status()
            alive = sum(it["alive"] for members in
                        status["data_centres"].values() for it in members)
            if status["standing"] != "serving" or alive != len(vms):
                return False
            if status["targets"] < len(self.upstreams):
                return False
        return True

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        return self.wait_for(
            "the fleet to become ready", self.is_ready, timeout_s)

    # Faults.

    def kill(self, process: subprocess.Popen[bytes] | None) -> None:
        """Sends SIGKILL and waits for the end of the process."""
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
        """Sends SIGHUP, which makes a VM reload its settings."""
        if vm.process is not None:
            vm.process.send_signal(signal.SIGHUP)

    def request_stop(self, vm: Vm) -> None:
        """Sends SIGTERM, which starts a planned stop."""
        if vm.process is not None:
            vm.process.terminate()

    def set_platform_fault(self, fault: str) -> None:
        http(f"http://{self.platform}/fault", fault)

    def restore_platform(self, age_s: float) -> None:
        """Takes back the latest writes to the store and raises its era."""
        http(f"http://{self.platform}/restore", str(int(age_s * 1000)))

    # Results.

    def start_callers(self, scenario: dict[str, Any],
                      name: str = "callers") -> subprocess.Popen[bytes]:
        """Starts the caller stand-in.

        It writes its report to NAME-report.json in the run directory.
        """
        path = self.run_dir / f"{name}.json"
        path.write_text(json.dumps(scenario, indent=2), encoding="utf-8")
        return self._start(name, "stand_in_caller", "--scenario", str(path),
                           "--report",
                           str(self.run_dir / f"{name}-report.json"))

    def report(self, name: str = "callers") -> dict[str, Any]:
        path = self.run_dir / f"{name}-report.json"
        return json.loads(path.read_text(encoding="utf-8"))

    def events(self, vm: Vm, event: str) -> list[dict[str, Any]]:
        """Returns a VM's log records of an event, in order."""
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
        """Returns the invariant violations counted by the running VMs."""
        return sum(vm.status()["invariant_violations"]
                   for vm in self.running())

    def close(self) -> None:
        """Kills all processes of the fleet, also those that are paused."""
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
    """Returns the resident memory of a process in megabytes (10^6 bytes)."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_seconds(pid: int) -> float:
    """Returns the user and system CPU time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(it) for it in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def make_configuration(fleet: Fleet, rates: dict[str, tuple[float, int]],
                       data_centres: list[str], floor_percent: int = 50
                       ) -> Configuration:
    """Returns a configuration for a fleet's targets and data centres.

    `rates` has the requests per second and the burst of each organisation,
    whose key is its name followed by "-secret". Each service has a route for
    reads and one for writes.
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
