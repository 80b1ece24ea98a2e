"""Settings files that are missing or incomplete when a process starts."""

import unittest

from process_fixture import ProcessTest

START_S = 15


class LateSettingsTest(ProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.vm = self.vms[0]
        self.fleet.start_platform()
        self.fleet.apply(self.configuration())
        # Writes the settings of the VM.
        self.fleet.start_vm(self.vm)
        self.fleet.kill(self.vm.process)
        self.settings = self.fleet.run_dir / f"{self.vm.name}.jsonc"
        self.text = self.settings.read_text(encoding="utf-8")

    def start_daemon(self) -> None:
        self.vm.process = self.fleet._start(
            self.vm.name, "pomelohinged", "--settings", str(self.settings))

    def assert_starts_with(self, late: str | None) -> None:
        if late is None:
            self.settings.unlink()
        else:
            self.settings.write_text(late, encoding="utf-8")
        self.start_daemon()
        with self.assertRaises(TimeoutError):
            self.fleet.wait_for("the VM", self.vm.status, 1)
        self.assert_running(self.vm)
        self.settings.write_text(self.text, encoding="utf-8")
        self.fleet.wait_for("the VM", self.vm.status, START_S)

    def test_start_with_missing_file_waits_for_it(self):
        self.assert_starts_with(None)

    def test_start_with_half_of_file_waits_for_the_rest(self):
        self.assert_starts_with(self.text[:len(self.text) // 2])

    def test_start_with_file_that_stays_invalid_ends_with_status_2(self):
        self.settings.write_text("{}", encoding="utf-8")
        self.start_daemon()
        self.assertEqual(self.vm.process.wait(START_S), 2)

    def test_sigterm_while_settings_are_missing_ends_with_status_0(self):
        self.settings.unlink()
        self.start_daemon()
        with self.assertRaises(TimeoutError):
            self.fleet.wait_for("the VM", self.vm.status, 0.5)
        self.assert_stops(self.vm, START_S)


if __name__ == "__main__":
    unittest.main()
