"""Injects a plan's faults into a running fleet."""

from __future__ import annotations

import heapq
import itertools
import json
import subprocess
import time
from typing import Callable

import fleet as fleets
from link_proxy import Link, LinkFault, LinkProxy
from plan import DATA_CENTRES, Event, Fault, Plan

#: Delay of each direction of a delayed link.
LINK_DELAY_S = 0.15

#: Upper bound for the duration of a planned stop: the default in the settings,
#: six seconds, and one second for a slow machine.
MAX_STOP_S = 7.0

#: Period at which the end of a process is looked for.
STOP_POLL_S = 0.05

#: Age of the copy that the store is restored from, and the time after which
#: the operators write again what was lost.
MIN_COPY_AGE_S, MAX_COPY_AGE_S, REWRITE_DELAY_S = 1, 5, 1.0


class Injector:
    """Starts and ends faults at their times, all in the calling thread."""

    def __init__(self, fleet: fleets.Fleet, plan: Plan, proxy: LinkProxy,
                 upstream_links: list[Link], store_links: list[Link],
                 reconfigure: Callable[[int], None]) -> None:
        self.fleet = fleet
        self.plan = plan
        self.findings: list[str] = []
        #: Findings that depend on the speed of the machine.
        self.timed_findings: list[str] = []
        #: Payments in the ledgers of upstreams when they were killed.
        self.lost_payments: list[dict[str, int]] = []
        #: Names of the VMs that a fault has stopped or paused.
        self.down: set[str] = set()
        self._proxy = proxy
        self._upstream_links = upstream_links
        self._store_links = store_links
        self._reconfigure = reconfigure
        self._vms = list(fleet.vms.values())
        self._upstreams = list(fleet.upstreams.values())
        self._sequence = itertools.count()
        #: Actions by time; the sequence number keeps the order of actions
        #: with equal times.
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        #: Number of active faults of each resource. The end of the last one
        #: restores the resource.
        self._active: dict[str, int] = {}
        #: Ids of the processes of VMs that a fault has killed.
        self._killed: set[int] = set()
        #: Total duration of each VM's pauses, each added when it starts.
        self._paused_s: dict[str, float] = {}

    def run(self, start: float) -> None:
        """Injects all events; returns when the last fault has ended.

        `start` is the value of `time.monotonic()` at the start of the run.
        """
        for it in self.plan.events:
            self._schedule(it.start_s, lambda it=it: self._inject(it))
        while self._queue:
            at_s, _, action = heapq.heappop(self._queue)
            time.sleep(max(0.0, start + at_s - time.monotonic()))
            # An action that takes long delays those that follow it. Durations
            # and limits count from the time at which a fault really starts.
            self._now_s = max(at_s, time.monotonic() - start)
            try:
                action()
            except (OSError, subprocess.SubprocessError) as error:
                # The operators' command line may fail while the store is
                # unreachable.
                print(f"  {at_s:.1f} s: {error}", flush=True)

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._sequence), action))

    def _start_fault(self, resource: str, event: Event,
                     begin: Callable[[], None],
                     end: Callable[[], None]) -> None:
        """Calls `begin` now and `end` after the event's duration, unless
        another fault of the same resource is still active then."""
        self._active[resource] = self._active.get(resource, 0) + 1
        begin()

        def finish() -> None:
            self._active[resource] -= 1
            if self._active[resource] == 0:
                end()
        self._schedule(self._now_s + event.duration_s, finish)

    def _inject(self, event: Event) -> None:
        """Calls the method that is named after the event's fault."""
        print(f"  {event}", flush=True)
        getattr(self, f"_{event.fault.value}")(event)

    # Faults of VMs.

    def _vm(self, event: Event) -> fleets.Vm:
        return self._vms[event.subject % len(self._vms)]

    def _vm_killed(self, event: Event) -> None:
        vm = self._vm(event)
        self.down.add(vm.name)
        self._start_fault(f"vm {vm.name}", event,
                          lambda: self._kill_vm(vm),
                          lambda: self._start_vm(vm))

    def _kill_vm(self, vm: fleets.Vm) -> None:
        if vm.process is not None and vm.process.poll() is None:
            self._killed.add(vm.process.pid)
            self.fleet.kill(vm.process)

    def _start_vm(self, vm: fleets.Vm) -> None:
        if vm.process is None or vm.process.poll() is not None:
            self.fleet.start_vm(vm)
        self.down.discard(vm.name)

    def _vm_paused(self, event: Event) -> None:
        vm = self._vm(event)
        if vm.process is None or vm.process.poll() is not None:
            return
        self.down.add(vm.name)
        self._paused_s[vm.name] = (
            self._paused_s.get(vm.name, 0.0) + event.duration_s)
        self._start_fault(f"pause {vm.name}", event,
                          lambda: self.fleet.pause(vm),
                          lambda: self._resume_vm(vm))

    def _resume_vm(self, vm: fleets.Vm) -> None:
        if vm.process is not None and vm.process.poll() is None:
            self.fleet.resume(vm)
        # The VM stays down while it is killed or a planned stop is running.
        if self._active.get(f"vm {vm.name}", 0) == 0:
            self.down.discard(vm.name)

    def _vm_restarted(self, event: Event) -> None:
        vm = self._vm(event)
        process = vm.process
        if vm.name in self.down or process is None:
            return
        self.down.add(vm.name)
        self._active[f"vm {vm.name}"] = (
            self._active.get(f"vm {vm.name}", 0) + 1)
        self.fleet.request_stop(vm)
        paused_s = self._paused_s.get(vm.name, 0.0)
        self._schedule(self._now_s + MAX_STOP_S,
                       lambda: self._finish_restart(vm, process, paused_s))

    def _finish_restart(self, vm: fleets.Vm,
                        process: subprocess.Popen[bytes],
                        paused_before_s: float) -> None:
        """Checks that the planned stop has ended and starts the VM again."""
        paused_s = self._paused_s.get(vm.name, 0.0)
        if process.poll() is None and paused_s > paused_before_s:
            # The stop makes no progress during a pause, so it is checked again
            # after the duration of the pauses that were added.
            self._schedule(
                self._now_s + paused_s - paused_before_s,
                lambda: self._finish_restart(vm, process, paused_s))
            return
        self._check_stop(vm, process)
        self._active[f"vm {vm.name}"] -= 1
        self._start_vm(vm)

    def _check_stop(self, vm: fleets.Vm,
                    process: subprocess.Popen[bytes]) -> None:
        """Adds a finding unless the process has ended with status 0."""
        if process.poll() is None:
            self.timed_findings.append(
                f"{vm.name} was still running {MAX_STOP_S} s after SIGTERM")
            self.fleet.kill(process)
        elif process.returncode != 0 and process.pid not in self._killed:
            self.findings.append(
                f"{vm.name} stopped with status {process.returncode}")

    def _vm_signalled(self, event: Event) -> None:
        vm = self._vm(event)
        process = vm.process
        if vm.name in self.down or process is None:
            return
        self.down.add(vm.name)
        self._active[f"vm {vm.name}"] = (
            self._active.get(f"vm {vm.name}", 0) + 1)
        self.fleet.request_stop(vm)
        self.fleet.reload(vm)
        self.fleet.request_stop(vm)
        self._when_stopped(vm, process, lambda: self._signal_start(vm, event))

    def _when_stopped(self, vm: fleets.Vm, process: subprocess.Popen[bytes],
                      action: Callable[[], None]) -> None:
        """Calls `action` when the process has ended, or should have."""
        begin_s = self._now_s - self._paused_s.get(vm.name, 0.0)

        def check() -> None:
            running_s = (self._now_s - self._paused_s.get(vm.name, 0.0)
                         - begin_s)
            if process.poll() is None and running_s < MAX_STOP_S:
                self._schedule(self._now_s + STOP_POLL_S, check)
                return
            self._check_stop(vm, process)
            action()
        check()

    def _signal_start(self, vm: fleets.Vm, event: Event) -> None:
        """Starts a VM and sends it a signal soon afterwards."""
        if vm.process is None or vm.process.poll() is not None:
            self.fleet.start_vm(vm)
        process = vm.process
        assert process is not None

        def finish() -> None:
            self._active[f"vm {vm.name}"] -= 1
            self._start_vm(vm)

        def send() -> None:
            if event.mode == "term":
                self.fleet.request_stop(vm)
                return self._when_stopped(vm, process, finish)
            self.fleet.reload(vm)
            # The watcher finds the process if the signal has ended it.
            finish()
        self._schedule(self._now_s + event.duration_s, send)

    def _vm_reloaded(self, event: Event) -> None:
        vm = self._vm(event)
        path = self.fleet.run_dir / f"{vm.name}.jsonc"
        if vm.name in self.down:
            return
        settings = json.loads(path.read_text(encoding="utf-8"))
        level = settings["log"]["level"]
        settings["log"]["level"] = "debug" if level == "info" else "info"
        path.write_text(json.dumps(settings), encoding="utf-8")
        if event.subject % 2 == 0:
            self.fleet.reload(vm)

    # Faults of upstreams.

    def _upstream(self, event: Event) -> fleets.Upstream:
        return self._upstreams[event.subject % len(self._upstreams)]

    def _upstream_killed(self, event: Event) -> None:
        upstream = self._upstream(event)
        self._start_fault(f"upstream {upstream.name}", event,
                          lambda: self._kill_upstream(upstream),
                          lambda: self._restore_upstream(upstream))

    def _kill_upstream(self, upstream: fleets.Upstream) -> None:
        process = upstream.process
        if process is None or process.poll() is not None:
            return
        # A paused process could not answer with its ledger.
        self.fleet.resume(upstream)
        self.lost_payments.append(upstream.ledger()["payments"])
        self.fleet.kill(process)

    def _restore_upstream(self, upstream: fleets.Upstream) -> None:
        if upstream.process is None or upstream.process.poll() is not None:
            self.fleet.start_upstream(upstream, seed=self.plan.seed + 1)
        else:
            self.fleet.resume(upstream)

    def _upstream_paused(self, event: Event) -> None:
        upstream = self._upstream(event)
        if upstream.process is None or upstream.process.poll() is not None:
            return
        self._start_fault(f"upstream {upstream.name}", event,
                          lambda: self.fleet.pause(upstream),
                          lambda: self._restore_upstream(upstream))

    def _upstream_misbehaves(self, event: Event) -> None:
        self._set_mode(self._upstream(event), event, event.mode)

    def _upstream_repeats(self, event: Event) -> None:
        # A caller is refused only if all targets that its VM tries refuse.
        for it in self._upstreams:
            self._set_mode(it, event, "repeating")

    def _set_mode(self, upstream: fleets.Upstream, event: Event,
                  mode: str) -> None:
        if self._active.get(f"upstream {upstream.name}", 0) > 0:
            return
        self._start_fault(f"mode {upstream.name}", event,
                          lambda: upstream.set_mode(mode),
                          lambda: upstream.set_mode("healthy"))

    def _upstream_link(self, event: Event) -> None:
        self._start_link_fault(event, self._upstream_links)

    # Faults of the store and changes to what it holds.

    def _store_misbehaves(self, event: Event) -> None:
        self._start_fault("store", event,
                          lambda: self.fleet.set_platform_fault(event.mode),
                          lambda: self.fleet.set_platform_fault("none"))

    def _store_restored(self, event: Event) -> None:
        def restore() -> None:
            self.fleet.restore_platform(
                MIN_COPY_AGE_S + event.subject % MAX_COPY_AGE_S)
            self.fleet.set_platform_fault("none")
            # The operators write again what the store has lost.
            self._schedule(self._now_s + REWRITE_DELAY_S,
                           lambda: self._reconfigure(event.subject))
        self._start_fault("store", event,
                          lambda: self.fleet.set_platform_fault("absent"),
                          restore)

    def _store_link(self, event: Event) -> None:
        self._start_link_fault(event, self._store_links)

    def _start_link_fault(self, event: Event, links: list[Link]) -> None:
        link = links[event.subject % len(links)]
        self._start_fault(
            f"link {link.listen_address}", event,
            lambda: self._proxy.set_fault(
                link, LinkFault(event.mode), LINK_DELAY_S),
            lambda: self._proxy.set_fault(link, LinkFault.NONE))

    def _configuration_changed(self, event: Event) -> None:
        self._reconfigure(event.subject)

    def _data_centre_closed(self, event: Event) -> None:
        name = DATA_CENTRES[event.subject % len(DATA_CENTRES)]
        self._start_fault(
            f"data centre {name}", event,
            lambda: self.fleet.command("drain", name) and None,
            lambda: self.fleet.command("undrain", name) and None)
