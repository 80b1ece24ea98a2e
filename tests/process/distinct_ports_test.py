"""Ports that the fixture of refused orders gives to its VMs."""

from __future__ import annotations

import unittest

from refused_orders_fixture import DistinctPorts


class DistinctPortsTest(unittest.TestCase):
    def setUp(self) -> None:
        drawn = iter([40417, 40417, 40417, 46091])
        self.ports = DistinctPorts(lambda ip: next(drawn))

    def test_port_drawn_again_for_an_address_is_given_once(self):
        self.assertEqual([self.ports("127.0.7.2") for _ in range(2)],
                         [40417, 46091])

    def test_port_drawn_for_another_address_is_given(self):
        self.assertEqual([self.ports(it) for it in ("127.0.7.2", "127.0.7.3")],
                         [40417, 40417])


if __name__ == "__main__":
    unittest.main()
