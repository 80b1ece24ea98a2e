"""What a seed stands for: the fleet, its load and its faults."""

from __future__ import annotations

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """What can happen to a run."""

    VM_KILLED = "vm_killed"
    VM_PAUSED = "vm_paused"
    #: A planned stop and a start after it.
    VM_RESTARTED = "vm_restarted"
    #: The settings file changes, with and without a signal.
    VM_RELOADED = "vm_reloaded"
    UPSTREAM_KILLED = "upstream_killed"
    UPSTREAM_PAUSED = "upstream_paused"
    UPSTREAM_MISBEHAVES = "upstream_misbehaves"
    UPSTREAM_LINK = "upstream_link"
    STORE_MISBEHAVES = "store_misbehaves"
    STORE_LINK = "store_link"
    CONFIGURATION_CHANGED = "configuration_changed"
    DATA_CENTRE_CLOSED = "data_centre_closed"


#: Faults in which a caller's connection may end without an answer.
ENDS_CONNECTIONS = frozenset({Fault.VM_KILLED, Fault.VM_PAUSED})

DATA_CENTRES = ("east", "north", "west")

UPSTREAM_MODES = ("slow", "half_hanging", "wrong_status", "truncated",
                  "crossed", "shedding")
STORE_FAULTS = ("absent", "slow", "lossy", "stale")
LINK_TROUBLES = ("delayed", "reset", "one_way", "silent")


@dataclasses.dataclass(frozen=True)
class Event:
    """One fault: when, to what, for how long and in which way."""

    at_s: float
    fault: Fault
    #: Position among the VMs, upstreams or data centres.
    place: int
    for_s: float
    manner: str = ""

    def __str__(self) -> str:
        return (f"{self.at_s:5.1f} s {self.fault.value} {self.place} "
                f"for {self.for_s:.1f} s {self.manner}").rstrip()


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole run."""

    seed: int
    vms_each: int
    upstreams_each: int
    duration_s: float
    requests_per_second: float
    events: tuple[Event, ...]

    def has(self, faults: frozenset[Fault]) -> bool:
        return any(it.fault in faults for it in self.events)


#: Seconds without faults at the beginning and at the end of a run.
CALM_BEGIN_S, CALM_END_S = 3.0, 8.0


def _manner(draw: random.Random, fault: Fault) -> str:
    if fault is Fault.UPSTREAM_MISBEHAVES:
        return draw.choice(UPSTREAM_MODES)
    if fault is Fault.STORE_MISBEHAVES:
        return draw.choice(STORE_FAULTS)
    if fault in (Fault.UPSTREAM_LINK, Fault.STORE_LINK):
        return draw.choice(LINK_TROUBLES)
    return ""


def make_plan(seed: int, duration_s: float = 30, vms_each: int = 0) -> Plan:
    """Returns the run that a seed stands for. Faults overlap, and some come
    as a series of the same kind."""
    draw = random.Random(seed)
    vms_each = vms_each or draw.randint(2, 4)
    upstreams_each = draw.randint(1, 3)
    end_s = duration_s - CALM_END_S
    kinds = draw.sample(list(Fault), draw.randint(2, 6))
    events = []
    for fault in kinds:
        at_s = draw.uniform(CALM_BEGIN_S, end_s - 1)
        for _ in range(draw.choice((1, 1, 2, 4))):
            for_s = draw.uniform(0.3, min(6.0, max(0.5, end_s - at_s)))
            events.append(Event(at_s, fault, draw.randrange(1000), for_s,
                                _manner(draw, fault)))
            at_s += draw.choice((0.0, 0.5, 1.5, 4.0))
            if at_s >= end_s - 1:
                break
    events.sort(key=lambda it: it.at_s)
    return Plan(seed, vms_each, upstreams_each, duration_s,
                draw.choice((40.0, 90.0, 150.0)), tuple(events))
