#!/usr/bin/env python3
"""Runs callers on a fleet of real processes while VMs and the store fail.

Each fault has its own run on a new fleet: VMs are killed, a VM is paused for
longer than the timeout after which others treat it as dead, the store is
unavailable, or VMs are replaced one after another by planned stops. Prints one
JSON row per fault. The exit status is 1 if a payment ran twice, a request that
was refused as not run had run, an answer was wrong or an invariant was
violated.
"""

import argparse
import json
import sys
import time
from typing import Any, Callable

sys.path.insert(0, "tools")
import fleet as fleets  # noqa: E402

DATA_CENTRES = ["ain-sebaa", "sidi-maarouf", "bouskoura"]
RATES = {f"org-{n}": (40.0, 80) for n in range(6)}


def make_scenario(fleet: fleets.Fleet, seconds: float) -> dict[str, Any]:
    """Returns a scenario in which the reads and payments of each organisation
    together amount to half its rate."""
    tenants = []
    for name in RATES:
        tenants.append({"organisation": name, "key": f"{name}-secret",
                        "service": "booking", "path": "/times",
                        "requests_per_second": 14})
        tenants.append({"organisation": name, "key": f"{name}-secret",
                        "service": "counter", "path": "/sales",
                        "method": "POST", "payments": True, "repeats": True,
                        "requests_per_second": 6})
    return {"seed": 5, "duration_s": seconds, "warm_up_s": 2,
            "entries": [vm.callers for vm in fleet.vms.values()],
            "ledgers": [it.address for it in fleet.upstreams.values()],
            "tenants": tenants}


def no_fault(fleet: fleets.Fleet) -> None:
    """Injects no fault, as the baseline."""


def kill_vms(fleet: fleets.Fleet) -> None:
    """Kills two VMs in different data centres, 6 s apart."""
    for name in ("ain-sebaa-vm-1", "bouskoura-vm-2"):
        fleet.kill(fleet.vms[name].process)
        time.sleep(6)


def pause_vm(fleet: fleets.Fleet) -> None:
    """Pauses a VM for 8 s, longer than the timeout after which others treat
    it as dead."""
    vm = fleet.vms["sidi-maarouf-vm-1"]
    fleet.pause(vm)
    time.sleep(8)
    fleet.resume(vm)


def disable_store(fleet: fleets.Fleet) -> None:
    """Makes the store unavailable for 12 s."""
    fleet.set_platform_fault("absent")
    time.sleep(12)
    fleet.set_platform_fault("none")


def replace_vms(fleet: fleets.Fleet) -> None:
    """Replaces three VMs one after another by planned stops."""
    for name in ("ain-sebaa-vm-2", "sidi-maarouf-vm-2", "bouskoura-vm-1"):
        vm = fleet.vms[name]
        fleet.request_stop(vm)
        assert vm.process is not None
        vm.process.wait()
        fleet.start_vm(vm)
        fleet.wait_for("the new VM", lambda vm=vm: vm.status()[
            "phase"] == "serving", 30)


#: For each fault the function that injects it and the seconds of its run.
FAULTS: dict[str, tuple[Callable[[fleets.Fleet], None], float]] = {
    "none": (no_fault, 15), "kill": (kill_vms, 25), "pause": (pause_vm, 22),
    "store_away": (disable_store, 24), "replace": (replace_vms, 75)}


def measure(build: str, name: str, each: int) -> dict[str, Any]:
    """Runs one fault on its own fleet, with `each` VMs in every data centre,
    and returns the result row."""
    inject, seconds = FAULTS[name]
    with fleets.Fleet(build, f"/tmp/pomelohinge-faults-{name}",
                      log_level="warning") as fleet:
        fleet.add_vms(DATA_CENTRES, each)
        fleet.add_upstreams("booking", DATA_CENTRES, 3, 6, 9100)
        fleet.add_upstreams("counter", DATA_CENTRES, 2, 6, 9200)
        fleet.start(fleets.make_configuration(fleet, RATES, DATA_CENTRES))
        time.sleep(6)
        callers = fleet.start_callers(make_scenario(fleet, seconds))
        time.sleep(4)
        inject(fleet)
        callers.wait()
        report = fleet.report()
        total = report["all"]
        refused = total["refusals"]
        return {
            "fault": name, "vms": each * len(DATA_CENTRES),
            "requests": total["requests"],
            "answered_percent": round(100 * total["success"], 2),
            "worst_percent": round(100 * report["worst_success"], 2),
            "rate_refused": refused.get(
                "urn:pomelohinge:rate_exceeded not_run", 0),
            "refusals": refused, "cut": total["cut"],
            "wrong": total["wrong"],
            "payments": report["payments"],
            "payments_doubled": report["payments_doubled"],
            "not_run_untrue": report["not_run_untrue"],
            "violations": fleet.invariant_violations()}


def main() -> int:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--each", type=int, default=4)
    parser.add_argument("--faults", nargs="+", default=list(FAULTS))
    options = parser.parse_args()
    failed = False
    for name in options.faults:
        row = measure(options.build, name, options.each)
        print(json.dumps(row), flush=True)
        failed |= bool(row["payments_doubled"] or row["not_run_untrue"]
                       or row["wrong"] or row["violations"])
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
