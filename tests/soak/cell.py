"""The processes under test: their settings, logs, ends and restarts. Only processes that were started here are ever signalled."""

from __future__ import annotations

import asyncio
import ctypes
import json
import random
import re
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from soak.judge import clock_text
from soak.planned import CONFIG_APPLY_S, GRACE_S, History

FRONT, READINESS, CONTROL, APP, STORE, ADVICE = 8521, 8523, 8526, 8867, 20000, 24000
PEERS, METRICS = 7000, 7015
TEMPLATES = Path(__file__).parents[2] / "deploy"
PR_SET_PDEATHSIG = 1
RESTART_S = (0.3, 1.2)


@dataclass
class Place:
    role: str
    name: str
    ip: str
    zone: str
    store: str
    adviser: str | None = None  # address; none where no queue needs advice


def settings_of(place: Place, seeds: list[str], lease_ms: int, service: str, evacuate_ms: int | None = None) -> str:
    """The settings as the platform fills in the template of the role. Without evacuate_ms, evacuations are not served."""
    listen = {"control": f"{place.ip}:{CONTROL}", "front": f"{place.ip}:{FRONT}", "readiness": f"{place.ip}:{READINESS}"}
    fields: dict[str, object] = {"nodeName": place.name, "ip": place.ip, "zone": place.zone, "region": "west", "seeds": seeds, "listen": listen}
    fields |= {"portRange": [PEERS, METRICS], "platform": {"address": place.store}, "limits": {"cpuShare": 0.25}}
    bounds = {"holdMaxMs": lease_ms, "graceS": GRACE_S, "configApplyMs": int(CONFIG_APPLY_S * 1000), "evacuateMs": evacuate_ms}
    fields |= {"bounds": bounds, "heartbeatMs": 1500, "app": f"{place.ip}:{APP}", "service": service, "advice": place.adviser}

    def fill(match: re.Match[str]) -> str:
        value: object = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, (TEMPLATES / f"{place.role}.json").read_text())


def end_with_parent() -> None:
    """In the new process: no process of the cell outlives this run, however it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the cell. It is restarted whenever it ends, until it is stopped."""

    def __init__(self, program: Path, place: Place, folder: Path, settings: str, findings: list[str], history: History | None = None) -> None:
        self.program, self.place, self.findings, self.history = program, place, findings, history or History()
        self.settings = folder / f"{place.name}.json"
        self.settings.write_text(settings)
        self.log = (folder / f"{place.name}.log").open("ab")
        self.rng = random.Random(place.name)
        self.child: asyncio.subprocess.Process | None = None
        self.is_wanted = True
        self.is_killed = False
        self.started_at = 0.0
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
                str(self.program), "--cell", str(self.settings), stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log, preexec_fn=end_with_parent
            )
            self.started_at = time.monotonic()
            self.history.started(self.place.name)
            self.note(f"started pid {self.child.pid}")
            code = await self.child.wait()
            self.note(f"ended {code}")
            if not self.is_killed:
                self.findings.append(f"ENDED {self.place.name} ended by itself with {code} at {clock_text()}")
            if self.is_wanted:
                away, self.away_s = self.away_s, None
                await asyncio.sleep(self.rng.uniform(*RESTART_S) if away is None else away)

    def send(self, number: signal.Signals, is_noted: bool = True) -> None:
        if self.child is not None and self.child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_killed = True
            if number == signal.SIGTERM:
                self.history.terminated(self.place.name)
            elif number == signal.SIGHUP:
                self.history.told_of_settings(self.place.name)
            elif number == signal.SIGKILL:
                self.history.kill(self.place.name)
            if number == signal.SIGCONT:
                self.history.settle(self.place.name)
            elif number != signal.SIGHUP:
                self.history.disturb(self.place.name)
            if is_noted:
                self.note(f"signal {number.name}")
            self.child.send_signal(number)

    def is_up_for(self, seconds: float) -> bool:
        return self.child is not None and self.child.returncode is None and time.monotonic() - self.started_at >= seconds

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
