"""The stand-in for the object service."""

import http.client
import threading
import time
import unittest

from process_fixture import ProcessTest

WATCHERS, WAIT_MS, DURATION_S = 24, 4, 3.0


class StandInPlatformTest(ProcessTest):
    def connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            self.fleet.platform, timeout=2)
        self.addCleanup(connection.close)
        return connection

    @staticmethod
    def call(connection: http.client.HTTPConnection, method: str, path: str,
             body: str | None = None) -> str:
        connection.request(method, path, body)
        return connection.getresponse().read().decode("utf-8")

    @staticmethod
    def write(connection: http.client.HTTPConnection, method: str,
              version: str) -> tuple[int, str]:
        """Writes or removes an object of this version. Returns the status and
        the new version."""
        connection.request(method, "/objects/records/a", "value", {
            "Object-Expected-Version": version})
        answer = connection.getresponse()
        answer.read()
        return answer.status, answer.headers["Object-Version"]

    def watch(self, end: float) -> None:
        connection = self.connect()
        while time.monotonic() < end:
            self.call(connection, "GET",
                      f"/watch/a?since=0&wait_ms={WAIT_MS}")

    def test_watch_that_ends_as_it_is_answered_is_answered_once(self):
        self.fleet.start_platform()
        end = time.monotonic() + DURATION_S
        threads = [threading.Thread(target=self.watch, args=(end,))
                   for _ in range(WATCHERS)]
        for it in threads:
            it.start()
        connection = self.connect()
        while time.monotonic() < end:
            # Ends all watches that wait.
            self.call(connection, "POST", "/fault", "none")
            time.sleep(WAIT_MS / 1000)
        for it in threads:
            it.join()
        self.assertEqual(self.call(connection, "POST", "/fault", "none"), "ok")

    def test_late_removal_leaves_an_object_that_was_created_again(self):
        self.fleet.start_platform()
        connection = self.connect()
        _, first = self.write(connection, "PUT", "0")
        self.assertEqual(self.write(connection, "DELETE", first)[0], 200)
        status, second = self.write(connection, "PUT", "0")
        self.assertEqual(status, 200)
        self.assertEqual(self.write(connection, "DELETE", first)[0], 409)
        self.assertEqual(self.write(connection, "DELETE", second)[0], 200)

    def test_restore_takes_back_the_latest_writes_and_raises_the_era(self):
        self.fleet.start_platform()
        connection = self.connect()
        _, first = self.write(connection, "PUT", "0")
        time.sleep(0.4)
        _, second = self.write(connection, "PUT", first)
        self.assertNotEqual(first, second)
        self.assertEqual(
            self.call(connection, "POST", "/restore", "300"), "ok")
        connection.request("GET", "/objects/records/a")
        answer = connection.getresponse()
        answer.read()
        self.assertEqual(answer.headers["Object-Version"], first)
        self.assertEqual(answer.headers["Store-Era"], "1")
        # The revision is used again.
        self.assertEqual(self.write(connection, "PUT", first), (200, second))


if __name__ == "__main__":
    unittest.main()
