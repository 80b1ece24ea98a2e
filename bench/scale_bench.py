#!/usr/bin/env python3
"""Measures the cost of the control plane for different numbers of VMs.

Measures for each fleet size, without callers: bytes a second, CPU time and
memory of a VM, calls a second at the platform, and the time until an accepted
change is in force on the last VM. Prints one JSON row per size. The exit
status is 1 if a change takes longer than the target of 5 s.
"""

import argparse
import json
import pathlib
import statistics
import sys
import time
from typing import Any

sys.path.insert(0, "tools")
import fleet as fleets  # noqa: E402

#: Upper bound for the time until an accepted change is in force on all VMs,
#: in seconds.
IN_FORCE_BOUND_S = 5.0
DATA_CENTRES = ["ain-sebaa", "sidi-maarouf", "bouskoura"]

#: Configuration changes per fleet size.
CHANGES = 12

#: Seconds over which network traffic and CPU time are measured.
MEASURE_S = 10


def loopback_bytes() -> int:
    """Returns the bytes received so far on the loopback device."""
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    raise RuntimeError("there is no loopback device")


def in_force_times(fleet: fleets.Fleet) -> list[float]:
    """Makes changes and returns the seconds until each was in force on the
    last VM."""
    times = []
    for n in range(CHANGES):
        output = fleet.command("correct", f"wrong-{n}", "booking")
        began = time.monotonic()
        version = int(output.split("version ")[1].split()[0])
        pending = fleet.running()
        while pending:
            pending = [vm for vm in pending
                       if vm.status()["configuration_version"] < version]
        times.append(time.monotonic() - began)
    return times


def measure(build: str, each: int) -> dict[str, Any]:
    """Measures one fleet with `each` VMs in every data centre."""
    with fleets.Fleet(build, f"/tmp/pomelohinge-scale-{each}",
                      log_level="error") as fleet:
        fleet.add_vms(DATA_CENTRES, each)
        fleet.add_upstreams("booking", DATA_CENTRES, 8, 6, 9100)
        fleet.add_upstreams("counter", DATA_CENTRES, 2, 6, 9200)
        began = time.monotonic()
        fleet.start(fleets.make_configuration(
            fleet, {f"org-{n}": (50.0, 100) for n in range(8)},
            DATA_CENTRES))
        ready = time.monotonic() - began
        time.sleep(8)
        pids = [vm.process.pid for vm in fleet.running() if vm.process]
        cpu = {pid: fleets.cpu_seconds(pid) for pid in pids}
        loopback = loopback_bytes()
        calls = int(fleets.http(f"http://{fleet.platform}/calls"))
        time.sleep(MEASURE_S)
        cpu_shares = sorted((fleets.cpu_seconds(pid) - cpu[pid]) / MEASURE_S
                            for pid in pids)
        row = {
            "vms": len(pids), "ready_s": round(ready, 1),
            "bytes_per_s_a_vm": round(
                (loopback_bytes() - loopback) / MEASURE_S / len(pids)),
            "cpu_percent_median": round(
                100 * statistics.median(cpu_shares), 2),
            "cpu_percent_max": round(100 * cpu_shares[-1], 2),
            "resident_mb_median": round(statistics.median(
                fleets.resident_mb(pid) for pid in pids), 1),
            "store_calls_per_s": round(
                (int(fleets.http(f"http://{fleet.platform}/calls")) - calls)
                / MEASURE_S, 1),
        }
        times = sorted(in_force_times(fleet))
        row["in_force_s_p50"] = round(statistics.median(times), 2)
        row["in_force_s_max"] = round(times[-1], 2)
        row["invariant_violations"] = fleet.invariant_violations()
        return row


def main() -> int:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--each", type=int, nargs="+", default=[3, 7, 14])
    options = parser.parse_args()
    late = False
    for each in options.each:
        row = measure(options.build, each)
        print(json.dumps(row), flush=True)
        late |= row["in_force_s_max"] > IN_FORCE_BOUND_S
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
