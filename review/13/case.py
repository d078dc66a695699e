"""Jobs come to a queue that needs advice, which takes longer for many runners. LOST is judged once the traffic has been over for finish_s."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from rig import ADVICE, BROKEN, HELD, NOT_RUN, Cell, Record, has_trouble, play  # noqa: E402
from soak.httplite import Request, Response, Server  # noqa: E402
from soak.judge import Job  # noqa: E402

RUNNERS = 62  # of kvf-fitline-grown
ADVICE_TIMES = {"decideMs": 100, "eachMs": 50 if has_trouble() else 5, "validMs": 10_000}  # 3.2 s or 0.41 s for a call that names them all
MOST_WAITING, MOST_WORKERS = 32, 100
JOBS, GAP_S = 3, 1.0
NEEDS = {"cpu": 15_000, "memMb": 4_096, "gpu": 1}  # a task of alter-sheet
WORK_S, FINISH_S, IDLE_S = 2.5, 14.0, 3.0


class Adviser:
    """Handles one call at a time, in turn. All calls come from one machine, that of the scheduler."""

    def __init__(self, record: Record) -> None:
        self.record, self.turn, self.waiting, self.answered = record, asyncio.Lock(), 0, 0

    async def handle(self, request: Request) -> Response:
        workers, called_at = request.json()["workers"], time.monotonic()
        if len(workers) > MOST_WORKERS:
            return Response(400, {})
        if self.waiting >= MOST_WAITING:
            return Response(429, {})
        self.waiting += 1
        async with self.turn:
            self.waiting -= 1
            if time.monotonic() - called_at > 2.9:
                return Response(429, {})  # its caller has gone, and the next one need not wait for it
            await asyncio.sleep((ADVICE_TIMES["decideMs"] + ADVICE_TIMES["eachMs"] * len(workers)) / 1000)
        self.answered += 1
        step = request.json()["step"]
        self.record.say(f"advice on {step} for {len(workers)} runners is ready {time.monotonic() - called_at:.2f} s after the call, {self.waiting} calls wait")
        return Response(200, {"good": [[worker, f"t-{step}-{worker}"] for worker in workers]})


async def submit(cell: Cell, record: Record, job: Job) -> None:
    step = {"count": 1, **NEEDS, "estMs": int(WORK_S * 1000)}
    for _ in range(4):
        entry, answer = await cell.request("POST", job.id, json.dumps({"spec": "review", "steps": [step]}).encode())
        record.say(f"POST {job.id} at {entry}: {answer and answer.status}")
        if answer is not None and answer.status == 200:
            job.is_accepted = True
            return
        await asyncio.sleep(0.5)


async def case(record: Record) -> int:
    cell = Cell(entries=2, agents=RUNNERS, lease_ms=6000, advice=ADVICE_TIMES)
    judge = cell.judge
    record.take_notes_of(judge)
    adviser = Adviser(record)
    server = Server((f"127.{cell.net}.0.1", ADVICE), adviser.handle)
    try:
        await server.open()
        await cell.start()
        await asyncio.sleep(3)
        for _ in range(JOBS):
            job = Job(f"{cell.rng.getrandbits(64):016x}", 1, WORK_S, NEEDS, False, False, False)
            judge.jobs[job.id] = job
            await submit(cell, record, job)
            await asyncio.sleep(GAP_S)
        owed = [job for job in judge.jobs.values() if job.is_accepted]
        if not owed:
            return NOT_RUN
        ended = time.monotonic()
        idle_since: dict[str, float] = {}
        lost: set[str] = set()
        while time.monotonic() - ended < FINISH_S + IDLE_S + 10 and len(judge.done) < len(owed):
            await asyncio.sleep(0.1)
            now = time.monotonic()
            running = sum(len(machine.boot.runs) for machine in cell.machines)
            is_mostly_idle = running * NEEDS["gpu"] < 8 * len(cell.machines) / 2
            for job in owed:
                task = judge.tasks(job)[0]
                is_waiting = now - ended >= FINISH_S and is_mostly_idle and not judge.done.get(task) and not judge.active.get(task)
                idle_since[job.id] = idle_since.get(job.id, now) if is_waiting else now
                if now - idle_since[job.id] >= IDLE_S:
                    lost.add(job.id)
        record.say(f"{time.monotonic() - ended:.1f} s after the traffic: done {len(judge.done)} of {len(owed)} accepted jobs, calls for advice answered {adviser.answered}")
        record.say(f"LOST: {len(lost)} jobs had nothing running for {IDLE_S:.0f} s on an idle service, later than {FINISH_S:.0f} s after the traffic")
        return BROKEN if lost else HELD
    finally:
        server.close()
        await cell.stop()


play(case, __file__)
