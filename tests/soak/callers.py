"""Callers that submit gangs and plain tasks through any entry, repeat what got no answer, ask for the state of their jobs, and cancel some of them."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import defaultdict
from collections.abc import Coroutine

from soak.cell import FRONT, Place
from soak.channels import Channels
from soak.httplite import Response, call
from soak.judge import FINAL_STATES, Job, Judge

DEADLINE_S = 3.0
ATTEMPTS = 4
POLL_S = 0.7
QUESTIONS_PER_S = 20.0  # on open connections
FINISH_S = 14.0  # from the end of the traffic until every accepted job must be known
HOST = "soak.example"
LASTING_S = 1e6  # work of a job that lasts until it is cancelled
# Seconds from the first submission to the cancel: within the caller's deadline and repetitions, or at any time up to after the end.
CANCEL_AFTER_S = ((0.0, 4.0), (0.0, 15.0))
EARLY_SHARE = 0.7


class Callers:
    def __init__(self, judge: Judge, entries: list[Place], token: str, seed: int, cancelled_share: float, channels: Channels | None) -> None:
        self.judge, self.entries, self.token = judge, entries, token
        self.rng = random.Random(f"{seed}-callers")
        self.draws = random.Random(f"{seed}-jobs")  # of its own, so that a seed gives the same jobs
        self.cancel_draws = random.Random(f"{seed}-cancels")
        self.cancelled_share = cancelled_share
        self.channels = channels
        self.questions = random.Random(f"{seed}-questions")
        self.asking: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)  # by job: answers are judged in the order of their questions
        self.end = 0.0  # of the time in which cancels are begun
        self.tasks: set[asyncio.Task[None]] = set()

    async def request(self, method: str, job: str, body: bytes = b"", timeout: float = DEADLINE_S) -> tuple[str, Response | None]:
        """Returns the name of the entry that was called, and its answer."""
        headers = {"host": HOST, "authorization": f"Token {self.token}", "x-deadline-ms": str(int(timeout * 1000))}
        answered = await self.channels.request(method, f"/q/{job}", body, headers, timeout) if self.channels is not None else None
        if answered is not None:
            return answered
        entry = self.rng.choice(self.entries)
        return entry.name, await call((entry.ip, FRONT), method, f"/q/{job}", body, headers, timeout)

    async def is_serving(self) -> bool:
        _, answer = await self.request("GET", "00000000000000ff", timeout=1.0)
        return answer is not None and answer.status == 410

    async def submit_for(self, seconds: float, per_second: float) -> None:
        self.end = time.monotonic() + seconds
        while time.monotonic() < self.end:
            job = self._draw()
            cancel_after_s = self._draw_cancel()
            self._run(self._follow(job))
            if cancel_after_s is not None:
                self._run(self._cancel_after(job, cancel_after_s))
            await asyncio.sleep(self.draws.expovariate(per_second))

    def _run(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _draw_cancel(self) -> float | None:
        is_cancelled = self.cancel_draws.random() < self.cancelled_share
        bounds = CANCEL_AFTER_S[0 if self.cancel_draws.random() < EARLY_SHARE else 1]
        after_s = self.cancel_draws.uniform(*bounds)
        return after_s if is_cancelled else None

    def _draw(self) -> Job:
        count = self.draws.choice((2, 2, 3, 3, 3, 9))
        cpu, gpu = {2: (52_000, self.draws.choice((1, 2, 4, 8))), 3: (15_000, self.draws.choice((1, 2, 4))), 9: (11_000, 1)}[count]
        gang, one_rack = self.draws.random() < 0.7, self.draws.random() < 0.4
        needs = {"cpu": cpu, "memMb": 4096, "gpu": gpu}
        job = Job(f"{self.draws.getrandbits(64):016x}", count, self.draws.uniform(1, 4), needs, gang, one_rack, self.draws.random() < 0.5)
        self.judge.jobs[job.id] = job
        return job

    async def _follow(self, job: Job) -> None:
        step = {"count": job.count, **job.needs, "estMs": int(job.work_s * 1000), "gang": job.gang}
        step |= {"longRunning": job.is_lasting, "rackLocality": job.one_rack, "farX": 3, "checkpointing": job.checkpoints}
        body = json.dumps({"spec": "soak", "steps": [{name: value for name, value in step.items() if value}]}).encode()
        is_unknown = False
        for _ in range(ATTEMPTS):
            if job.cancelled_at is not None:
                break
            _, answer = await self.request("POST", job.id, body)
            if answer is not None and 200 <= answer.status < 300:
                job.is_accepted, job.accepted_at = True, time.time()
                self.judge.note(f"accepted job={job.id} count={job.count} gang={job.gang} work={job.work_s:.2f}")
                break
            is_unknown = is_unknown or answer is None or answer.status not in (429, 503)
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        job.is_refused = not job.is_accepted and not is_unknown
        while job.is_accepted and not job.is_gone and job.state not in FINAL_STATES:
            await asyncio.sleep(POLL_S * self.rng.uniform(0.5, 1.5))
            await self._ask(job)
        if job.is_accepted:  # asked again long after its end
            await asyncio.sleep(self.rng.uniform(2, 8))
            await self._ask(job)

    async def cancel_lasting(self, rng: random.Random) -> None:
        """Submits a job that lasts, and cancels it some time after its start."""
        job = Job(f"{rng.getrandbits(64):016x}", 1, LASTING_S, {"cpu": 4000, "memMb": 4096, "gpu": 1}, False, False, False, is_lasting=True)
        self.judge.jobs[job.id] = job
        following = self._run(self._follow(job))
        while not job.is_started and not following.done():
            await asyncio.sleep(0.1)
        await asyncio.sleep(rng.uniform(0.5, 4))
        if job.is_accepted:
            await self._cancel(job)

    async def _cancel_after(self, job: Job, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if time.monotonic() < self.end:
            await self._cancel(job)

    async def _cancel(self, job: Job) -> None:
        """Repeats the cancel until it is acknowledged."""
        while job.cancelled_at is None:
            job.is_cancel_sent = True  # it may be carried out before its answer arrives
            entry, answer = await self.request("DELETE", job.id)
            if answer is not None and (200 <= answer.status < 300 or answer.status == 410):
                self.judge.cancelled(job, answer.status, entry)
            await asyncio.sleep(0.3)

    def is_over(self, job: Job) -> bool:
        """An accepted job has ended, and nothing runs of a job whose cancel was acknowledged, accepted or not."""
        if job.cancelled_at is not None:
            is_ended = not job.is_accepted or job.is_gone or job.state in FINAL_STATES
            return is_ended and not any(self.judge.active.get(task) for task in self.judge.tasks(job))
        if not job.is_accepted:
            return True
        return job.succeeded_at is not None

    async def _ask(self, job: Job) -> bool:
        """Returns whether the job was known."""
        async with self.asking[job.id]:
            entry, answer = await self.request("GET", job.id)
            if answer is not None and answer.status == 200 and isinstance(answer.body, dict):
                self.judge.shown(job, str(answer.body.get("state", "")), entry)
                return True
            if answer is not None and answer.status == 410:
                self.judge.missing(job, entry)
            return False

    async def ask_for(self, seconds: float) -> None:
        """Questions for jobs that have been accepted, whether they have ended or not."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.questions.expovariate(QUESTIONS_PER_S))
            jobs = [job for job in self.judge.jobs.values() if job.is_accepted and not job.is_gone]
            if jobs:
                self._run(self._ask(self.questions.choice(jobs)))

    async def ask_at_the_end(self) -> None:
        """All processes are up: each accepted job that nobody cancelled must be known. Another status than 200, such as 503, is no answer."""

        async def check(job: Job) -> None:
            for _ in range(ATTEMPTS):
                if await self._ask(job):
                    return
                await asyncio.sleep(0.3)
            self.judge.violated("LOST", self.judge.tasks(job)[0], f"{ATTEMPTS} questions at the end were not answered", [])

        await asyncio.gather(*(check(job) for job in self.judge.jobs.values() if job.is_accepted and not job.is_cancel_sent))

    async def settle(self, seconds: float) -> list[Job]:
        """Waits until all jobs are over, and returns the others."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not all(self.is_over(job) for job in self.judge.jobs.values()):
            await asyncio.sleep(0.2)
        self.judge.check_cancelled()
        for task in list(self.tasks):
            task.cancel()
        return [job for job in self.judge.jobs.values() if not self.is_over(job)]
