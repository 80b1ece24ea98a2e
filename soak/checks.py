"""What callers and upstreams must see, whatever happens."""

from __future__ import annotations

import collections
import threading
from typing import Any

import fleet as fleets
from injector import Injector
from plan import CALM_END_S, ENDS_CONNECTIONS, Plan

#: Of the requests after the faults, at least so many are answered if so many
#: were before them.
RECOVERED_SHARE = 0.25

#: Bounds of an organisation's rate: excess, and slack for each window.
QUOTA_EXCESS, QUOTA_SLACK, QUOTA_WINDOW_S = 0.1, 20, 5

#: Memory of one VM, in megabytes; the design's figure for control.
MEMORY_LIMIT_MB = 64


class Watcher(threading.Thread):
    """Looks at the processes while they run."""

    PERIOD_S = 1.0

    def __init__(self, fleet: fleets.Fleet, injector: Injector) -> None:
        super().__init__(daemon=True)
        self.findings: set[str] = set()
        self._fleet = fleet
        self._injector = injector
        self._over = threading.Event()

    def run(self) -> None:
        while not self._over.wait(self.PERIOD_S):
            for vm in self._fleet.vms.values():
                self._look_at(vm)

    def stop(self) -> None:
        self._over.set()
        self.join()

    def _look_at(self, vm: fleets.Vm) -> None:
        process = vm.process
        if vm.name in self._injector.down or process is None:
            return
        status = process.poll()
        if status is not None:
            if vm.name not in self._injector.down and process is vm.process:
                self.findings.add(
                    f"{vm.name} ended by itself with status {status}")
            return
        try:
            violations = vm.status()["invariant_violations"]
            memory = fleets.resident_mb(process.pid)
        except (OSError, ValueError):
            # It may have been stopped or paused in between.
            return
        if violations:
            self.findings.add(f"{vm.name} counts broken invariants")
        if memory > MEMORY_LIMIT_MB:
            self.findings.add(f"{vm.name} holds over {MEMORY_LIMIT_MB} MB")


def check_money(report: dict[str, Any], payments: list[dict[str, int]]
                ) -> list[str]:
    """Nothing runs twice, nothing is refused as not run that ran, and no
    answer is another's."""
    found = []
    runs: collections.Counter[str] = collections.Counter()
    for ledger in payments:
        runs.update(ledger)
    doubled = sum(n > 1 for n in runs.values())
    if doubled:
        found.append(f"{doubled} payments ran twice")
    if report["not_run_untrue"]:
        found.append(f"{report['not_run_untrue']} requests were refused as "
                     "not run and had run")
    if report["all"]["wrong"]:
        found.append(f"{report['all']['wrong']} answers were not the "
                     "request's own or not whole")
    return found


def check_connections(report: dict[str, Any], plan: Plan) -> list[str]:
    """Only a VM that is killed or paused ends a connection in mid-request."""
    cut = report["all"]["cut"]
    if cut and not plan.has(ENDS_CONNECTIONS):
        return [f"{cut} requests were cut off though no VM was killed"]
    return []


def check_rate(report: dict[str, Any], plan: Plan, organisation: str,
               rate: float, burst: int) -> list[str]:
    """An organisation gets no more than its rate over the run."""
    windows = plan.duration_s / QUOTA_WINDOW_S
    allowed = windows * ((rate * QUOTA_WINDOW_S + burst)
                         * (1 + QUOTA_EXCESS) + QUOTA_SLACK)
    answered = report["organisations"][organisation]["answered"]
    if answered > allowed:
        return [f"{organisation} got {answered} answers, {allowed:.0f} "
                "allowed"]
    return []


def check_recovery(report: dict[str, Any], plan: Plan) -> list[str]:
    """After the last fault callers are served again."""
    def share(begin: float, end: float) -> float:
        rows = [it for it in report["seconds"]
                if begin <= it["second"] < end]
        asked = sum(it["requests"] for it in rows)
        return sum(it["answered"] for it in rows) / max(1, asked)

    last_s = plan.duration_s - CALM_END_S / 2
    if (share(0, plan.events[0].at_s) >= RECOVERED_SHARE
            and share(last_s, plan.duration_s) < RECOVERED_SHARE):
        return [f"{share(last_s, plan.duration_s):.0%} answered after the "
                "faults"]
    return []
