"""A small cell of real processes on loopback: entries, agents, a store, runners and clients. The store and the HTTP helpers are those of tests/soak.

The runners do what the users' pages say of a sound runner. What a task does stands in its `spec`: "work=SECONDS"; "work=inf" is a task that
lasts. Everything that was sent, answered and run is written to record.txt in the folder of the case."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from soak.cell import APP, CONTROL, FRONT, STORE, Place, Process, settings_of  # noqa: E402
from soak.httplite import Request, Response, Server, Silence, call  # noqa: E402
from soak.run import free_net  # noqa: E402
from soak.store import Store  # noqa: E402

BROKEN, HELD, NOT_RUN = 1, 0, 2
CELL_FILE = "/etc/knapweedstage/node.json"
RECORD_BYTES = 262_144  # of the store, as in the settings that DEPLOY.md shows
CALL_BYTES = 2_097_152
LEASE_MS = 6000
STOP_S = 0.1
STARTUP_S = 0.3  # of a task that lasts
REPORT_S = 1.5
MOST_ENDS = 500
HOST = "case.example"
DEADLINE_S = 3.0


class NotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class BoundedStore(Store):
    """The store with the limits of one record and of one call, which the pages state."""

    record: Record | None = None

    def _log_append(self, request: Request, topic: str, partition: object) -> Response:
        body, at = request.body, 0
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            if length > RECORD_BYTES or len(body) > CALL_BYTES:
                if self.record is not None:
                    self.record.write(f"store refuses an append to {topic}: a record has {length} bytes, the call {len(body)}")
                return Response(400, {})
            at += 4 + length
        return super()._log_append(request, topic, partition)  # type: ignore[arg-type]


@dataclass
class Run:
    task: str
    number: int
    spec: dict[str, str]
    began: float
    worked: float = 0.0
    counted: float = 0.0  # until when `worked` counts
    stopping: bool = False

    @property
    def work(self) -> float:
        return float(self.spec.get("work", "1"))

    @property
    def job(self) -> str:
        return self.task.split(".")[0]


@dataclass
class Runner:
    """One life of a runner beside an agent."""

    name: str
    ip: str
    zone: str
    rack: str
    service: str
    record: Record
    runs: dict[str, Run] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)  # the tasks, over all lives
    ends: list[list] = field(default_factory=list)
    closed: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.name)
        self.server = Server((self.ip, APP), self.handle)
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.reports = asyncio.Lock()
        self.mute_until = 0.0
        self.begin_life()

    def begin_life(self) -> None:
        self.id = f"i-{self.rng.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - self.rng.uniform(0, 600)
        self.fence, self.seq, self.made, self.lease_until = 0, 0, 0, 0
        self.leaves_at: float | None = None  # of a planned end
        self.runs, self.ends, self.closed = {}, [], {}

    async def boot(self) -> None:
        """The next runner of the machine, with an id of its own."""
        self.begin_life()
        self.record.write(f"runner {self.name}: the next one comes as {self.id}")
        await self.start()

    async def start(self) -> None:
        await self.server.open()
        self.tasks = [asyncio.create_task(self._report()), asyncio.create_task(self._advance())]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def clock(self) -> int:
        return int((time.monotonic() - self.zero) * 1000)

    async def drain(self, notice_s: float) -> None:
        """Says that it drains until that is acknowledged. It goes on serving until leave()."""
        self.leaves_at = time.monotonic() + notice_s
        while not await self.send_report():
            await asyncio.sleep(0.3)
        self.record.write(f"runner {self.name}: draining is acknowledged, at least {notice_s} s left")

    async def leave(self) -> None:
        self.record.write(f"runner {self.name}: leaves")
        for run in list(self.runs.values()):
            self.end(run, "gone with the runner")
        await call((self.ip, CONTROL), "DELETE", f"/-/instances/{self.id}", timeout=1.0)
        self.close()

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S if await self.send_report() else 0.3)

    async def send_report(self) -> bool:
        async with self.reports:
            self.seq += 1
            state = "ready" if self.leaves_at is None else "draining"
            body = {"service": self.service, "address": f"{self.ip}:{APP}", "zone": self.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0}
            if self.leaves_at is not None:
                body["remainingMs"] = max(0, int(1000 * (self.leaves_at - time.monotonic())))
            body |= {"capacity": {"cpu": 128_000, "memMb": 262_144, "gpu": 8}, "labels": ["a", self.rack]}
            body |= {"clockMs": self.clock(), "seq": self.seq, "born": self.born}
            answer = await call((self.ip, CONTROL), "PUT", f"/-/instances/{self.id}", json.dumps(body).encode(), timeout=1.0)
            return answer is not None and answer.status == 200

    async def _advance(self) -> None:
        """Lets tasks work, end and lapse."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.lease_until and self.clock() >= self.lease_until:
                self.lease_until = 0
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in list(self.runs.values()):
                run.worked += now - run.counted
                run.counted = now
                if run.worked >= run.work:
                    self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.made += 1
        self.ends.append([self.made, run.task, run.number, how, ""])
        self.record.write(f"runner {self.name}: {run.task} run {run.number} ended {how} after {time.monotonic() - run.began:.2f} s")
        self.changed.set()

    def answer(self, status: int = 200, **fields: object) -> Response:
        return Response(status, {"clockMs": self.clock(), "born": self.born, **fields})

    def percent(self, run: Run) -> int:
        if math.isinf(run.work):
            return 100 if run.worked >= STARTUP_S else 0
        return int(100 * min(1.0, run.worked / run.work))

    def extend(self, until: object) -> None:
        if isinstance(until, int):
            self.lease_until = max(self.lease_until, min(until, self.clock() + LEASE_MS))

    def lists(self) -> Response:
        running = [[run.task, run.number, "", self.percent(run), 0] for run in self.runs.values()]
        return self.answer(running=running, ended=self.ends[:MOST_ENDS])

    def lose_answers(self, seconds: float) -> None:
        self.mute_until = time.monotonic() + seconds

    async def handle(self, request: Request) -> Response:
        response = await self.execute(request)
        if time.monotonic() < self.mute_until:
            raise Silence
        return response

    async def execute(self, request: Request) -> Response:
        body = request.json()
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self.answer(421)
        if int(body.get("fence", 0)) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = max(self.fence, int(body.get("fence", 0)))
        if request.path == "/-/run-start":
            return self.run_start(body)
        if request.path == "/-/run-stop":
            return self.run_stop(body)
        if request.path != "/-/hold":
            return Response(404, {})
        self.extend(body.get("untilMs"))
        self.ends = [row for row in self.ends if row[0] > int(body.get("ackedUpto", 0))]
        wait = min(int(body.get("waitMs", 0)), 2000) / 1000
        if wait and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                pass
        return self.lists()

    def run_start(self, body: dict) -> Response:
        task, number = str(body["task"]), int(body["run"])
        self.extend(body.get("untilMs"))
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self.answer()
        if number <= max(self.closed.get(task, 0), present.number if present is not None else 0):
            return self.answer(409, reason="old")
        if self.lease_until <= self.clock():
            return self.answer(409, reason="late")
        now = time.monotonic()
        spec = dict(word.split("=", 1) for word in str(body["spec"]).split() if "=" in word)
        self.runs[task] = Run(task, number, spec, now, counted=now)
        self.starts.append(task)
        self.record.write(f"runner {self.name}: {task} run {number} started")
        return self.answer()

    def run_stop(self, body: dict) -> Response:
        task, number = str(body["task"]), int(body["run"])
        run = self.runs.get(task)
        self.record.write(f"runner {self.name}: stop of {task} run {number}" + ("" if run is not None else ", which isn't there"))
        if run is None or run.number != number:
            self.closed[task] = max(self.closed.get(task, 0), number)
        elif not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return self.answer()


def route(name: str, prefix: str, service: str, priority: int = 1) -> dict:
    out = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 3000}
    return out | {"priority": priority, "service": service, "maxAttempts": 4, "stretch": 3.0, "public": False}


def deployed_command(role: str) -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return str(deploy["roles"][role]["run"]).split()


class Cell:
    def __init__(self, case: Path, routes: list[dict], runners: list[dict], entries: int = 3, spare: int = 0) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.net, self.keeper = free_net()
        self.findings: list[str] = []
        self.store = BoundedStore(random.Random(1))
        self.store.record = self.record
        self.rng = random.Random(os.getpid())
        services = sorted({str(row["service"]) for row in runners})
        self.configuration = {"version": 1, "routes": routes, "services": [self._service(name) for name in services]}
        self.configuration["limits"] = {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.configuration["tenants"] = [{"name": "tenant", "apiKeys": ["key-1"], "priority": 1, "guaranteed": {"gpu": 0}}]
        places = [Place("entry", f"front-{n + 1}", f"127.{self.net}.{n + 1}.1", f"zone-{n + 1}", "") for n in range(entries)]
        sides = [Place("agent", f"side-{n + 1}", f"127.{self.net}.{n % entries + 1}.{100 + n}", f"zone-{n % entries + 1}", "") for n in range(len(runners))]
        seeds = self.seeds_of(places[:3])
        self.processes: list[Process] = []
        for number, place in enumerate(places + sides):
            place.store = f"127.{self.net}.0.1:{STORE + number}"
            service = "" if place.role == "entry" else str(runners[number - entries]["service"])
            words = deployed_command(place.role)
            if words[1:] != ["--cell", CELL_FILE] or not (ROOT / words[0]).exists():
                raise NotRun(f"the build of the deploy file has no {words}")
            settings = settings_of(place, seeds, LEASE_MS, service)
            self.processes.append(Process(ROOT / words[0], place, self.folder, settings, self.findings))
        self.entries, self.agents = self.processes[: entries - spare], self.processes[entries:]
        self.spare = self.processes[entries - spare : entries]  # not started with the others
        self.runners = [
            Runner(place.name, place.ip, place.zone, f"rack-{number}", record=self.record, **row) for number, (place, row) in enumerate(zip(sides, runners, strict=True))
        ]

    @staticmethod
    def seeds_of(places: list[Place]) -> list[str]:
        return [f"{place.ip}:{CONTROL}" for place in places]

    @staticmethod
    def write_settings(process: Process, seeds: list[str]) -> None:
        """Renders the settings file of an entry anew, as the platform does."""
        process.settings.write_text(settings_of(process.place, seeds, LEASE_MS, ""))

    @staticmethod
    def _service(name: str) -> dict:
        return {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False}

    async def start(self) -> None:
        self.store.put("keyed.op", "config", json.dumps(self.configuration).encode())
        for process in self.processes:
            ip, _, port = process.place.store.partition(":")
            await self.store.open_for(process.place.name, (ip, int(port)))
        for process in self.entries + self.agents:
            process.start()
        for runner in self.runners:
            await runner.start()
        prefix = self.configuration["routes"][0]["pathPrefix"]
        for _ in range(200):
            answer = await self.request("GET", prefix + "00000000000000ff", note=False)
            if answer is not None and answer.status == 410:
                await asyncio.sleep(4)
                return
            await asyncio.sleep(0.1)
        raise NotRun("the cell does not serve")

    async def stop(self) -> None:
        await asyncio.gather(*(process.stop() for process in self.processes if process.child is not None))
        for runner in self.runners:
            runner.close()
        for server in self.store.servers:
            server.close()
        self.keeper.close()

    async def request(self, method: str, path: str, body: object = None, note: bool = True, entry: Process | None = None) -> Response | None:
        headers = {"host": HOST, "authorization": "Token key-1", "x-deadline-ms": str(int(DEADLINE_S * 1000))}
        data = b"" if body is None else json.dumps(body).encode()
        place = (entry or self.rng.choice(self.entries)).place
        answer = await call((place.ip, FRONT), method, path, data, headers, DEADLINE_S)
        if note:
            sent = json.dumps(body)[:160] if body is not None else ""
            self.record.write(f"client {method} {path} at {place.name} {sent} -> {'no answer' if answer is None else f'{answer.status} {answer.body}'}")
        return answer

    async def submit(self, path: str, steps: list[dict], spec: str, **more: object) -> None:
        """Repeats the request until it is accepted."""
        for _ in range(8):
            answer = await self.request("POST", path, {"spec": spec, "steps": steps, **more})
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(1)
        raise NotRun(f"{path} was not accepted")

    async def state(self, path: str, note: bool = True) -> str:
        answer = await self.request("GET", path, note=note)
        return "" if answer is None else str(answer.body.get("state", answer.status)) if isinstance(answer.body, dict) else str(answer.status)

    async def until(self, condition, seconds: float) -> bool:  # noqa: ANN001
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    def running(self, job: str) -> list[tuple[Runner, Run]]:
        return [(runner, run) for runner in self.runners for run in runner.runs.values() if run.job == job]

    def starts(self, job: str) -> int:
        return sum(task.split(".")[0] == job for runner in self.runners for task in runner.starts)


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def play(case: Path, routes: list[dict], runners: list[dict], script, entries: int = 3, spare: int = 0) -> int:  # noqa: ANN001
    """Plays one case. `script` returns whether the rule held."""

    async def run() -> int:
        cell = None
        try:
            cell = Cell(case, routes, runners, entries, spare)
            cell.record.write(f"disruption: {'yes' if has_trouble() else 'no'}; logs of the processes in {cell.folder.name} of the temporary folder")
            await cell.start()
            held = await script(cell)
            cell.record.write("the rule held" if held else "the rule was broken")
            for finding in cell.findings:
                cell.record.write(finding)
            return HELD if held else BROKEN
        except (NotRun, OSError) as failure:
            if cell is not None:
                cell.record.write(f"not run: {failure}")
            print(f"not run: {failure}", file=sys.stderr)
            return NOT_RUN
        finally:
            if cell is not None:
                await cell.stop()

    status = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    return status
