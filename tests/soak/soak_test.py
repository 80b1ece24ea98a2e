"""Tests of the plans, links and checks of the soak test."""

import pathlib
import socket
import sys
import threading
import time
import types
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "soak")]

import checks  # noqa: E402
from injector import Injector  # noqa: E402
from link_proxy import Link, LinkFault, LinkProxy  # noqa: E402
from plan import (  # noqa: E402
    FAULT_FREE_END_S, FAULT_FREE_START_S, Event, Fault, Plan, make_plan)


class PlanTest(unittest.TestCase):
    def test_plan_made_twice_from_a_seed_is_equal(self):
        self.assertEqual(make_plan(7), make_plan(7))
        self.assertNotEqual(make_plan(7), make_plan(8))

    def test_plan_at_start_and_end_has_no_faults(self):
        for seed in range(200):
            plan = make_plan(seed)
            for it in plan.events:
                self.assertGreaterEqual(it.start_s, FAULT_FREE_START_S)
                self.assertLess(
                    it.start_s, plan.duration_s - FAULT_FREE_END_S)

    def test_plans_of_fifty_seeds_include_every_fault(self):
        faults = {it.fault for seed in range(50)
                  for it in make_plan(seed).events}
        self.assertEqual(faults, set(Fault))


class InjectorTest(unittest.TestCase):
    def setUp(self):
        self.store_faults = []
        self.fleet = types.SimpleNamespace(
            vms={}, upstreams={}, set_platform_fault=lambda fault:
            self.store_faults.append((time.monotonic(), fault)))

    def inject(self, *events, reconfigure):
        plan = Plan(1, 2, 1, 30.0, 40.0, events)
        Injector(self.fleet, plan, None, [], [], reconfigure).run(
            time.monotonic())

    def test_fault_that_starts_late_lasts_its_whole_duration(self):
        self.inject(
            Event(0.0, Fault.CONFIGURATION_CHANGED, 0, 0.0),
            Event(0.1, Fault.STORE_MISBEHAVES, 0, 0.2, "slow"),
            reconfigure=lambda _: time.sleep(0.4))
        (begin, begun), (end, ended) = self.store_faults
        self.assertEqual((begun, ended), ("slow", "none"))
        # The duration counts from just before the call that begins the fault.
        self.assertGreater(end - begin, 0.19)


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.report = {
            "all": {"wrong": 0, "cut": 0}, "not_run_untrue": 0,
            "refused_payments": {},
            "organisations": {"flood": {"answered": 100}},
            "seconds": [{"second": n, "requests": 10, "answered": 10}
                        for n in range(30)]}
        self.plan = self.plan_with(Fault.UPSTREAM_KILLED)

    def plan_with(self, fault):
        return Plan(1, 2, 1, 30.0, 40.0, (Event(10.0, fault, 0, 1.0),))

    def test_payment_in_two_ledgers_is_reported(self):
        self.assertFalse(
            checks.check_outcomes(self.report, [{"a": 1}, {"b": 1}]))
        self.assertTrue(
            checks.check_outcomes(self.report, [{"a": 1}, {"a": 1}]))

    def test_untrue_refusal_and_wrong_answer_are_both_reported(self):
        self.report["not_run_untrue"] = 1
        self.report["all"]["wrong"] = 1
        self.assertEqual(len(checks.check_outcomes(self.report, [])), 2)

    def test_run_of_refused_payment_is_reported(self):
        self.report["refused_payments"] = {"a": 0}
        self.assertFalse(checks.check_outcomes(self.report, [{"b": 1}]))
        self.assertEqual(
            len(checks.check_outcomes(self.report, [{"b": 1}, {"a": 1}])), 1)

    def test_run_of_refused_and_repeated_payment_is_not_reported(self):
        self.report["refused_payments"] = {"a": 1}
        self.assertFalse(checks.check_outcomes(self.report, [{"a": 1}]))

    def test_run_of_refused_and_of_repeated_attempt_are_both_reported(self):
        self.report["refused_payments"] = {"a": 1}
        self.assertEqual(
            len(checks.check_outcomes(self.report, [{"a": 1}, {"a": 1}])), 2)

    def test_cut_connection_is_reported_unless_a_vm_was_killed(self):
        self.report["all"]["cut"] = 1
        self.assertTrue(checks.check_connections(self.report, self.plan))
        self.assertFalse(checks.check_connections(
            self.report, self.plan_with(Fault.VM_KILLED)))

    def test_organisation_above_its_rate_is_reported(self):
        self.assertFalse(
            checks.check_rate(self.report, self.plan, "flood", 8, 8))
        self.report["organisations"]["flood"]["answered"] = 600
        self.assertTrue(
            checks.check_rate(self.report, self.plan, "flood", 8, 8))

    def test_service_that_does_not_recover_is_reported(self):
        self.assertFalse(checks.check_recovery(self.report, self.plan))
        for row in self.report["seconds"][20:]:
            row["answered"] = 1
        self.assertTrue(checks.check_recovery(self.report, self.plan))


class LinkTest(unittest.TestCase):
    def setUp(self):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        self.proxy = LinkProxy()
        self.addCleanup(self.proxy.close)
        self.link = self.proxy.add(Link(
            f"127.0.0.1:{port}", "127.0.0.1:%d" % server.getsockname()[1]))
        threading.Thread(
            target=self.echo, args=(server,), daemon=True).start()
        self.client = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(self.client.close)

    @staticmethod
    def echo(server):
        try:
            connection, _ = server.accept()
            with connection:
                while data := connection.recv(100):
                    connection.sendall(data)
        except OSError:
            return

    def test_link_without_fault_forwards_both_directions(self):
        self.client.sendall(b"a")
        self.assertEqual(self.client.recv(10), b"a")

    def test_link_reset_ends_open_connection(self):
        self.client.sendall(b"a")
        self.client.recv(10)
        self.proxy.set_fault(self.link, LinkFault.RESET)
        with self.assertRaises(ConnectionResetError):
            self.client.recv(10)

    def test_link_one_way_drops_answers_and_stays_open(self):
        self.client.sendall(b"a")
        self.client.recv(10)
        self.proxy.set_fault(self.link, LinkFault.ONE_WAY)
        self.client.settimeout(0.3)
        self.client.sendall(b"b")
        with self.assertRaises(TimeoutError):
            self.client.recv(10)


if __name__ == "__main__":
    unittest.main()
