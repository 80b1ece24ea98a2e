"""Library for operators who write a configuration as a Python program.

The program creates a `Configuration`, adds objects to it and calls `print`.
The printed text is canonical, so that a diff shows only what changed: kinds
are in a fixed order, names are sorted, and each object has its own line.
docs/CONFIGURATION.md specifies the text, which is the interface to the
system.

The library depends on the standard library alone.
"""

from __future__ import annotations

import hashlib
import json
import re
import sys
import traceback
from typing import Any, Iterable, Mapping

#: Format version of the text.
FORMAT = 1

#: Kinds of objects in the order of the text.
KINDS = ("services", "data_centres", "targets", "floors", "routes",
         "corrections", "organisations", "rates", "keys")

#: One to 63 of a-z, 0-9, "-" and "_", the first a letter or digit.
_NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}\Z")


class ConfigurationError(ValueError):
    """Invalid object. The message starts with the operator's `file:line`."""


def _call_site() -> str:
    """Returns the `file:line` that called into this module."""
    for frame in reversed(traceback.extract_stack()):
        if frame.filename != __file__:
            return f"{frame.filename}:{frame.lineno}"
    return "?"


def key_hash(key: str) -> str:
    """Returns the SHA-256 of a key in hexadecimal digits.

    A configuration must contain only the hash, never the key.
    """
    return hashlib.sha256(key.encode("utf-8")).hexdigest()


class Configuration:
    """Collects objects and prints them as canonical text."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {
            kind: {} for kind in KINDS}

    def _add(self, kind: str, name: str, body: Mapping[str, Any]) -> None:
        location = _call_site()
        if not _NAME.match(name):
            raise ConfigurationError(
                f"{location}: {name!r} is not a valid name")
        if name in self._objects[kind]:
            raise ConfigurationError(
                f"{location}: duplicate name {name!r} in {kind}")
        self._objects[kind][name] = {
            field: value for field, value in body.items()
            if value is not None}

    def service(self, name: str, *, floor_percent: int | None = None,
                echoes_request_id: bool = False) -> None:
        """Adds a service.

        `floor_percent` is the percentage of its slots that ejection always
        leaves in use. `echoes_request_id` states that its targets return
        `X-Request-Id` in each answer; an answer without it is then rejected
        as wrong.
        """
        self._add("services", name, {
            "echoes_request_id": True if echoes_request_id else None})
        if floor_percent is not None:
            self._add("floors", name, {"percent": floor_percent})

    def data_centre(self, name: str, *, region: str | None = None,
                    out: bool = False) -> None:
        """Adds a data centre; one that is `out` gets no requests."""
        self._add("data_centres", name, {
            "region": region, "state": "out" if out else "serving"})

    def target(self, name: str, *, service: str, data_centre: str,
               address: str, slots: int, leaving: bool = False) -> None:
        """Adds one instance of a service.

        `address` is `IP:PORT`; `slots` is the number of requests that it runs
        at the same time. A target that is `leaving` gets no new requests.
        """
        self._add("targets", name, {
            "service": service, "data_centre": data_centre,
            "address": address, "slots": slots,
            "wish": "leaving" if leaving else None})

    def targets(self, service: str, data_centre: str,
                addresses: Iterable[str], *, slots: int) -> None:
        """Adds targets named SERVICE-DATA_CENTRE-1 and so on."""
        for number, address in enumerate(addresses, 1):
            self.target(f"{service}-{data_centre}-{number}", service=service,
                        data_centre=data_centre, address=address, slots=slots)

    def route(self, name: str, *, service: str, methods: Iterable[str],
              path_prefix: str = "/", open_to_all: bool = False,
              idempotent: bool | None = None,
              deadline_ms: int | None = None) -> None:
        """Adds a route.

        Without `idempotent` the method determines whether a request may be
        repeated. `open_to_all` permits requests without a key. `deadline_ms`
        is in milliseconds.
        """
        repeat = None
        if idempotent is not None:
            repeat = "idempotent" if idempotent else "non_idempotent"
        self._add("routes", name, {
            "service": service, "path_prefix": path_prefix,
            "methods": list(methods),
            "access": "open" if open_to_all else None,
            "repeat": repeat, "deadline_ms": deadline_ms})

    def correction(self, misspelled: str, service: str) -> None:
        """Routes requests for a misspelled service name to `service`."""
        self._add("corrections", misspelled, {"service": service})

    def organisation(self, name: str, *, requests_per_second: float,
                     burst: int, title: str | None = None,
                     key_hashes: Iterable[str] = ()) -> None:
        """Adds an organisation, its rate limit and the hashes of its keys."""
        self._add("organisations", name, {"title": title})
        self._add("rates", name, {
            "requests_per_second": float(requests_per_second),
            "burst": burst})
        for number, digest in enumerate(key_hashes, 1):
            self.key(f"{name}-{number}", organisation=name, sha256=digest)

    def key(self, name: str, *, organisation: str, sha256: str) -> None:
        """Adds a key of an organisation by the hash of the key."""
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
