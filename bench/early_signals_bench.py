"""Counts the ends by a signal that comes while a daemon is loaded.

Starts a daemon again and again, without settings, so that it does nothing but
wait for them, and sends SIGHUP or SIGTERM 0 to 40 ms after its start. A signal
ends the process by its default action until the process blocks it; the figures
are the number of such ends and the latest delay at which one was seen. Busy
processes beside it stand for a machine under load.
"""

from __future__ import annotations

import argparse
import pathlib
import signal
import subprocess
import sys
import time

#: Each delay is tried once in a round.
DELAYS_MS = [0, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 8, 10, 15, 20, 30, 40]
SIGNALS = [signal.SIGHUP, signal.SIGTERM]


def is_ended_by(program: str, sent: signal.Signals, delay_ms: float) -> bool:
    """Starts the program, sends the signal and returns whether its default
    action has ended the program."""
    process = subprocess.Popen(
        [program, "--settings", "/nonexistent/settings.jsonc"],
        stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL)
    until = time.perf_counter() + delay_ms / 1000
    while time.perf_counter() < until:
        time.sleep(0.0001)
    process.send_signal(sent)
    try:
        # SIGHUP does not end a daemon; one that it ends does so at once.
        status = process.wait(0.2 if sent == signal.SIGHUP else 10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False
    return status == -sent


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--delays", type=float, nargs="*", default=DELAYS_MS)
    arguments = parser.parse_args()
    program = str(pathlib.Path(arguments.program).resolve())
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(arguments.busy)]
    try:
        for sent in SIGNALS:
            ends = {delay: sum(is_ended_by(program, sent, delay)
                               for _ in range(arguments.rounds))
                    for delay in arguments.delays}
            latest = max((it for it, n in ends.items() if n), default=None)
            print(f"{sent.name}: {sum(ends.values())} ends of "
                  f"{arguments.rounds * len(ends)}, latest after {latest} ms; "
                  + ", ".join(f"{it:g}: {n}" for it, n in ends.items()),
                  flush=True)
    finally:
        for it in busy:
            it.kill()
            it.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
