"""Requests to evacuate a zone, and the rule EVAC: what an operator has asked for is in force in time, whatever else happens.

Requests are written to the store directly, as an operator's are. The time counts from then, and from their retraction on nothing is judged."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak.planned import History

if TYPE_CHECKING:
    from soak.store import Store

EVACUATE_S = 5.0  # from the store's answer until nothing may start in the zone
UNDISTURBED_S = 4.0  # the rule holds beside an agent that ran, and a store that answered, for so long
LATE_S = 12.0  # a start that is carried out late was sent at most this long before, perhaps by an earlier process of the agent
TOPIC = "keyed.op"


@dataclass
class Evacuations:
    history: History
    store: Store | None = None
    requested: dict[str, float] = field(default_factory=dict)  # by zone: when the store answered the request

    def request(self, zone: str) -> None:
        assert self.store is not None
        self.store.put(TOPIC, f"evacuate/{zone}", b"{}")
        self.requested[zone] = time.monotonic()

    def revoke(self, zone: str) -> None:
        assert self.store is not None
        self.requested.pop(zone, None)
        self.store.put(TOPIC, f"evacuate/{zone}", b"")

    def broken(self, zone: str, agent: str, is_late: bool) -> str | None:
        """What is wrong with a start beside the agent, if anything is."""
        now = time.monotonic()
        since = self.requested.get(zone)
        if since is None or now - since <= EVACUATE_S or self.store is None:
            return None
        calm_s = UNDISTURBED_S + (LATE_S if is_late else 0)
        if now - self.history.disturbed_at(agent) < calm_s or now - self.store.troubled_at() < UNDISTURBED_S:
            return None
        return f"started {now - since:.1f} s after the request to evacuate {zone}"

    async def strike(self, rng: random.Random, zones: list[str], note: Callable[[str], None]) -> None:
        """Evacuates one zone or two for a time. The records may be deleted from the log, so that only the list of the newest ones shows what is in force."""
        chosen = rng.sample(zones, rng.choice((1, 1, 2)))
        for zone in chosen:
            note(f"evacuate {zone}")
            self.request(zone)
            await asyncio.sleep(rng.choice((0, rng.uniform(0, 2))))
        if rng.random() < 0.4:
            self._forget(note)
        await asyncio.sleep(rng.uniform(7, 13))
        for zone in chosen:
            note(f"evacuate {zone} no more")
            self.revoke(zone)
        if rng.random() < 0.4:
            self._forget(note)

    def _forget(self, note: Callable[[str], None]) -> None:
        assert self.store is not None
        note("the log of the operators' records is deleted")
        self.store.forget(TOPIC)
