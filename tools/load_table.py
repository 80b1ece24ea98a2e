#!/usr/bin/env python3
"""Summarises how requests fared under load, from the logs of any number of VMs.

load_table.py [--from MS] [--to MS] [--output json] FILE...

Lines are those of the JSON log format; words that a log collector puts before
the JSON are ignored, except that the last one names the VM. MS counts from the
first line. For each route: outcomes, waiting times, where attempts went and how
many of them failed by the state of the target; then the organisations, VMs and
services with the lowest share of requests served within the latency goal.
"""

import argparse
import collections
import dataclasses
import json
import sys

FIRST_FAILURE_STATUS = 500
WORST_ROWS = 5
# Shares of fewer requests say little about an organisation or a VM.
MIN_REQUESTS = 20

# Log collectors may cut lines or write two into one.
NEEDED_FIELDS = {
    "request_sent": {"request", "attempt", "target", "state", "cause", "near",
                     "queued_ms"},
    "attempt_ended": {"request", "attempt", "result"},
    "request_answered": {"request", "status", "ms"},
    "request_refused": {"request", "kind", "ms"},
}


@dataclasses.dataclass
class Attempt:
    target: str
    state: str
    cause: str
    local: bool
    queued_ms: int
    failed: bool = True


@dataclasses.dataclass
class Request:
    vm: str
    started_ms: int = 0
    route: str = ""
    service: str = ""
    organisation: str = ""
    # "in_goal", "late", "failed", or the kind of the refusal.
    outcome: str = ""
    elapsed_ms: int = 0
    attempts: dict = dataclasses.field(default_factory=dict)


def read_lines(paths):
    """Yields (vm, fields) of each line of a request that can be read."""
    for path in paths:
        with open(path, errors="replace") as file:
            for line in file:
                begin = line.find('{"time_ms"')
                if begin < 0:
                    continue
                try:
                    fields = json.loads(line[begin:])
                except json.JSONDecodeError:
                    continue
                needed = NEEDED_FIELDS.get(fields.get("event"))
                if needed is None or not needed <= fields.keys():
                    continue
                words = line[:begin].split()
                yield (words[-1] if words else path), fields


def outcome_of(fields):
    if fields["event"] == "request_refused":
        return fields["kind"]
    if fields["status"] >= FIRST_FAILURE_STATUS:
        return "failed"
    goal = fields.get("goal_ms", 0)
    return "late" if goal and fields["ms"] > goal else "in_goal"


def collect_requests(lines, begin_ms, end_ms):
    """Joins the lines of each request; keeps those that began in the window."""
    requests = {}
    first_ms = None
    for vm, it in lines:
        first_ms = it["time_ms"] if first_ms is None else first_ms
        event, key = it.get("event"), (vm, it.get("request"))
        if event == "request_sent":
            request = requests.setdefault(key, Request(vm))
            request.attempts[it["attempt"]] = Attempt(
                it["target"], it["state"], it["cause"], bool(it["near"]),
                it["queued_ms"])
        elif event == "attempt_ended" and key in requests:
            attempt = requests[key].attempts.get(it["attempt"])
            if attempt is not None:
                attempt.failed = not (
                    it["result"] == "answered" or it["result"] == "cancelled")
        elif event in ("request_answered", "request_refused"):
            request = requests.setdefault(key, Request(vm))
            request.route = it.get("route", "")
            request.service = it.get("service", "")
            request.organisation = it.get("organisation", "")
            request.outcome = outcome_of(it)
            request.elapsed_ms = it["ms"]
            request.started_ms = it["time_ms"] - it["ms"] - first_ms
    return [it for it in requests.values()
            if it.outcome and begin_ms <= it.started_ms < end_ms]


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] \
        if ordered else 0


def summarise_attempts(requests):
    sent, failed = collections.Counter(), collections.Counter()
    for request in requests:
        for it in request.attempts.values():
            sent[it.state, it.cause] += 1
            failed[it.state, it.cause] += it.failed
    return [{"state": state, "cause": cause, "attempts": n,
             "failed": failed[state, cause]}
            for (state, cause), n in sorted(sent.items())]


def summarise_route(requests):
    attempts = [a for it in requests for a in it.attempts.values()]
    waits = [a.queued_ms for a in attempts]
    refused = [it.elapsed_ms for it in requests
               if it.outcome not in ("in_goal", "late", "failed")]
    return {
        "requests": len(requests),
        "outcomes": dict(sorted(
            collections.Counter(it.outcome for it in requests).items())),
        "wait_ms": {"p50": quantile(waits, 0.5), "p90": quantile(waits, 0.9)},
        "refused_after_ms": {
            "p50": quantile(refused, 0.5), "p90": quantile(refused, 0.9)},
        "left_data_centre": sum(not a.local for a in attempts),
        "attempts": summarise_attempts(requests),
    }


def worst(requests, field):
    """The groups with the lowest share of requests served within their goal."""
    groups = collections.defaultdict(list)
    for it in requests:
        groups[getattr(it, field)].append(it.outcome == "in_goal")
    rows = [{field: name, "requests": len(it),
             "in_goal": round(sum(it) / len(it), 3)}
            for name, it in groups.items() if len(it) >= MIN_REQUESTS]
    return sorted(rows, key=lambda it: it["in_goal"])[:WORST_ROWS]


def summarise(requests):
    routes = collections.defaultdict(list)
    for it in requests:
        routes[it.route].append(it)
    return {
        "routes": {name: summarise_route(it)
                   for name, it in sorted(routes.items())},
        "worst_organisations": worst(requests, "organisation"),
        "worst_vms": worst(requests, "vm"),
        "worst_services": worst(requests, "service"),
    }


def to_text(summary):
    lines = []
    for name, it in summary["routes"].items():
        outcomes = " ".join(f"{k} {n}" for k, n in it["outcomes"].items())
        lines += [
            f"{name or '(no route)'}: {it['requests']} requests, {outcomes}",
            f"  wait p50 {it['wait_ms']['p50']} p90 {it['wait_ms']['p90']} ms,"
            f" refused after p50 {it['refused_after_ms']['p50']}"
            f" p90 {it['refused_after_ms']['p90']} ms,"
            f" left the data centre {it['left_data_centre']}"]
        lines += [f"  {a['state']:<10} {a['cause']:<12} {a['attempts']:>7}"
                  f" attempts, {a['failed'] / a['attempts']:.2f} failed"
                  for a in it["attempts"]]
    for field in ("organisation", "vm", "service"):
        lines.append(f"lowest share in goal by {field}:")
        lines += [f"  {it[field]:<24} {it['requests']:>6} requests"
                  f" {it['in_goal']:.3f}"
                  for it in summary[f"worst_{field}s"]]
    return "\n".join(lines)


def main(arguments):
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--from", dest="begin", type=int,
                        default=-sys.maxsize)
    parser.add_argument("--to", dest="end", type=int, default=sys.maxsize)
    parser.add_argument("--output", choices=("text", "json"), default="text")
    it = parser.parse_args(arguments)
    summary = summarise(
        collect_requests(read_lines(it.files), it.begin, it.end))
    print(json.dumps(summary, indent=1) if it.output == "json"
          else to_text(summary))


if __name__ == "__main__":
    main(sys.argv[1:])
