"""What a daemon needs before it can handle signals.

Until the dynamic loader has loaded and relocated a program and its shared
libraries, SIGTERM and SIGHUP end it by their default actions. With gRPC,
protobuf, Abseil and libcurl among them, some eighty in all, that took 10 ms and
more; bench/early_signals_bench.py measures it.
"""

import os
import pathlib
import subprocess
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


if __name__ == "__main__":
    unittest.main()
