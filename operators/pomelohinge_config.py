"""The operators' library: write a configuration in Python, print its text.

A program builds a `Configuration`, adds objects to it and calls `print`.
The text is canonical: kinds in a fixed order, names sorted, one object a
line, so that a review shows only what changed. docs/CONFIGURATION.md
describes the text, which is the contract with the system.

Only the standard library is used.
"""

from __future__ import annotations

import hashlib
import json
import re
import sys
import traceback
from typing import Any, Iterable, Mapping

#: Version of the text's format.
FORMAT = 1

#: Kinds in the order of the text.
KINDS = ("services", "data_centres", "targets", "floors", "routes",
         "corrections", "organisations", "rates", "keys")

_NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}\Z")


class ConfigurationError(ValueError):
    """Something is wrong with the operator's program; it names the line."""


def _operator_place() -> str:
    """Returns `file:line` of the innermost frame outside this module."""
    for frame in reversed(traceback.extract_stack()):
        if frame.filename != __file__:
            return f"{frame.filename}:{frame.lineno}"
    return "?"


def key_hash(key: str) -> str:
    """Returns the SHA-256 of a key in hexadecimal digits.

    Only the hash belongs into a configuration; the key itself does not.
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


class Configuration:
    """Collects objects and prints them as canonical text."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {
            kind: {} for kind in KINDS}

    def _add(self, kind: str, name: str, body: Mapping[str, Any]) -> None:
        place = _operator_place()
        if not _NAME.match(name):
            raise ConfigurationError(f"{place}: {name!r} is not a name")
        if name in self._objects[kind]:
            raise ConfigurationError(
                f"{place}: {kind} has {name!r} already")
        self._objects[kind][name] = {
            field: value for field, value in body.items()
            if value is not None}

    def service(self, name: str, *, floor_percent: int | None = None,
                echoes_request_id: bool = False) -> None:
        """Adds a service, with the share of its slots that ejection leaves.

        `echoes_request_id` says that its upstreams always return
        `X-Request-Id`, so that an answer without it is wrong.
        """
        self._add("services", name, {
            "echoes_request_id": True if echoes_request_id else None})
        if floor_percent is not None:
            self._add("floors", name, {"percent": floor_percent})

    def data_centre(self, name: str, *, region: str | None = None,
                    out: bool = False) -> None:
        """Adds a data centre; with `out` it gets no work."""
        self._add("data_centres", name, {
            "region": region, "state": "out" if out else "serving"})

    def target(self, name: str, *, service: str, data_centre: str,
               address: str, slots: int, leaving: bool = False) -> None:
        """Adds one instance of a service at `IP:PORT`."""
        self._add("targets", name, {
            "service": service, "data_centre": data_centre,
            "address": address, "slots": slots,
            "wish": "leaving" if leaving else None})

    def targets(self, service: str, data_centre: str,
                addresses: Iterable[str], *, slots: int) -> None:
        """Adds instances named SERVICE-DATA_CENTRE-1 and so on."""
        for number, address in enumerate(addresses, 1):
            self.target(f"{service}-{data_centre}-{number}", service=service,
                        data_centre=data_centre, address=address, slots=slots)

    def route(self, name: str, *, service: str, methods: Iterable[str],
              path_prefix: str = "/", open_to_all: bool = False,
              idempotent: bool | None = None,
              deadline_ms: int | None = None) -> None:
        """Adds a route. `idempotent` overrides what the method says."""
        repeat = None
        if idempotent is not None:
            repeat = "idempotent" if idempotent else "non_idempotent"
        self._add("routes", name, {
            "service": service, "path_prefix": path_prefix,
            "methods": list(methods),
            "access": "open" if open_to_all else None,
            "repeat": repeat, "deadline_ms": deadline_ms})

    def correction(self, misspelled: str, service: str) -> None:
        """Sends requests for a misspelled service to the right one."""
        self._add("corrections", misspelled, {"service": service})

    def organisation(self, name: str, *, requests_per_second: float,
                     burst: int, title: str | None = None,
                     key_hashes: Iterable[str] = ()) -> None:
        """Adds an organisation with its rate, burst and keys' hashes."""
        self._add("organisations", name, {"title": title})
        self._add("rates", name, {
            "requests_per_second": float(requests_per_second),
            "burst": burst})
        for number, digest in enumerate(key_hashes, 1):
            self.key(f"{name}-{number}", organisation=name, sha256=digest)

    def key(self, name: str, *, organisation: str, sha256: str) -> None:
        """Adds a key by its hash."""
        self._add("keys", name, {
            "organisation": organisation, "sha256": sha256})

    def text(self) -> str:
        """Returns the canonical text."""
        parts = [f'  "format": {FORMAT}']
        for kind in KINDS:
            objects = self._objects[kind]
            if not objects:
                continue
            lines = ",\n".join(
                f'    "{name}": '
                + json.dumps(objects[name], separators=(",", ":"))
                for name in sorted(objects))
            parts.append(f'  "{kind}": {{\n{lines}\n  }}')
        return "{\n" + ",\n".join(parts) + "\n}\n"

    def print(self) -> None:
        """Prints the canonical text to standard output."""
        sys.stdout.write(self.text())
