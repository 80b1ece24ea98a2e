#!/usr/bin/env python3
"""Measures one VM with a configuration of the design size.

The configuration has 89,000 organisations with one key each, 18,000 targets in
910 services and 3,700 routes. Measures the durations of apply and diff, the
memory of the VM and the time until a change is in force. Prints one JSON
object. The exit status is 1 if the configuration takes more than 64 MB of the
VM's memory.
"""

import argparse
import json
import sys
import time
import urllib.request

sys.path.insert(0, "tools")
import fleet as fleets  # noqa: E402

#: Upper bound for the memory that the configuration adds to a VM, in
#: megabytes.
CONTROL_BOUND_MB = 64
ORGANISATIONS, TARGETS, SERVICES, ROUTES = 89_000, 18_000, 910, 3_700
VMS_PER_DATA_CENTRE = 92
DATA_CENTRES = [f"dc-{n}" for n in range(13)]


def make_design_configuration() -> fleets.Configuration:
    """Returns a configuration of the design size."""
    configuration = fleets.Configuration()
    for name in DATA_CENTRES:
        configuration.data_centre(name)
    for n in range(SERVICES):
        configuration.service(f"service-{n}", floor_percent=50)
    for n in range(ROUTES):
        configuration.route(f"route-{n}", service=f"service-{n % SERVICES}",
                            path_prefix=f"/part-{n // SERVICES}",
                            methods=["GET", "POST"])
    for n in range(TARGETS):
        configuration.target(
            f"target-{n}", service=f"service-{n % SERVICES}",
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            address=f"127.{n // 62500 + 200}.{n // 250 % 250}.{n % 250}:9000",
            slots=6)
    for n in range(ORGANISATIONS):
        name = f"organisation-{n}"
        configuration.organisation(
            name, requests_per_second=5.0, burst=20,
            key_hashes=[fleets.key_hash(name)])
    return configuration


def put_views(fleet: fleets.Fleet) -> None:
    """Stores views that list 1,104 VMs in the other data centres.

    These VMs do not run. Their views are meant to make the measured VM order
    as many VMs as at the design size. The measured VM is alone in its data
    centre and owns every target there, which is more than its share at the
    design size.
    """
    for number, name in enumerate(DATA_CENTRES[1:]):
        vms = [{"vm": f"{name}-other-{n}", "peers": f"127.90.{number}.{n}:1",
                "callers": f"127.90.{number}.{n}:2",
                "incarnation": f"{number * 1000 + n:016x}",
                "standing": "serving"}
               for n in range(1, VMS_PER_DATA_CENTRE + 1)]
        vms.sort(key=lambda it: it["vm"])
        body = json.dumps({"data_centre": name, "epoch": 1, "writer": "bench",
                           "vms": vms})
        request = urllib.request.Request(
            f"http://{fleet.platform}/objects/views/{name}",
            data=body.encode(), method="PUT",
            headers={"Object-Expected-Version": "0"})
        urllib.request.urlopen(request, timeout=5).close()


def main() -> int:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    with fleets.Fleet(options.build, "/tmp/pomelohinge-size",
                      log_level="error") as fleet:
        fleet.add_vms(["dc-0"], 1)
        fleet.start_platform()
        put_views(fleet)
        vm = fleet.vms["dc-0-vm-1"]
        fleet.start_vm(vm)
        time.sleep(6)
        assert vm.process is not None
        result = {"resident_empty_mb": fleets.resident_mb(vm.process.pid)}
        configuration = make_design_configuration()
        path = fleet.run_dir / "design-size.json"
        path.write_text(configuration.text(), encoding="utf-8")
        began = time.monotonic()
        fleet.command("apply", str(path))
        result["apply_s"] = time.monotonic() - began
        result["text_mb"] = path.stat().st_size / 1e6
        result["load_s"] = fleet.wait_for(
            "the configuration",
            lambda: vm.status()["configuration_version"] == 1, 60)
        time.sleep(12)
        result["resident_loaded_mb"] = fleets.resident_mb(vm.process.pid)
        began = time.monotonic()
        fleet.command("diff", str(path))
        result["diff_s"] = time.monotonic() - began
        cpu = fleets.cpu_seconds(vm.process.pid)
        fleet.command("correct", "servise-1", "service-1")
        result["change_in_force_s"] = fleet.wait_for(
            "the change",
            lambda: vm.status()["configuration_version"] == 2, 30)
        result["change_cpu_s"] = fleets.cpu_seconds(vm.process.pid) - cpu
        result = {name: round(it, 3) for name, it in result.items()}
        result["control_mb"] = round(
            result["resident_loaded_mb"] - result["resident_empty_mb"], 1)
        print(json.dumps(result))
        return 0 if result["control_mb"] <= CONTROL_BOUND_MB else 1


if __name__ == "__main__":
    sys.exit(main())
