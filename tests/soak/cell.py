"""The processes under test: their settings, logs, ends and restarts. Only processes that were started here are ever signalled."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from dataclasses import dataclass
from pathlib import Path

from soak.judge import clock_text

FRONT, READINESS, CONTROL, APP, STORE = 8521, 8523, 8526, 8867, 20000
PEERS, METRICS = 7000, 7015
GRACE_S = 6
RESTART_S = (0.3, 1.2)


@dataclass
class Place:
    role: str
    name: str
    ip: str
    zone: str
    store: str


def settings_of(place: Place, seeds: list[str], lease_ms: int) -> dict[str, object]:
    """The settings as the templates in deploy/ render them."""
    settings: dict[str, object] = {"role": place.role, "name": place.name, "region": "west", "failure_domain": place.zone, "ip": place.ip}
    settings |= {"peer_port": PEERS, "metrics_port": METRICS, "seeds": seeds, "store": place.store, "lease_ms": lease_ms, "grace_s": GRACE_S}
    if place.role == "entry":
        settings |= {"processor_share": 0.25, "callers": f"{place.ip}:{FRONT}", "readiness": f"{place.ip}:{READINESS}", "advice": None}
    else:
        settings |= {"endpoint_reports": f"{place.ip}:{CONTROL}", "endpoint": f"{place.ip}:{APP}"}
    return settings


class Process:
    """One process of the cell. It is restarted whenever it ends, until it is stopped."""

    def __init__(self, program: Path, place: Place, folder: Path, seeds: list[str], lease_ms: int, findings: list[str]) -> None:
        self.program, self.place, self.findings = program, place, findings
        self.settings = folder / f"{place.name}.json"
        self.settings.write_text(json.dumps(settings_of(place, seeds, lease_ms)))
        self.log = (folder / f"{place.name}.log").open("ab")
        self.rng = random.Random(place.name)
        self.child: asyncio.subprocess.Process | None = None
        self.is_wanted = True
        self.is_killed = False
        self.away_s: float | None = None  # instead of the usual time until the restart
        self._supervisor: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._supervisor = asyncio.create_task(self._supervise())

    def note(self, text: str) -> None:
        self.log.write(f"{clock_text()} RIG {text}\n".encode())
        self.log.flush()

    async def _supervise(self) -> None:
        while self.is_wanted:
            self.is_killed = False
            self.child = await asyncio.create_subprocess_exec(
                str(self.program), "--cell", str(self.settings), stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log
            )
            self.note(f"started pid {self.child.pid}")
            code = await self.child.wait()
            self.note(f"ended {code}")
            if not self.is_killed:
                self.findings.append(f"ENDED {self.place.name} ended by itself with {code} at {clock_text()}")
            if self.is_wanted:
                away, self.away_s = self.away_s, None
                await asyncio.sleep(self.rng.uniform(*RESTART_S) if away is None else away)

    def send(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_killed = True
            self.note(f"signal {number.name}")
            self.child.send_signal(number)

    async def kill(self, number: signal.Signals, away_s: float | None) -> None:
        child, self.away_s = self.child, away_s
        self.send(number)
        if number == signal.SIGTERM and child is not None:
            await self._kill_after_grace(child)

    async def _kill_after_grace(self, child: asyncio.subprocess.Process) -> None:
        try:
            await asyncio.wait_for(asyncio.shield(child.wait()), GRACE_S)
        except TimeoutError:
            if child is self.child:
                self.send(signal.SIGKILL)

    async def stop(self) -> None:
        self.is_wanted = False
        self.send(signal.SIGCONT)
        child = self.child
        self.send(signal.SIGTERM)
        if child is not None and child.returncode is None:
            await self._kill_after_grace(child)
        if self._supervisor is not None:
            self._supervisor.cancel()
        self.log.close()
