#!/usr/bin/env python3
"""Runs the real programs as separate processes under randomised faults.

Each seed is a whole description of a run (soak/plan.py). Faults come from
outside: signals, a loopback proxy before upstreams and the object service,
and stand-ins that misbehave. Ends with status 1 if a check failed, and
prints the seeds that did.
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

#: Rate and burst of each organisation; the last one asks for far more.
RATES = {"bathers": (400.0, 400), "doors": (200.0, 200), "flood": (8.0, 8)}

SLOTS = 8


def make_scenario(fleet: fleets.Fleet, plan: Plan) -> dict[str, object]:
    """Returns what callers do: reads, payments, payments that are repeated
    with their key, and an organisation that asks beyond its rate."""
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
        "ledgers": [it.listens_at for it in fleet.upstreams.values()],
        "tenants": [
            tenant("bathers", rate * 0.5),
            tenant("doors", rate * 0.2, **payments, path="/sales"),
            tenant("doors", rate * 0.1, **payments, path="/refunds",
                   repeats=True),
            tenant("flood", 30),
        ],
    }


def add_links(fleet: fleets.Fleet, proxy: LinkProxy
              ) -> tuple[list[Link], list[Link]]:
    """Puts a proxy before every upstream, and one before the object service
    for every VM."""
    upstream_links = []
    for it in fleet.upstreams.values():
        host, port = it.address.rsplit(":", 1)
        it.listens_at = f"{host}:{int(port) + 1000}"
        upstream_links.append(proxy.add(Link(it.address, it.listens_at)))
    store_links = []
    for vm in fleet.vms.values():
        vm.platform = f"{vm.ip}:8090"
        store_links.append(proxy.add(Link(vm.platform, fleet.platform)))
    return upstream_links, store_links


def play(plan: Plan, build: str, run_dir: str, timed: bool) -> list[str]:
    """Plays one run and returns what was wrong; `timed` checks depend on how
    fast the machine is."""
    proxy = LinkProxy()
    rates = dict(RATES)
    with fleets.Fleet(build, run_dir) as fleet:
        for path in fleet.run_dir.glob("*"):
            path.unlink()
        fleet.add_vms(list(DATA_CENTRES), plan.vms_each)
        for service, port in (("booking", 9100), ("counter", 9200)):
            fleet.add_upstreams(service, list(DATA_CENTRES),
                                plan.upstreams_each, SLOTS, port)
        upstream_links, store_links = add_links(fleet, proxy)

        def reconfigure(draw: int) -> None:
            rates["bathers"] = (300.0 + draw % 200, 400)
            fleet.apply(fleets.make_configuration(fleet, rates, list(DATA_CENTRES)))

        fleet.start(fleets.make_configuration(fleet, rates, list(DATA_CENTRES)))
        injector = Injector(fleet, plan, proxy, upstream_links, store_links,
                            reconfigure)
        watcher = checks.Watcher(fleet, injector)
        watcher.start()
        callers = fleet.start_callers(make_scenario(fleet, plan))
        injector.run(time.monotonic())
        callers.wait()
        watcher.stop()
        payments = injector.lost_payments + [
            it.ledger()["payments"] for it in fleet.upstreams.values()]
        report = fleet.report()
    proxy.close()
    ends = {name: report["all"][name] for name in (
        "requests", "answered", "refused_not_run", "refused_unknown", "cut")}
    print(f"  {ends}", flush=True)
    found = sorted(watcher.findings)
    found += checks.check_money(report, payments)
    found += checks.check_connections(report, plan)
    found += checks.check_rate(report, plan, "flood", *RATES["flood"])
    if timed:
        found += injector.findings + checks.check_recovery(report, plan)
    return found


def main() -> int:
    """Runs the seeds asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--run-dir", default="soak-run")
    parser.add_argument("--seeds", help="FIRST:COUNT; fresh ones without it")
    parser.add_argument("--count", type=int, default=5,
                        help="how many fresh seeds")
    parser.add_argument("--duration", type=float, default=30, metavar="S")
    parser.add_argument("--vms-each", type=int, default=0,
                        help="VMs of a data centre, if not by the seed")
    parser.add_argument("--untimed", action="store_true",
                        help="leave out checks of how long things take")
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
        print(f"seed {seed}: {3 * plan.vms_each} VMs, "
              f"{6 * plan.upstreams_each} upstreams, "
              f"{plan.requests_per_second:.0f} requests a second", flush=True)
        found = play(plan, options.build, options.run_dir,
                     not options.untimed)
        for it in found:
            print(f"seed {seed}: {it}", flush=True)
        if found:
            failed.append(seed)
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds passed"
          + (f"; failed: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
