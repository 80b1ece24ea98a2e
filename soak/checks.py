"""Conditions that callers, upstreams and VMs must fulfil under any faults."""

from __future__ import annotations

import collections
import threading
from typing import Any

import fleet as fleets
from injector import Injector
from plan import CONNECTION_ENDING_FAULTS, FAULT_FREE_END_S, Plan

#: If at least this share of requests was answered before the first fault, at
#: least this share must be answered after the last one.
MIN_ANSWERED_SHARE = 0.25

#: In each window, whose length is in seconds, an organisation may exceed its
#: rate and burst by this share and by this number of requests in addition.
MAX_RATE_EXCESS, RATE_SLACK_REQUESTS, RATE_WINDOW_S = 0.1, 20, 5

#: Upper bound for one VM's resident memory, in megabytes; the design allots it
#: to control state.
MAX_RESIDENT_MB = 64


class Watcher(threading.Thread):
    """Polls the VMs during a run and collects findings about them."""

    POLL_PERIOD_S = 1.0

    def __init__(self, fleet: fleets.Fleet, injector: Injector) -> None:
        super().__init__(daemon=True)
        self.findings: set[str] = set()
        self._fleet = fleet
        self._injector = injector
        self._stop_requested = threading.Event()

    def run(self) -> None:
        while not self._stop_requested.wait(self.POLL_PERIOD_S):
            for vm in self._fleet.vms.values():
                self._check_vm(vm)

    def stop(self) -> None:
        self._stop_requested.set()
        self.join()

    def _check_vm(self, vm: fleets.Vm) -> None:
        process = vm.process
        if vm.name in self._injector.down or process is None:
            return
        status = process.poll()
        if status is not None:
            # The injector may have stopped or replaced the process meanwhile.
            if vm.name not in self._injector.down and process is vm.process:
                self.findings.add(
                    f"{vm.name} exited unexpectedly with status {status}")
            return
        try:
            violations = vm.status()["invariant_violations"]
            memory_mb = fleets.resident_mb(process.pid)
        except (OSError, ValueError):
            # The injector may have stopped or paused the VM meanwhile.
            return
        if violations:
            self.findings.add(f"{vm.name} reports invariant violations")
        if memory_mb > MAX_RESIDENT_MB:
            self.findings.add(
                f"{vm.name} uses more than {MAX_RESIDENT_MB} MB")


def _sum_runs(ledgers: list[dict[str, int]]) -> collections.Counter[str]:
    runs: collections.Counter[str] = collections.Counter()
    for ledger in ledgers:
        runs.update(ledger)
    return runs


def _count_untrue_refusals(open_attempts: dict[str, int],
                           runs: collections.Counter[str]) -> int:
    """Counts the payments that ran more often than their refusals permit.

    `open_attempts` has, for each payment that was refused as not run, the
    number of its attempts that may have run.
    """
    return sum(runs[payment] > n for payment, n in open_attempts.items())


def check_outcomes(report: dict[str, Any], ledgers: list[dict[str, int]]
                   ) -> list[str]:
    """Checks that no payment ran twice, that no attempt refused as not run
    had run, and that every answer carries the id of its request.

    `ledgers` has the number of runs of each payment at each upstream.
    """
    findings = []
    runs = _sum_runs(ledgers)
    doubled = sum(n > 1 for n in runs.values())
    if doubled:
        findings.append(f"{doubled} payments ran more than once")
    untrue = max(report["not_run_untrue"],
                 _count_untrue_refusals(report["refused_payments"], runs))
    if untrue:
        findings.append(f"{untrue} requests were refused as not run although "
                        "they had run")
    if report["all"]["wrong"]:
        findings.append(f"{report['all']['wrong']} answers did not carry "
                        "the id of their request")
    return findings


def check_connections(report: dict[str, Any], plan: Plan) -> list[str]:
    """Checks that connections end before the answer only if the plan kills or
    pauses a VM."""
    cut = report["all"]["cut"]
    if cut and not plan.has_any(CONNECTION_ENDING_FAULTS):
        return [f"{cut} requests lost their connection although no VM "
                "was killed or paused"]
    return []


def check_rate(report: dict[str, Any], plan: Plan, organisation: str,
               rate: float, burst: int) -> list[str]:
    """Checks that an organisation did not exceed its rate over the run.

    `rate` is in requests per second, `burst` in requests.
    """
    windows = plan.duration_s / RATE_WINDOW_S
    allowed = windows * ((rate * RATE_WINDOW_S + burst)
                         * (1 + MAX_RATE_EXCESS) + RATE_SLACK_REQUESTS)
    answered = report["organisations"][organisation]["answered"]
    if answered > allowed:
        return [f"{organisation} received {answered} answers, at most "
                f"{allowed:.0f} are allowed"]
    return []


def check_recovery(report: dict[str, Any], plan: Plan) -> list[str]:
    """Checks that requests are answered again after the last fault.

    The second half of the fault-free end of the run is checked.
    """
    def answered_share(begin_s: float, end_s: float) -> float:
        rows = [it for it in report["seconds"]
                if begin_s <= it["second"] < end_s]
        requests = sum(it["requests"] for it in rows)
        return sum(it["answered"] for it in rows) / max(1, requests)

    recovered_s = plan.duration_s - FAULT_FREE_END_S / 2
    if (answered_share(0, plan.events[0].start_s) >= MIN_ANSWERED_SHARE
            and answered_share(recovered_s, plan.duration_s)
            < MIN_ANSWERED_SHARE):
        return [f"{answered_share(recovered_s, plan.duration_s):.0%} of "
                "requests were answered after the last fault"]
    return []
