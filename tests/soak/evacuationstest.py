"""Cases of the rule EVAC. A judge that passes over a start, or blames one that is allowed, makes the soak worthless."""

from __future__ import annotations

import random
import unittest
from unittest.mock import patch

from soak.evacuations import Evacuations
from soak.planned import History
from soak.store import Store
from soak.trouble import Trouble


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = History()
        self.store = Store(random.Random(1))
        self.evacuations = Evacuations(self.history, self.store)
        self.at(100, lambda: self.evacuations.request("a"))

    def at(self, moment: float, act: object) -> object:
        with patch("time.monotonic", return_value=moment):
            return act()  # type: ignore[operator]

    def broken(self, moment: float, zone: str = "a", is_late: bool = False) -> bool:
        return self.at(moment, lambda: self.evacuations.broken(zone, "side", is_late)) is not None

    def test_starts_after_the_bound_are_blamed(self) -> None:
        self.assertFalse(self.broken(104.9))
        self.assertTrue(self.broken(105.1))
        self.assertFalse(self.broken(105.1, "b"))

    def test_nothing_is_blamed_after_the_retraction(self) -> None:
        self.at(107, lambda: self.evacuations.revoke("a"))
        self.assertFalse(self.broken(107.1))

    def test_disturbed_agents_are_excused_for_a_time(self) -> None:
        self.history.disturb("side")
        self.assertFalse(self.broken(110))
        self.at(111, lambda: self.history.settle("side"))
        self.assertFalse(self.broken(114.9))
        self.assertTrue(self.broken(115.1))
        self.assertFalse(self.broken(115.1, is_late=True))
        self.assertTrue(self.broken(127.1, is_late=True))

    def test_troubled_store_is_excused_for_a_time(self) -> None:
        self.store.troubles.append(Trouble(refused=1))
        self.assertFalse(self.broken(106))
        self.store.troubles.clear()
        self.assertFalse(self.broken(109.9))
        self.assertTrue(self.broken(110.1))

    def test_retraction_takes_the_record_from_the_list(self) -> None:
        self.assertIn("evacuate/a", self.store.partition("keyed.op").newest)
        self.at(107, lambda: self.evacuations.revoke("a"))
        self.assertNotIn("evacuate/a", self.store.partition("keyed.op").newest)


if __name__ == "__main__":
    unittest.main()
