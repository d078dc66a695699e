"""Cases of the rule on cut requests. A judge that passes over a cut, or blames one that is allowed, makes every soak worthless."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from unittest.mock import patch

from soak.planned import Cut, History

Act = Callable[[History], None]


def at(moment: float, act: Act) -> tuple[float, Act]:
    return moment, act


def change(history: History) -> None:
    history.changes.append(time.monotonic())


def impair(length_s: float) -> Act:
    return lambda history: history.impairments.append([time.monotonic(), time.monotonic() + length_s])


TERM = at(100, lambda history: history.terminated("a"))
HUP = at(100, lambda history: history.told_of_settings("a"))
CHANGE = at(100, change)


def blamed(acts: list[tuple[float, Act]], sent_at: float, ended_at: float, entry: str = "a", earlier: tuple[Cut, ...] = (), answers: tuple[float, ...] = (50, 51)) -> list[str]:
    history = History(cuts=[*earlier, Cut(entry, "job", "", sent_at, ended_at, 3)], answers={"a": list(answers)})
    for moment, act in acts:
        with patch("time.monotonic", return_value=moment):
            act(history)
    return [work for cut, work in history.broken() if cut is history.cuts[-1]]


class PlannedTest(unittest.TestCase):
    # Guards against a cut that is passed over beside each kind of planned work.
    def test_late_cuts_beside_planned_work_are_blamed(self) -> None:
        self.assertEqual(blamed([TERM], 99, 100.1), ["SIGTERM"])
        self.assertEqual(blamed([TERM], 106.5, 106.9), ["SIGTERM"])
        self.assertEqual(blamed([HUP], 101.9, 104), ["SIGHUP"])
        self.assertEqual(blamed([CHANGE], 102.5, 103.5), ["a change of the configuration"])

    # Guards against blame for what the rule allows: at once, past the deadline, at another entry, outside the times.
    def test_other_cuts_are_allowed(self) -> None:
        for acts, sent_at, ended_at, entry in (
            ([], 100, 101, "a"),
            ([TERM], 100, 100.19, "a"),
            ([TERM], 100, 103, "a"),
            ([TERM], 100, 101, "b"),
            ([TERM], 106.5, 107.1, "a"),
            ([TERM], 99, 99.9, "a"),
            ([HUP], 102.1, 103, "a"),
            ([CHANGE], 103.1, 104, "a"),
            ([CHANGE], 100, 102.2, "a"),
        ):
            with self.subTest(sent_at=sent_at, ended_at=ended_at, entry=entry):
                self.assertEqual(blamed(acts, sent_at, ended_at, entry), [])

    # Guards against blame beside an unplanned impairment, and against impairments that last too long in the books.
    def test_impairments_excuse_until_the_time_of_contact_after_them(self) -> None:
        self.assertEqual(blamed([at(95, impair(2.1)), TERM], 100, 101), [])
        self.assertEqual(blamed([at(100.5, impair(1)), TERM], 100, 101), [])
        self.assertEqual(blamed([at(95, impair(1.9)), TERM], 100, 101), ["SIGTERM"])
        self.assertEqual(blamed([at(101.1, impair(9)), TERM], 100, 101), ["SIGTERM"])

    # Guards against a kill that excuses too little, or one at the end of the grace time that excuses anything.
    def test_kills_excuse_until_the_process_is_up_again(self) -> None:
        kill, start = at(90, lambda history: history.kill("b")), at(96, lambda history: history.started("b"))
        self.assertEqual(blamed([kill, TERM], 100, 101), [])
        self.assertEqual(blamed([kill, start, TERM], 100, 101), ["SIGTERM"])
        self.assertEqual(blamed([TERM, at(106, lambda history: history.kill("a"))], 105.5, 106), ["SIGTERM"])

    # Guards against blame on the configuration at an entry that cuts requests as often without a change.
    def test_cuts_beside_a_change_count_if_three_times_as_frequent(self) -> None:
        earlier = (Cut("a", "job", "", 50, 51, 3),)
        self.assertEqual(blamed([CHANGE], 101, 102, "a", earlier, (52.0, 101.0)), [])
        self.assertEqual(blamed([CHANGE], 101, 102, "a", earlier, (*range(50, 60), 101.0)), ["a change of the configuration"])


if __name__ == "__main__":
    unittest.main()
