#!/usr/bin/env python3
"""Runs callers on a fleet of real processes while VMs and the store fail.

Each fault has a run of its own: a VM is killed, a VM is stopped for longer
than its lease, the store is away, VMs are replaced one after the other as
planned. Prints a JSON row a fault; exit status 1 if a payment ran twice, a
refusal was untrue, an answer was wrong or an invariant was violated.
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


def scenario(fleet: fleets.Fleet, seconds: float) -> dict[str, Any]:
    """Every organisation reads and pays at half its rate."""
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


def nothing(fleet: fleets.Fleet) -> None:
    """No fault, for comparison."""


def kill(fleet: fleets.Fleet) -> None:
    """Kills two VMs of different data centres, 6 s apart."""
    for name in ("ain-sebaa-vm-1", "bouskoura-vm-2"):
        fleet.kill(fleet.vms[name].process)
        time.sleep(6)


def pause(fleet: fleets.Fleet) -> None:
    """Stops a VM for longer than its lease."""
    vm = fleet.vms["sidi-maarouf-vm-1"]
    fleet.pause(vm)
    time.sleep(8)
    fleet.resume(vm)


def store_away(fleet: fleets.Fleet) -> None:
    """Takes the store away for 12 s."""
    fleet.set_platform_fault("absent")
    time.sleep(12)
    fleet.set_platform_fault("none")


def replace(fleet: fleets.Fleet) -> None:
    """Replaces three VMs as planned, one after the other."""
    for name in ("ain-sebaa-vm-2", "sidi-maarouf-vm-2", "bouskoura-vm-1"):
        vm = fleet.vms[name]
        fleet.ask_to_stop(vm)
        assert vm.process is not None
        vm.process.wait()
        fleet.start_vm(vm)
        fleet.wait_for("the new VM", lambda vm=vm: vm.status()[
            "phase"] == "serving", 30)


FAULTS: dict[str, tuple[Callable[[fleets.Fleet], None], float]] = {
    "none": (nothing, 15), "kill": (kill, 25), "pause": (pause, 22),
    "store_away": (store_away, 24), "replace": (replace, 75)}


def measure(build: str, name: str, each: int) -> dict[str, Any]:
    """Runs one fault on a fleet of its own."""
    fault, seconds = FAULTS[name]
    with fleets.Fleet(build, f"/tmp/pomelohinge-faults-{name}",
                      log_level="warning") as fleet:
        fleet.add_vms(DATA_CENTRES, each)
        fleet.add_upstreams("booking", DATA_CENTRES, 3, 6, 9100)
        fleet.add_upstreams("counter", DATA_CENTRES, 2, 6, 9200)
        fleet.start(fleets.make_configuration(fleet, RATES, DATA_CENTRES))
        time.sleep(6)
        callers = fleet.start_callers(scenario(fleet, seconds))
        time.sleep(4)
        fault(fleet)
        callers.wait()
        report = fleet.report()
        everything = report["all"]
        refused = everything["refusals"]
        return {
            "fault": name, "vms": each * len(DATA_CENTRES),
            "requests": everything["requests"],
            "answered_percent": round(100 * everything["success"], 2),
            "worst_percent": round(100 * report["worst_success"], 2),
            "rate_refused": refused.get(
                "urn:pomelohinge:rate_exceeded not_run", 0),
            "refusals": refused, "cut": everything["cut"],
            "wrong": everything["wrong"],
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
    broken = False
    for name in options.faults:
        row = measure(options.build, name, options.each)
        print(json.dumps(row), flush=True)
        broken |= bool(row["payments_doubled"] or row["not_run_untrue"]
                       or row["wrong"] or row["violations"])
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
