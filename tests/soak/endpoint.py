"""An endpoint: a machine's lives, their runs and gangs, leases on a clock of their own, and the calls of its agent."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from soak.adviser import Adviser
from soak.httplite import Address, Request, Response, Server, call
from soak.judge import Job, Judge, clock_text
from soak.trouble import Trouble, serve

REPORT_S = 1.5
REPORT_TIMEOUT_S = 1.0
RETRY_S = 0.3
STOP_S = (0.02, 0.4)
BREAK_S = (0.05, 0.2)
GANG_S = 3.0
RESTORE_S = 0.25
CHECKPOINT_S = 0.5
FAR_FACTOR = 3.0
MOST_ENDS = 500


@dataclass
class Run:
    task: str
    run: int
    job: Job
    boot: Boot
    is_late: bool
    checkpoint: str
    started_at: float = field(default_factory=time.time)
    stopped_at: float | None = None
    ended_at: float | None = None
    how: str = ""

    def describe(self) -> str:
        times = f"start {clock_text(self.started_at)} stop {clock_text(self.stopped_at) if self.stopped_at else '-'}"
        end = f"end {clock_text(self.ended_at)} {self.how}" if self.ended_at else "end -"
        life = f"{self.boot.id} born {self.boot.born} from {self.boot.machine.name}"
        return f"{self.task} run {self.run} on {life}, fence {self.boot.fence} late {str(self.is_late).lower()}, {times} {end}"


class Gang:
    """The members of one run; a plain task is a gang of one. Work begins when all are present, and they end together."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.members: list[Run] = []
        self.missing = job.count if job.gang else 1
        self.is_broken = False
        self.began_at: float | None = None
        self.done_work = 0.0
        self.rate = 1.0

    def add(self, run: Run) -> None:
        self.members.append(run)
        self.missing -= 1
        loop = asyncio.get_running_loop()
        if self.is_broken:
            loop.call_later(run.boot.machine.rng.uniform(*BREAK_S), run.boot.end, run, "broken")
        elif self.missing == 0:
            racks = {member.boot.machine.rack for member in self.members}
            self.rate = 1 / FAR_FACTOR if self.job.one_rack and len(racks) > 1 else 1.0
            self.done_work = int(run.checkpoint[:8], 16) / 1000 if run.checkpoint else 0.0
            restore = RESTORE_S if run.checkpoint else 0.0
            self.began_at = time.monotonic() + restore
            if not self.job.is_lasting:
                loop.call_later(restore + max(0.0, self.job.work_s - self.done_work) / self.rate, self.finish)
        else:
            loop.call_later(GANG_S, self.give_up, run)

    def give_up(self, run: Run) -> None:
        if self.began_at is None:
            run.boot.end(run, "alone")

    def finish(self) -> None:
        if not self.is_broken:
            for member in list(self.members):
                member.boot.end(member, "done")

    def left(self, run: Run, how: str) -> None:
        self.members.remove(run)
        if how != "done" and not self.is_broken:
            self.is_broken = True
            for member in self.members:
                delay = member.boot.machine.rng.uniform(*BREAK_S)
                asyncio.get_running_loop().call_later(delay, member.boot.end, member, "broken")

    def worked(self) -> float:
        if self.began_at is None:
            return self.done_work
        return min(self.job.work_s, self.done_work + max(0.0, time.monotonic() - self.began_at) * self.rate)

    def saved(self) -> str:
        steps = int(self.worked() / CHECKPOINT_S)
        return f"{int(steps * CHECKPOINT_S * 1000):08x}{self.job.id[:8]}" if self.job.checkpoints and steps > 0 else ""


class Boot:
    """One life of an endpoint. Nothing of it outlasts its end."""

    def __init__(self, machine: Machine, identity: str, born: int) -> None:
        self.machine = machine
        self.id = identity
        self.born = born
        self.is_up = True
        self.rate = machine.rng.choice((1.0, 1.0, 0.98))
        self.clock_start = time.monotonic()
        self.clock_offset = machine.rng.randrange(0, 600_000)
        self.fence = 0
        self.sequence = 0
        self.lease_until = 0
        self.lapses = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.closed: dict[str, int] = {}  # by task: the highest run that was stopped or has ended here
        self.ends: list[tuple[int, Run, str]] = []
        self.ends_made = 0
        self.waiters: list[asyncio.Future[None]] = []
        self.leaves_at: float | None = None  # of a planned end

    def clock(self) -> int:
        return self.clock_offset + int((time.monotonic() - self.clock_start) * 1000 * self.rate)

    def advance(self) -> None:
        """The lease may have run out although no timer has run."""
        if self.is_up and self.lease_until and self.clock() >= self.lease_until:
            self.lease_until = 0
            self.lapses += 1
            self.machine.judge.note(f"lapsed {self.id} born {self.born} runs {len(self.runs)}")
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    def extend(self, until: int | None) -> None:
        until = min(int(until or 0), self.clock() + self.machine.lease_ms)
        if until > self.lease_until and until > self.clock():
            self.lease_until = until
            left = (until - self.clock()) / 1000 / self.rate
            asyncio.get_running_loop().call_later(left + 0.002, self.advance)

    def end(self, run: Run, how: str) -> None:
        if self.runs.get((run.task, run.run)) is not run:
            return
        del self.runs[(run.task, run.run)]
        run.ended_at, run.how = time.time(), how
        saved = "" if how == "done" else run_gang(self.machine.gangs, run).saved()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.run)
        if self.is_up:
            self.ends_made += 1
            self.ends.append((self.ends_made, run, saved))
        self.machine.judge.ended(run, how)
        run_gang(self.machine.gangs, run).left(run, how)
        self.wake()

    def wake(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    def crash(self) -> None:
        self.advance()
        self.is_up = False
        for run in list(self.runs.values()):
            self.end(run, "vanished")
        self.wake()

    def start(self, body: dict, is_late: bool) -> Response:
        task, number = str(body["task"]), int(body["run"])
        self.extend(body.get("untilMs"))
        if (task, number) in self.runs:
            return self.answer()
        newest = max([run for name, run in self.runs if name == task], default=0)
        if number <= max(newest, self.closed.get(task, 0)):
            return self.answer(409, reason="old")
        if self.lease_until <= self.clock():
            return self.answer(409, reason="late")
        adviser = self.machine.adviser
        if adviser is not None and not adviser.is_valid(str(body.get("ticket", "")), task.rpartition(".")[0], self):
            return self.answer(409, reason="ticket")
        job = self.machine.judge.jobs.get(task.split(".")[0])
        if job is None:
            self.machine.judge.findings.append(f"UNASKED task={task} on {self.id}")
            return self.answer(400)
        run = Run(task, number, job, self, is_late, str(body.get("checkpoint", "")))
        self.machine.judge.started(run)
        self.runs[(task, number)] = run
        run_gang(self.machine.gangs, run).add(run)
        self.wake()
        return self.answer()

    def stop(self, body: dict) -> Response:
        task, number = str(body["task"]), int(body["run"])
        run = self.runs.get((task, number))
        if run is None:
            self.closed[task] = max(self.closed.get(task, 0), number)
        elif run.stopped_at is None:
            run.stopped_at = time.time()
            asyncio.get_running_loop().call_later(self.machine.rng.uniform(*STOP_S), self.end, run, "stopped")
        return self.answer()

    def hold(self, body: dict) -> Response:
        self.extend(body.get("untilMs"))
        acknowledged = int(body.get("ackedUpto", 0))
        for number, run, _ in self.ends:
            if number <= acknowledged:
                self.machine.judge.noted(self, run)
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        running = []
        for run in self.runs.values():
            gang = run_gang(self.machine.gangs, run)
            running.append([run.task, run.run, gang.saved(), int(100 * gang.worked() / run.job.work_s), 0])
        ended = [[number, run.task, run.run, run.how, saved] for number, run, saved in self.ends[:MOST_ENDS]]
        return self.answer(born=self.born, running=running, ended=ended)

    def answer(self, status: int = 200, **fields: object) -> Response:
        return Response(status, {"clockMs": self.clock(), **fields})


def run_gang(gangs: dict[tuple[str, int], Gang], run: Run) -> Gang:
    key = (run.job.id if run.job.gang else run.task, run.run)
    return gangs.setdefault(key, Gang(run.job))


class Machine:
    """Where the lives of one endpoint follow each other, beside one agent."""

    def __init__(self, name: str, app: Address, control: Address, zone: str, rack: str, shared: Shared) -> None:
        self.name, self.app, self.control, self.zone, self.rack = name, app, control, zone, rack
        self.service, self.lease_ms, self.judge, self.gangs = shared.service, shared.lease_ms, shared.judge, shared.gangs
        self.adviser = shared.adviser
        self.rng = random.Random(f"{shared.seed}-{name}")
        self.capacity = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}
        self.boot: Boot | None = None
        self.earlier: list[Boot] = []
        self.troubles: list[Trouble] = []
        self.server = Server(app, self.handle)
        self._reporting: asyncio.Task[None] | None = None

    async def power_on(self, identity: str | None = None) -> None:
        born = max(int(time.time() * 1000), self.boot_born() + 1)
        self.boot = Boot(self, identity or f"i-{self.rng.getrandbits(32):08x}", born)
        self.judge.note(f"boot {self.name} {self.boot.id} born {born}")
        await self.server.open()
        self._reporting = asyncio.create_task(self._report(self.boot))

    def boot_born(self) -> int:
        return self.earlier[-1].born if self.earlier else 0

    def power_off(self) -> None:
        if self.boot is not None:
            self.judge.note(f"crash {self.name} {self.boot.id} runs {len(self.boot.runs)}")
            self.boot.crash()
            self.earlier.append(self.boot)
            self.boot = None
            self.server.close()
        if self._reporting is not None:
            self._reporting.cancel()

    async def leave(self, notice_s: float) -> None:
        """A planned end: reported as draining, then the end itself, which takes all runs along."""
        boot = self.boot
        if boot is None:
            return
        boot.leaves_at = time.monotonic() + notice_s
        await asyncio.sleep(notice_s + self.rng.uniform(0, 2))
        if boot is self.boot:
            self.power_off()
            await call(self.control, "DELETE", f"/-/instances/{boot.id}", timeout=REPORT_TIMEOUT_S)

    def report(self, boot: Boot) -> dict[str, object]:
        boot.sequence += 1
        address = f"{self.app[0]}:{self.app[1]}"
        report = {"service": self.service, "address": address, "zone": self.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0}
        report |= {"capacity": dict(self.capacity), "labels": ["a", self.rack], "clockMs": boot.clock(), "born": boot.born, "seq": boot.sequence}
        if boot.leaves_at is not None:
            report |= {"state": "draining", "remainingMs": max(0, int(1000 * (boot.leaves_at - time.monotonic())))}
        return report

    async def send_report(self, identity: str, body: bytes) -> bool:
        answer = await call(self.control, "PUT", f"/-/instances/{identity}", body, timeout=REPORT_TIMEOUT_S)
        return answer is not None and 200 <= answer.status < 300

    async def _report(self, boot: Boot) -> None:
        await asyncio.sleep(self.rng.uniform(0, 0.3))
        while boot.is_up:
            is_heard = await self.send_report(boot.id, json.dumps(self.report(boot)).encode())
            await asyncio.sleep(REPORT_S * self.rng.uniform(0.9, 1.1) if is_heard else RETRY_S)

    async def handle(self, request: Request) -> Response:
        body = request.json()
        boot = self.boot
        response = await serve(self.troubles, self.rng, request, lambda is_late: self.execute(request, body, is_late))
        if request.path == "/-/hold" and response.status == 200 and boot is not None and await self._wait_for_end(boot, int(body.get("waitMs", 0))):
            return boot.hold({})
        return response

    async def _wait_for_end(self, boot: Boot, wait_ms: int) -> bool:
        """Returns whether the lists may have changed."""
        if wait_ms == 0 or boot.ends:
            return False
        until = time.monotonic() + min(wait_ms, 2000) / 1000
        while boot.is_up and not boot.ends and time.monotonic() < until:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            boot.waiters.append(waiter)
            await asyncio.wait([waiter], timeout=until - time.monotonic())
        return True

    def execute(self, request: Request, body: dict, is_late: bool) -> Response:
        """An order that is late is carried out on the life that this machine has by then."""
        boot = self.boot
        if boot is None:
            return Response(503, {})
        boot.advance()
        if request.headers.get("x-expect-instance", boot.id) != boot.id:
            return boot.answer(421)
        fence = int(body.get("fence", 0))
        if fence < boot.fence:
            return boot.answer(409, reason="fence")
        boot.fence = fence
        if request.path == "/-/run-start":
            self.judge.note(f"order start {body.get('task')} run {body.get('run')} at {boot.id}")
            return boot.start(body, is_late)
        if request.path == "/-/run-stop":
            self.judge.note(f"order stop {body.get('task')} run {body.get('run')} at {boot.id}")
            return boot.stop(body)
        if request.path == "/-/hold":
            return boot.hold(body)
        return Response(404, {})


@dataclass
class Shared:
    """What all endpoints of one cell have in common."""

    service: str
    lease_ms: int
    seed: int
    judge: Judge
    gangs: dict[tuple[str, int], Gang] = field(default_factory=dict)
    adviser: Adviser | None = None  # without whose tickets nothing starts
