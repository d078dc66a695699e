"""Waiting for conditions with a deadline."""

import time
from typing import Callable, TypeVar

T = TypeVar("T")

DEADLINE_S = 30.0
POLL_INTERVAL_S = 0.02


class DeadlinePassed(Exception):
    """A condition did not hold in time."""


def wait_until(what: str, condition: Callable[[], T], deadline_s: float = DEADLINE_S) -> T:
    """Returns the condition's first true value. Asks again and again until then, at most for the deadline."""
    end = time.monotonic() + deadline_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise DeadlinePassed(f"not in {deadline_s:g} s: {what}")
        time.sleep(POLL_INTERVAL_S)
