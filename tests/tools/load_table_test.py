"""Guards the table of outcomes against requests that are counted twice, lost
or put down to the wrong route, target state or organisation."""

import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tools"))

import load_table  # noqa: E402


class LoadTableTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / "log"
        self.lines = []

    def add(self, event, time_ms=1000, vm="vm-1", request="r1", **fields):
        fields = {"time_ms": time_ms, "event": event, "request": request,
                  **fields}
        self.lines.append(f"0.1 {vm} {json.dumps(fields)}")

    def add_attempt(self, result, state="trusted", number=1, **fields):
        self.add("request_sent", attempt=number, target="t1", state=state,
                 cause="lowest_cost", near=1, queued_ms=7, **fields)
        self.add("attempt_ended", attempt=number, result=result, **fields)

    def add_answer(self, ms=100, status=200, goal_ms=500, **fields):
        self.add("request_answered", ms=ms, status=status, goal_ms=goal_ms,
                 route="reads", service="s1", organisation="o1", **fields)

    def summarise(self, begin=-sys.maxsize, end=sys.maxsize):
        self.path.write_text("\n".join(self.lines))
        return load_table.summarise(load_table.collect_requests(
            load_table.read_lines([self.path]), begin, end))

    def test_request_repeated_after_a_failure_counts_once(self):
        self.add_attempt("connection_lost", state="suspect")
        self.add_attempt("answered", number=2)
        self.add_answer()
        route = self.summarise()["routes"]["reads"]
        self.assertEqual(route["requests"], 1)
        self.assertEqual(route["outcomes"], {"in_goal": 1})
        self.assertEqual(
            [(it["state"], it["failed"]) for it in route["attempts"]],
            [("suspect", 1), ("trusted", 0)])

    def test_answer_after_its_goal_is_late(self):
        self.add_answer(ms=501)
        self.assertEqual(
            self.summarise()["routes"]["reads"]["outcomes"], {"late": 1})

    def test_answer_with_a_server_error_is_failed(self):
        self.add_answer(status=500)
        self.assertEqual(
            self.summarise()["routes"]["reads"]["outcomes"], {"failed": 1})

    def test_refusal_is_counted_by_its_kind(self):
        self.add("request_refused", kind="overloaded", ms=20, route="orders",
                 service="s1", organisation="o1")
        route = self.summarise()["routes"]["orders"]
        self.assertEqual(route["outcomes"], {"overloaded": 1})
        self.assertEqual(route["refused_after_ms"]["p50"], 20)

    def test_request_outside_the_window_is_left_out(self):
        self.add_answer(time_ms=1000)
        self.add_answer(time_ms=5000, request="r2")
        self.assertEqual(
            self.summarise(end=2000)["routes"]["reads"]["requests"], 1)

    def test_same_id_at_two_vms_is_two_requests(self):
        self.add_answer()
        self.add_answer(vm="vm-2")
        self.assertEqual(self.summarise()["routes"]["reads"]["requests"], 2)

    def test_line_that_cannot_be_read_is_passed_over(self):
        self.add_answer()
        self.lines.append('0.1 vm-1 {"time_ms": 12, "event"')
        self.assertEqual(self.summarise()["routes"]["reads"]["requests"], 1)

    def test_line_that_lacks_fields_is_passed_over(self):
        self.add("request_sent", attempt=1, target="t1")
        self.add_answer()
        route = self.summarise()["routes"]["reads"]
        self.assertEqual((route["requests"], route["attempts"]), (1, []))

    def test_organisation_with_few_requests_in_goal_comes_first(self):
        for n in range(load_table.MIN_REQUESTS):
            self.add("request_refused", request=f"a{n}", kind="overloaded",
                     ms=1, route="reads", service="s1", organisation="o2")
            self.add_answer(request=f"b{n}")
        rows = self.summarise()["worst_organisations"]
        self.assertEqual([(it["organisation"], it["in_goal"]) for it in rows],
                         [("o2", 0.0), ("o1", 1.0)])


if __name__ == "__main__":
    unittest.main()
