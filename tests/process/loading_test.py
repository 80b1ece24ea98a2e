"""What a daemon needs before it can handle signals.

Until the dynamic loader has loaded and relocated a program and its shared
libraries, SIGTERM and SIGHUP end it by their default actions. With gRPC,
protobuf, Abseil and libcurl among them, some eighty in all, that took 10 ms and
more; bench/early_signals_bench.py measures it.
"""

import json
import os
import pathlib
import subprocess
import tempfile
import unittest

from process_fixture import BUILD

#: The C and C++ libraries, the loader, and a few small ones.
MAX_LIBRARIES = 12


class LoadingTest(unittest.TestCase):
    def libraries(self, name: str) -> list[str]:
        """The shared libraries that are loaded before a program begins."""
        path = pathlib.Path(BUILD, name)
        lines = subprocess.run(
            [str(path)], env={**os.environ, "LD_TRACE_LOADED_OBJECTS": "1"},
            capture_output=True, text=True, check=True,
            timeout=10).stdout.splitlines()
        return [it.split()[0] for it in lines]

    def test_daemons_at_start_load_few_shared_libraries(self):
        for name in ("pomelohinged", "pomelohinged_platform"):
            with self.subTest(program=name):
                libraries = self.libraries(name)
                self.assertIn("libc.so.6", libraries)
                self.assertLessEqual(len(libraries), MAX_LIBRARIES, libraries)

    def test_start_with_unreadable_libcurl_fails_with_status_1_and_event(self):
        with tempfile.TemporaryDirectory(prefix="pomelohinge-test-") as name:
            folder = pathlib.Path(name)
            (folder / "libcurl.so.4").write_text("", encoding="ascii")
            settings = folder / "vm.jsonc"
            settings.write_text(json.dumps({
                "vm": "vm", "data_centre": "bouskoura",
                "callers_address": "127.0.0.1:1",
                "peers_address": "127.0.0.1:2",
                "platform_address": "127.0.0.1:3",
                "log": {"format": "json"}}), encoding="ascii")
            ended = subprocess.run(
                [f"{BUILD}/pomelohinged", "--settings", str(settings)],
                env={**os.environ, "LD_LIBRARY_PATH": name},
                capture_output=True, text=True, check=False, timeout=10)
        self.assertEqual(ended.returncode, 1, ended.stderr)
        self.assertIn("libcurl cannot be loaded", ended.stderr)
        self.assertIn('"event":"start_failed"', ended.stdout)


if __name__ == "__main__":
    unittest.main()
