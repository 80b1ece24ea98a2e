"""Injects a plan's faults into a running fleet."""

from __future__ import annotations

import heapq
import itertools
import json
import subprocess
import time
from typing import Callable

import fleet as fleets
from link_proxy import Link, LinkProxy, Trouble
from plan import DATA_CENTRES, Event, Fault, Plan

#: Added to each direction by a delayed link.
DELAY_S = 0.15

#: A planned stop ends within the settings' default of six seconds; one more
#: for the machine.
STOP_LIMIT_S = 7.0


class Injector:
    """Begins and ends faults at their times, in one thread."""

    def __init__(self, fleet: fleets.Fleet, plan: Plan, proxy: LinkProxy,
                 upstream_links: list[Link], store_links: list[Link],
                 reconfigure: Callable[[int], None]) -> None:
        self.fleet = fleet
        self.plan = plan
        self.findings: list[str] = []
        #: Runs that upstreams had in their ledgers before they were killed.
        self.lost_payments: list[dict[str, int]] = []
        #: VMs that a fault keeps from running.
        self.down: set[str] = set()
        self._proxy = proxy
        self._upstream_links = upstream_links
        self._store_links = store_links
        self._reconfigure = reconfigure
        self._vms = list(fleet.vms.values())
        self._upstreams = list(fleet.upstreams.values())
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        #: How many faults hold each thing; it is mended with the last.
        self._held: dict[str, int] = {}
        #: For how long each VM was paused in all.
        self._paused_s: dict[str, float] = {}

    def run(self, began: float) -> None:
        """Plays all events; returns when the last fault has ended."""
        for it in self.plan.events:
            self._at(it.at_s, lambda it=it: self._begin(it))
        while self._due:
            at_s, _, act = heapq.heappop(self._due)
            time.sleep(max(0.0, began + at_s - time.monotonic()))
            self._now_s = at_s
            try:
                act()
            except (OSError, subprocess.SubprocessError) as problem:
                # The command line itself may fail while the store is away.
                print(f"  {at_s:.1f} s: {problem}", flush=True)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_s, next(self._order), act))

    def _hold(self, what: str, event: Event, begin: Callable[[], None],
              end: Callable[[], None]) -> None:
        """Begins a fault and ends it unless another one holds it still."""
        self._held[what] = self._held.get(what, 0) + 1
        begin()

        def release() -> None:
            self._held[what] -= 1
            if self._held[what] == 0:
                end()
        self._at(self._now_s + event.for_s, release)

    def _begin(self, it: Event) -> None:
        print(f"  {it}", flush=True)
        getattr(self, f"_{it.fault.value}")(it)

    # VMs.

    def _vm(self, it: Event) -> fleets.Vm:
        return self._vms[it.place % len(self._vms)]

    def _vm_killed(self, it: Event) -> None:
        vm = self._vm(it)
        self.down.add(vm.name)
        self._hold(f"vm {vm.name}", it, lambda: self.fleet.kill(vm.process),
                   lambda: self._start_vm(vm))

    def _start_vm(self, vm: fleets.Vm) -> None:
        if vm.process is None or vm.process.poll() is not None:
            self.fleet.start_vm(vm)
        self.down.discard(vm.name)

    def _vm_paused(self, it: Event) -> None:
        vm = self._vm(it)
        if vm.process is None or vm.process.poll() is not None:
            return
        self.down.add(vm.name)
        self._paused_s[vm.name] = (
            self._paused_s.get(vm.name, 0.0) + it.for_s)
        self._hold(f"pause {vm.name}", it, lambda: self.fleet.pause(vm),
                   lambda: self._resume_vm(vm))

    def _resume_vm(self, vm: fleets.Vm) -> None:
        if vm.process is not None and vm.process.poll() is None:
            self.fleet.resume(vm)
        # It may have been killed or told to stop meanwhile.
        if self._held.get(f"vm {vm.name}", 0) == 0:
            self.down.discard(vm.name)

    def _vm_restarted(self, it: Event) -> None:
        vm = self._vm(it)
        process = vm.process
        if vm.name in self.down or process is None:
            return
        self.down.add(vm.name)
        self._held[f"vm {vm.name}"] = self._held.get(f"vm {vm.name}", 0) + 1
        self.fleet.ask_to_stop(vm)
        paused_s = self._paused_s.get(vm.name, 0.0)
        self._at(self._now_s + STOP_LIMIT_S,
                 lambda: self._after_stop(vm, process, paused_s))

    def _after_stop(self, vm: fleets.Vm, process: subprocess.Popen[bytes],
                    paused_before_s: float) -> None:
        paused_s = self._paused_s.get(vm.name, 0.0)
        if process.poll() is None and paused_s > paused_before_s:
            # It could not go on while it was paused.
            self._at(self._now_s + paused_s - paused_before_s,
                     lambda: self._after_stop(vm, process, paused_s))
            return
        if process.poll() is None:
            self.findings.append(
                f"{vm.name} ran {STOP_LIMIT_S} s after it was told to stop")
            self.fleet.kill(process)
        elif process.returncode != 0:
            self.findings.append(
                f"{vm.name} stopped with status {process.returncode}")
        self._held[f"vm {vm.name}"] -= 1
        self._start_vm(vm)

    def _vm_reloaded(self, it: Event) -> None:
        vm = self._vm(it)
        path = self.fleet.run_dir / f"{vm.name}.jsonc"
        if vm.name in self.down:
            return
        settings = json.loads(path.read_text(encoding="utf-8"))
        level = settings["log"]["level"]
        settings["log"]["level"] = "debug" if level == "info" else "info"
        path.write_text(json.dumps(settings), encoding="utf-8")
        if it.place % 2 == 0:
            self.fleet.reload(vm)

    # Upstreams.

    def _upstream(self, it: Event) -> fleets.Upstream:
        return self._upstreams[it.place % len(self._upstreams)]

    def _upstream_killed(self, it: Event) -> None:
        upstream = self._upstream(it)
        self._hold(f"upstream {upstream.name}", it,
                   lambda: self._kill_upstream(upstream),
                   lambda: self._start_upstream(upstream))

    def _kill_upstream(self, upstream: fleets.Upstream) -> None:
        process = upstream.process
        if process is None or process.poll() is not None:
            return
        self.fleet.resume(upstream)
        self.lost_payments.append(upstream.ledger()["payments"])
        self.fleet.kill(process)

    def _start_upstream(self, upstream: fleets.Upstream) -> None:
        if upstream.process is None or upstream.process.poll() is not None:
            self.fleet.start_upstream(upstream, seed=self.plan.seed + 1)
        else:
            self.fleet.resume(upstream)

    def _upstream_paused(self, it: Event) -> None:
        upstream = self._upstream(it)
        if upstream.process is None or upstream.process.poll() is not None:
            return
        self._hold(f"upstream {upstream.name}", it,
                   lambda: self.fleet.pause(upstream),
                   lambda: self._start_upstream(upstream))

    def _upstream_misbehaves(self, it: Event) -> None:
        upstream = self._upstream(it)
        if self._held.get(f"upstream {upstream.name}", 0) > 0:
            return
        self._hold(f"mode {upstream.name}", it,
                   lambda: upstream.set_mode(it.manner),
                   lambda: upstream.set_mode("healthy"))

    def _upstream_link(self, it: Event) -> None:
        self._trouble_link(it, self._upstream_links)

    # The store, and what is written there.

    def _store_misbehaves(self, it: Event) -> None:
        self._hold("store", it,
                   lambda: self.fleet.set_platform_fault(it.manner),
                   lambda: self.fleet.set_platform_fault("none"))

    def _store_link(self, it: Event) -> None:
        self._trouble_link(it, self._store_links)

    def _trouble_link(self, it: Event, links: list[Link]) -> None:
        link = links[it.place % len(links)]
        self._hold(f"link {link.listens_at}", it,
                   lambda: self._proxy.set(link, Trouble(it.manner), DELAY_S),
                   lambda: self._proxy.set(link, Trouble.NONE))

    def _configuration_changed(self, it: Event) -> None:
        self._reconfigure(it.place)

    def _data_centre_closed(self, it: Event) -> None:
        name = DATA_CENTRES[it.place % len(DATA_CENTRES)]
        self._hold(f"data centre {name}", it,
                   lambda: self.fleet.command("drain", name) and None,
                   lambda: self.fleet.command("undrain", name) and None)
