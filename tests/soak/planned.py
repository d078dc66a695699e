"""When planned work and unplanned impairments took place, and which requests on kept connections were cut around planned work alone.

A connection that ends later than the slack after the last byte of its request, without a complete answer, is a violation. From outside it can't be seen whether
the process has read a request: any request counts whose bytes were sent on a connection that wasn't refused, also one that still lay in a queue of the kernel."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

GRACE_S = 6
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
SLACK_S = 0.2
CONFIG_FACTOR = 3  # cuts beside a change of the configuration count if they are this many times as frequent as at other times
USED_SHARE = 0.7  # of a request's time, after which it doesn't count beside a change of the configuration


@dataclass
class Cut:
    entry: str
    job: str
    text: str
    sent_at: float
    ended_at: float
    deadline_s: float


@dataclass
class History:
    """All times are monotonic."""

    terms: dict[str, list[float]] = field(default_factory=dict)  # by process
    hups: dict[str, list[float]] = field(default_factory=dict)
    changes: list[float] = field(default_factory=list)  # of the configuration
    impairments: list[list[float]] = field(default_factory=list)  # from, to
    killed: dict[str, list[float]] = field(default_factory=dict)  # processes that were killed and are not up again
    answers: dict[str, list[float]] = field(default_factory=dict)  # by entry: when their requests were sent
    cuts: list[Cut] = field(default_factory=list)
    disturbances: dict[str, float] = field(default_factory=dict)  # by process: when its last one ended; infinity while it lasts

    def disturb(self, name: str) -> None:
        """The process does not run, or is cut off."""
        self.disturbances[name] = math.inf

    def settle(self, name: str) -> None:
        self.disturbances[name] = time.monotonic()

    def disturbed_at(self, name: str) -> float:
        return self.disturbances.get(name, 0.0)

    @contextmanager
    def impaired(self) -> Iterator[None]:
        span = [time.monotonic(), math.inf]
        self.impairments.append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def terminated(self, name: str) -> None:
        self.terms.setdefault(name, []).append(time.monotonic())

    def told_of_settings(self, name: str) -> None:
        self.hups.setdefault(name, []).append(time.monotonic())

    def kill(self, name: str) -> None:
        """The kill at the end of the time after a SIGTERM is part of the planned work."""
        now = time.monotonic()
        if name not in self.killed and not self._is_within(self.terms.get(name, []), now, GRACE_S + 1):
            self.killed[name] = [now, math.inf]
            self.impairments.append(self.killed[name])

    def started(self, name: str) -> None:
        self.settle(name)
        if name in self.killed:
            self.killed.pop(name)[1] = time.monotonic()

    @staticmethod
    def _is_within(starts: list[float], at: float, length_s: float) -> bool:
        return any(start <= at <= start + length_s for start in starts)

    def _is_beside_change(self, sent_at: float, ended_at: float) -> bool:
        return any(start <= ended_at and sent_at <= start + CONFIG_APPLY_S + 1 for start in self.changes)

    def judged_answers(self) -> int:
        """Requests that were answered and whose cut would have been a violation, but for a change of the configuration."""
        judged = 0
        for entry, times in self.answers.items():
            terms, hups = self.terms.get(entry, []), self.hups.get(entry, [])
            judged += sum((self._is_within(terms, at, GRACE_S + 1) or self._is_within(hups, at, CONFIG_APPLY_S)) and self.is_calm(at, at) for at in times)
        return judged

    def is_calm(self, since: float, until: float) -> bool:
        return not any(start <= until and end >= since - CONTACT_S for start, end in self.impairments)

    def broken(self) -> list[tuple[Cut, str]]:
        """The cuts that break the rule, with the planned work beside each."""
        out = []
        for cut in self.cuts:
            late = cut.ended_at - cut.sent_at
            if late <= SLACK_S or late >= cut.deadline_s or not self.is_calm(cut.sent_at, cut.ended_at):
                continue
            hups = self.hups.get(cut.entry, [])
            if self._is_within(self.terms.get(cut.entry, []), cut.ended_at, GRACE_S + 1):
                out.append((cut, "SIGTERM"))
            elif any(cut.sent_at <= hup + CONFIG_APPLY_S and hup <= cut.ended_at for hup in hups):
                out.append((cut, "SIGHUP"))
            elif self._is_beside_change(cut.sent_at, cut.ended_at) and late < USED_SHARE * cut.deadline_s and self._cuts_more_beside_changes(cut.entry):
                out.append((cut, "a change of the configuration"))
        return out

    def _cuts_more_beside_changes(self, entry: str) -> bool:
        cuts, requests = [0, 0], [0, 0]
        for cut in self.cuts:
            if cut.entry == entry:
                cuts[self._is_beside_change(cut.sent_at, cut.ended_at)] += 1
        for at in self.answers.get(entry, []) + [cut.sent_at for cut in self.cuts if cut.entry == entry]:
            requests[self._is_beside_change(at, at)] += 1
        return cuts[1] * requests[0] > CONFIG_FACTOR * cuts[0] * requests[1] or requests[0] == 0
