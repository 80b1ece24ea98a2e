#!/usr/bin/env python3
"""Soak test: runs the programs as processes and injects randomised faults.

A seed determines the whole run (soak/plan.py). All faults come from outside
the programs: signals, a loopback proxy in front of the upstreams and the
object service, and fault modes of the stand-ins. Prints the seeds whose
checks failed and exits with status 1 if there are any.
"""

from __future__ import annotations

import argparse
import pathlib
import random
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "soak")]

import checks  # noqa: E402
import fleet as fleets  # noqa: E402
from injector import Injector  # noqa: E402
from link_proxy import Link, LinkProxy  # noqa: E402
from plan import DATA_CENTRES, Plan, make_plan  # noqa: E402

#: Requests per second and burst of each organisation. "flood" sends far
#: more than its rate.
RATES = {"bathers": (400.0, 400), "doors": (200.0, 200), "flood": (8.0, 8)}

#: Slots of each target.
SLOTS = 8


def make_scenario(fleet: fleets.Fleet, plan: Plan) -> dict[str, object]:
    """Returns the scenario of the callers: reads, payments that are sent again
    after a refusal as not run, payments that are also sent again with their
    idempotency key after an unknown outcome, and an organisation that exceeds
    its rate."""
    def tenant(organisation: str, rate: float, **more: object
               ) -> dict[str, object]:
        return {"organisation": organisation, "service": "booking",
                "key": f"{organisation}-secret", "path": "/times",
                "requests_per_second": rate, **more}
    rate = plan.requests_per_second
    payments = {"service": "counter", "method": "POST", "payments": True,
                "body_bytes": 100}
    return {
        "seed": plan.seed, "duration_s": plan.duration_s,
        "entries": [vm.callers for vm in fleet.vms.values()],
        "ledgers": [it.listen_address for it in fleet.upstreams.values()],
        "tenants": [
            tenant("bathers", rate * 0.5),
            tenant("doors", rate * 0.2, **payments, path="/sales",
                   retries_refused=True),
            tenant("doors", rate * 0.1, **payments, path="/refunds",
                   repeats=True, retries_refused=True),
            tenant("flood", 30),
        ],
    }


def add_links(fleet: fleets.Fleet, proxy: LinkProxy
              ) -> tuple[list[Link], list[Link]]:
    """Adds a link in front of each upstream and, for each VM, one in front of
    the object service. Returns the links of the upstreams and those of the
    object service."""
    upstream_links = []
    for it in fleet.upstreams.values():
        host, port = it.address.rsplit(":", 1)
        it.listen_address = f"{host}:{int(port) + 1000}"
        upstream_links.append(proxy.add(Link(it.address, it.listen_address)))
    store_links = []
    for vm in fleet.vms.values():
        vm.platform = f"{vm.ip}:8090"
        store_links.append(proxy.add(Link(vm.platform, fleet.platform)))
    return upstream_links, store_links


def run_plan(plan: Plan, build: str, run_dir: str, timed: bool) -> list[str]:
    """Runs a plan and returns the findings of its checks.

    `timed` includes the checks whose result depends on the speed of the
    machine.
    """
    proxy = LinkProxy()
    rates = dict(RATES)
    with fleets.Fleet(build, run_dir) as fleet:
        for path in fleet.run_dir.glob("*"):
            path.unlink()
        fleet.platform_era = 1
        fleet.add_vms(list(DATA_CENTRES), plan.vms_per_data_centre)
        for service, port in (("booking", 9100), ("counter", 9200)):
            fleet.add_upstreams(service, list(DATA_CENTRES),
                                plan.upstreams_per_data_centre, SLOTS, port)
        upstream_links, store_links = add_links(fleet, proxy)

        def reconfigure(variant: int) -> None:
            rates["bathers"] = (300.0 + variant % 200, 400)
            fleet.apply(fleets.make_configuration(
                fleet, rates, list(DATA_CENTRES)))

        fleet.start(fleets.make_configuration(
            fleet, rates, list(DATA_CENTRES)))
        injector = Injector(fleet, plan, proxy, upstream_links, store_links,
                            reconfigure)
        watcher = checks.Watcher(fleet, injector)
        watcher.start()
        callers = fleet.start_callers(make_scenario(fleet, plan))
        injector.run(time.monotonic())
        callers.wait()
        watcher.stop()
        ledgers = injector.lost_payments + [
            it.ledger()["payments"] for it in fleet.upstreams.values()]
        report = fleet.report()
    proxy.close()
    outcomes = {name: report["all"][name] for name in (
        "requests", "answered", "refused_not_run", "refused_unknown", "cut")}
    print(f"  {outcomes}", flush=True)
    findings = sorted(watcher.findings)
    findings += checks.check_outcomes(report, ledgers)
    findings += checks.check_connections(report, plan)
    findings += checks.check_rate(report, plan, "flood", *RATES["flood"])
    findings += injector.findings
    if timed:
        findings += injector.timed_findings
        findings += checks.check_recovery(report, plan)
    return findings


def main() -> int:
    """Runs the seeds that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--run-dir", default="soak-run")
    parser.add_argument("--seeds",
                        help="FIRST:COUNT; random seeds if left out")
    parser.add_argument("--count", type=int, default=5,
                        help="number of random seeds")
    parser.add_argument("--duration", type=float, default=30, metavar="S")
    parser.add_argument("--vms-each", type=int, default=0,
                        help="VMs per data centre; random if left out")
    parser.add_argument("--untimed", action="store_true",
                        help="leave out checks that depend on the speed "
                        "of the machine")
    options = parser.parse_args()
    if options.seeds:
        first, count = (int(it) for it in options.seeds.split(":"))
        seeds = list(range(first, first + count))
    else:
        seeds = [random.SystemRandom().randrange(1 << 31)
                 for _ in range(options.count)]
    failed = []
    for seed in seeds:
        plan = make_plan(seed, options.duration, options.vms_each)
        print(f"seed {seed}: {3 * plan.vms_per_data_centre} VMs, "
              f"{6 * plan.upstreams_per_data_centre} upstreams, "
              f"{plan.requests_per_second:.0f} requests a second", flush=True)
        findings = run_plan(plan, options.build, options.run_dir,
                            not options.untimed)
        for it in findings:
            print(f"seed {seed}: {it}", flush=True)
        if findings:
            failed.append(seed)
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds passed"
          + (f"; failed: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
