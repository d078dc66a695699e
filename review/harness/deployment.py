"""A small deployment for the cases of the review: entries and agents with the commands of the deploy file, beside the stand-ins of the project's soak."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests"))

from soak.endpoint import Machine  # noqa: E402
from soak.httplite import Request, Response  # noqa: E402
from soak.judge import Job, clock_text  # noqa: E402
from soak.run import Cell, free_net  # noqa: E402
from soak.store import Partition, Store  # noqa: E402

BUILD = ROOT / "target" / "build"  # of the deploy file
LEASE_MS = 6000  # holdMaxMs
FINISH_S = 14.0  # from the end of the traffic until jobs are asked for
IDLE_S = 3.0  # for which a job may have nothing running although there is room for it
RECORD_BYTES, CALL_BYTES = 262_144, 2_097_152  # limits of the store for a record and for a call
ACCEPT_ATTEMPTS = 5
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class LimitedStore(Store):
    """Refuses records and calls that are larger than the limits of the platform's store. Nothing of such a call is appended."""

    refused_bytes = 0  # of the largest refused record

    def _log_append(self, request: Request, topic: str, partition: Partition) -> Response:
        at, body, largest = 0, request.body, 0
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            largest = max(largest, length)
            at += 4 + length
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_bytes = max(self.refused_bytes, largest)
            return Response(400, {})
        return super()._log_append(request, topic, partition)


class Record:
    """Writes the record of a case. Lines that contain one of the left out words are only counted, once a second."""

    def __init__(self, path: Path, left_out: tuple[str, ...]) -> None:
        self.file, self.left_out = path.open("w"), left_out
        self.counted, self.second = 0, 0

    def write(self, text: str) -> None:
        if any(word in text for word in self.left_out) and "VIOLATION" not in text:
            self.counted += 1
        else:
            self.file.write(text)
        if int(time.time()) != self.second and self.counted:
            self.file.write(f"{clock_text()} ({self.counted} lines about tasks of the wide job left out)\n")
            self.second, self.counted = int(time.time()), 0

    def flush(self) -> None:
        self.file.flush()


class Deployment(Cell):
    """Entries, agents, one endpoint beside each agent, the store, and one client."""

    def __init__(self, entries: int, agents: int, has_proxies: bool, folder: Path, net: int, record: Record) -> None:
        options = argparse.Namespace(build=BUILD, seed=1, lease_ms=LEASE_MS, entries=entries, agents=agents)
        options.open_connections, options.cancels, options.has_proxies = 0, 0.0, has_proxies
        super().__init__(options, folder, net)
        self.store = LimitedStore(random.Random("store"))
        self.judge.log.close()
        self.judge.log = record  # type: ignore[assignment]
        self.made = 0

    def note(self, text: str) -> None:
        self.judge.note(text)

    def leader(self) -> Any:
        """The entry that the store names as the holder of the first partition."""
        holder = self.store.groups["scheduler"].holders[0]
        return next(entry for entry in self.entries if holder.startswith(f"{entry.place.ip}:"))

    async def ask(self, method: str, path: str, body: bytes = b"", timeout: float = 3.0) -> Response | None:
        entry, answer = await self.callers.request(method, path, body, timeout)
        shown = "no answer" if answer is None else f"{answer.status} {json.dumps(answer.body)}"
        self.note(f"client {method} {path or '(count)'} at {entry}: {shown}")
        return answer

    async def submit(self, step: dict[str, Any], work_s: float, **fields: Any) -> Job:
        """Hands in a job of one step and repeats that until it is accepted."""
        self.made += 1
        needs = {name: int(step.get(name, 0)) for name in ("cpu", "memMb", "gpu")}
        job = Job(f"{self.made:016x}", int(step.get("count", 1)), work_s, needs, bool(step.get("gang")), False, False, is_lasting=bool(step.get("longRunning")))
        self.judge.jobs[job.id] = job
        body = json.dumps({"spec": "review", "steps": [{"estMs": int(work_s * 1000), **step}], **fields}).encode()
        self.note(f"client hands in {job.id}: {json.dumps(step)} {json.dumps(fields) if fields else ''}")
        for _ in range(ACCEPT_ATTEMPTS):
            answer = await self.ask("POST", job.id, body)
            if answer is not None and 200 <= answer.status < 300:
                job.is_accepted, job.accepted_at = True, time.time()
                return job
            await asyncio.sleep(0.5)
        raise TimeoutError(f"job {job.id} was not accepted")

    async def state(self, job: Job) -> str:
        answer = await self.ask("GET", job.id)
        if answer is None or answer.status != 200 or not isinstance(answer.body, dict):
            return "no state"
        return str(answer.body.get("state", ""))

    def used(self, machine: Machine) -> dict[str, int]:
        runs = machine.boot.runs.values() if machine.boot is not None else []
        return {name: sum(run.job.needs[name] for run in runs) for name in machine.capacity}

    def has_room_twice(self, job: Job) -> bool:
        """Whether the free rooms of the runners hold twice the tasks of the job, and less than half of the whole room is in use."""
        places = 0
        for machine in self.machines:
            free = {name: machine.capacity[name] - used for name, used in self.used(machine).items()}
            places += min(free[name] // need for name, need in job.needs.items() if need > 0)
        in_use = max(sum(self.used(machine)[name] for machine in self.machines) / sum(machine.capacity[name] for machine in self.machines) for name in ("cpu", "memMb", "gpu"))
        return places >= 2 * job.count and in_use < 0.5

    def has_runs(self, job: Job) -> bool:
        return any(run.job is job for machine in self.machines if machine.boot is not None for run in machine.boot.runs.values())

    async def idle_jobs(self, jobs: list[Job]) -> list[Job]:
        """LOST: the jobs that have nothing running for three seconds although their turn has come and there is room. Their tasks are all due."""
        idle = {job.id: job for job in jobs if await self.state(job) not in ("succeeded", "failed", "cancelled")}
        end = time.monotonic() + IDLE_S + 0.2
        while time.monotonic() < end and idle:
            for job in list(idle.values()):
                if self.has_runs(job) or not self.has_room_twice(job):
                    del idle[job.id]
            await asyncio.sleep(0.02)
        left = [job for job in idle.values() if await self.state(job) not in ("succeeded", "failed", "cancelled")]
        for job in left:
            self.note(f"LOST {job.id} has had nothing running for {IDLE_S:.0f} s, with room for it twice over and under half of the room in use")
        return left


Scenario = Callable[[Deployment, bool], Awaitable[bool]]


async def _play(scenario: Scenario, deployment: Deployment, has_trouble: bool) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            await deployment.start()
            is_broken = await scenario(deployment, has_trouble)
        deployment.note("result: the rule was broken" if is_broken else "result: the rule held")
        return BROKEN if is_broken else HELD
    except (TimeoutError, OSError, LookupError) as failure:
        deployment.note(f"result: the case could not run: {type(failure).__name__} {failure}")
        return NOT_RUN
    finally:
        await deployment.stop()
        deployment.judge.log.flush()


def run_case(script: str, scenario: Scenario, entries: int, agents: int, has_proxies: bool = False, left_out: tuple[str, ...] = ()) -> None:
    """Plays the case and ends this process with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not (BUILD / "src" / "knapweedstaged").exists():
        print("not run: the deploy file has not been built")
        sys.exit(NOT_RUN)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    net, keeper = free_net()
    code = NOT_RUN
    try:
        record = Record(Path(script).resolve().parent / "record.txt", left_out)
        code = asyncio.run(_play(scenario, Deployment(entries, agents, has_proxies, folder, net, record), has_trouble))
    finally:
        keeper.close()
        if "KEEP_LOGS" in os.environ:
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
