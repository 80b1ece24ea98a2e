"""Derives a run from its seed: the fleet's size, its load and its faults."""

from __future__ import annotations

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """Kinds of faults. `Injector` has a method `_VALUE` for each value."""

    VM_KILLED = "vm_killed"
    VM_PAUSED = "vm_paused"
    #: A planned stop, followed by a start.
    VM_RESTARTED = "vm_restarted"
    #: A planned stop with further signals, a start as soon as the process has
    #: ended, and a signal shortly after it.
    VM_SIGNALLED = "vm_signalled"
    #: The settings file changes, with or without a SIGHUP.
    VM_RELOADED = "vm_reloaded"
    UPSTREAM_KILLED = "upstream_killed"
    UPSTREAM_PAUSED = "upstream_paused"
    UPSTREAM_MISBEHAVES = "upstream_misbehaves"
    #: All upstreams refuse requests and send answers again.
    UPSTREAM_REPEATS = "upstream_repeats"
    UPSTREAM_LINK = "upstream_link"
    STORE_MISBEHAVES = "store_misbehaves"
    STORE_LINK = "store_link"
    #: The store is absent and comes back from a copy of some seconds before.
    STORE_RESTORED = "store_restored"
    CONFIGURATION_CHANGED = "configuration_changed"
    DATA_CENTRE_CLOSED = "data_centre_closed"


#: Faults that may end a caller's connection before it has its answer.
CONNECTION_ENDING_FAULTS = frozenset({Fault.VM_KILLED, Fault.VM_PAUSED})

DATA_CENTRES = ("east", "north", "west")

#: Modes of the upstream stand-in, faults of the platform stand-in and values
#: of `LinkFault`.
UPSTREAM_MODES = ("slow", "half_hanging", "wrong_status", "truncated",
                  "crossed", "shedding")
STORE_FAULTS = ("absent", "slow", "lossy", "stale")
LINK_FAULTS = ("delayed", "reset", "one_way", "silent")

#: The signal shortly after a start.
START_SIGNALS = ("term", "hup")


@dataclasses.dataclass(frozen=True)
class Event:
    """One fault: its start, kind, subject, duration and mode."""

    #: Seconds from the start of the run.
    start_s: float
    fault: Fault
    #: Selects the VM, upstream, link or data centre, modulo their number, or
    #: the new rate of a configuration change.
    subject: int
    duration_s: float
    #: The upstream mode, store fault, link fault or signal; empty for other
    #: kinds.
    mode: str = ""

    def __str__(self) -> str:
        return (f"{self.start_s:5.1f} s {self.fault.value} {self.subject} "
                f"for {self.duration_s:.1f} s {self.mode}").rstrip()


@dataclasses.dataclass(frozen=True)
class Plan:
    """The fleet, the load and the faults of one run."""

    seed: int
    vms_per_data_centre: int
    #: Targets of each service in each data centre.
    upstreams_per_data_centre: int
    duration_s: float
    requests_per_second: float
    #: Ordered by start.
    events: tuple[Event, ...]

    def has_any(self, faults: frozenset[Fault]) -> bool:
        return any(it.fault in faults for it in self.events)


#: No fault starts in these periods at the start and at the end of a run.
FAULT_FREE_START_S, FAULT_FREE_END_S = 3.0, 8.0


def _draw_mode(rng: random.Random, fault: Fault) -> str:
    if fault is Fault.UPSTREAM_MISBEHAVES:
        return rng.choice(UPSTREAM_MODES)
    if fault is Fault.STORE_MISBEHAVES:
        return rng.choice(STORE_FAULTS)
    if fault in (Fault.UPSTREAM_LINK, Fault.STORE_LINK):
        return rng.choice(LINK_FAULTS)
    return ""


def _draw_signals(seed: int, end_s: float) -> list[Event]:
    """Returns signals in series. They have draws of their own, so that the
    other faults of recorded seeds stay as they are."""
    rng = random.Random(f"{seed} signals")
    return [Event(rng.uniform(FAULT_FREE_START_S, end_s - 1),
                  Fault.VM_SIGNALLED, rng.randrange(1000),
                  rng.uniform(0, 0.3), rng.choice(START_SIGNALS))
            for _ in range(rng.randint(0, 3))]


def _draw_repeats(seed: int, end_s: float) -> list[Event]:
    """Returns events of upstreams that repeat answers. They have draws of
    their own for the same reason."""
    rng = random.Random(f"{seed} repeats")
    return [Event(rng.uniform(FAULT_FREE_START_S, end_s - 1),
                  Fault.UPSTREAM_REPEATS, rng.randrange(1000),
                  rng.uniform(1, 6))
            for _ in range(rng.randint(0, 3))]


def _draw_restores(seed: int, end_s: float) -> list[Event]:
    """Returns restores of the store, in every third plan. They have draws of
    their own for the same reason."""
    rng = random.Random(f"{seed} restores")
    if rng.randrange(3) > 0:
        return []
    return [Event(rng.uniform(FAULT_FREE_START_S, end_s - 1),
                  Fault.STORE_RESTORED, rng.randrange(1000),
                  rng.uniform(0, 1.5))
            for _ in range(rng.randint(1, 2))]


def make_plan(seed: int, duration_s: float = 30,
              vms_per_data_centre: int = 0) -> Plan:
    """Returns the plan of a seed.

    Faults may overlap, and a kind may occur several times in a row. With
    `vms_per_data_centre` 0 the seed determines the number of VMs. The order
    of the random draws determines the run: if it changes, recorded seeds give
    other runs.
    """
    rng = random.Random(seed)
    vms_per_data_centre = vms_per_data_centre or rng.randint(2, 4)
    upstreams_per_data_centre = rng.randint(1, 3)
    end_s = duration_s - FAULT_FREE_END_S
    drawn = [it for it in Fault
             if it not in (Fault.VM_SIGNALLED, Fault.UPSTREAM_REPEATS,
                           Fault.STORE_RESTORED)]
    kinds = rng.sample(drawn, rng.randint(2, 6))
    events = []
    for fault in kinds:
        start_s = rng.uniform(FAULT_FREE_START_S, end_s - 1)
        for _ in range(rng.choice((1, 1, 2, 4))):
            fault_s = rng.uniform(0.3, min(6.0, max(0.5, end_s - start_s)))
            events.append(Event(start_s, fault, rng.randrange(1000), fault_s,
                                _draw_mode(rng, fault)))
            start_s += rng.choice((0.0, 0.5, 1.5, 4.0))
            if start_s >= end_s - 1:
                break
    events += _draw_signals(seed, end_s)
    events += _draw_repeats(seed, end_s)
    events += _draw_restores(seed, end_s)
    events.sort(key=lambda it: it.start_s)
    return Plan(seed, vms_per_data_centre, upstreams_per_data_centre,
                duration_s, rng.choice((40.0, 90.0, 150.0)), tuple(events))
