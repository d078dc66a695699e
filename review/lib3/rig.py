"""A small cell of real processes for the scripts of the cases: the commands of the deploy file, and the project's own stand-ins of store and endpoints."""

from __future__ import annotations

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

ROOT = Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "tests"))

from soak.cell import APP, CONTROL, FRONT, STORE, Place, Process, settings_of  # noqa: E402
from soak.endpoint import Machine, Shared  # noqa: E402
from soak.httplite import Request, Response, call  # noqa: E402
from soak.judge import Judge, clock_text  # noqa: E402
from soak.run import free_net, seeds_of  # noqa: E402
from soak.store import Store  # noqa: E402

PROGRAM = ROOT / os.environ.get("PROGRAM", "target/build/src/knapweedstaged")  # the run lines of deploy/system.toml
SERVICE, TOKEN, HOST = "review-service", "review-token", "soak.example"
RECORD_BYTES, CALL_BYTES = 262_144, 2_097_152  # recordBytes and callBytes of the settings on the pages
ADVICE = 19000
ZONES = ("west-a", "west-b", "west-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class LimitedStore(Store):
    """Takes no record and no call that is larger than the settings say; such an append has no effect."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.refused: list[tuple[float, str, int]] = []  # time, key and bytes of records over the limit
        self.largest: dict[str, int] = {}  # bytes of the largest stored value by key

    def _log_append(self, request: Request, topic: str, partition: object) -> Response:
        at, body = 0, request.body
        sizes = []
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            record = body[at + 4 : at + 4 + length]
            key = record[1 : 1 + record[0]].decode() if record and topic.startswith("keyed.") else ""
            sizes.append((key, length))
            at += 4 + length
        for key, length in sizes:
            self.largest[key] = max(self.largest.get(key, 0), length)
            if length > RECORD_BYTES:
                self.refused.append((time.monotonic(), key, length))
        if any(length > RECORD_BYTES for _, length in sizes) or sum(length for _, length in sizes) > CALL_BYTES:
            return Response(400, {})
        return super()._log_append(request, topic, partition)


def configuration(version: int, queues: dict[str, int], advice: dict[str, int] | None = None) -> bytes:
    """A configuration with one service and these queues: path prefix and priority. With advice, all of them need it."""
    routes = []
    for prefix, priority in queues.items():
        route = {"name": f"r{prefix.strip('/')}", "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000}
        route |= {"service": SERVICE, "priority": priority, "maxAttempts": 4, "stretch": 3.0, "public": False}
        routes.append(route | ({"advice": advice} if advice is not None else {}))
    services = [{"name": SERVICE, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    tenants = [{"name": "t1", "apiKeys": [TOKEN], "priority": 1, "guaranteed": {"gpu": 8}}]
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}).encode()


class Cell:
    def __init__(self, entries: int, agents: int, lease_ms: int, seed: int = 1, advice: dict[str, int] | None = None) -> None:
        self.advice = advice
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.keeper = free_net()
        self.judge = Judge(self.folder)
        self.store = LimitedStore(random.Random(f"{seed}-store"))
        self.judge.evacuations.store = self.store
        shared = Shared(SERVICE, lease_ms, seed, self.judge)
        places = [self._place("entry", "front", index, 1 + index) for index in range(entries)]
        places += [self._place("agent", "side", index, 100 + index) for index in range(agents)]
        self.processes: list[Process] = []
        for index, place in enumerate(places):
            place.store = f"127.{self.net}.0.1:{STORE + index}"
            # The figures of kvf-fitline that the soak leaves out.
            limits = {"memory_mb": 260, "max_descriptors": 4100} if place.role == "entry" else {"memory_mb": 128, "max_descriptors": 4096}
            bounds = {"stop_ms": 400, "reclaim_ms": 2900, "advice": f"127.{self.net}.0.1:{ADVICE}"} if place.role == "entry" else {}
            text = json.dumps(json.loads(settings_of(place, seeds_of(places), lease_ms, SERVICE)) | limits | bounds)
            self.processes.append(Process(PROGRAM, place, self.folder, text, self.judge.findings, self.judge.history))
        self.entries = [process for process in self.processes if process.place.role == "entry"]
        self.agents = [process for process in self.processes if process.place.role == "agent"]
        self.machines = [
            Machine(agent.place.name, (agent.place.ip, APP), (agent.place.ip, CONTROL), agent.place.zone, f"rack-{index // 3}", shared)
            for index, agent in enumerate(self.agents)
        ]
        self.rng = random.Random(seed)

    def _place(self, role: str, word: str, index: int, host: int) -> Place:
        zone = index % len(ZONES)
        return Place(role, f"{word}-{ZONES[zone]}-{index + 1}", f"127.{self.net}.{zone + 1}.{host}", ZONES[zone], "")

    async def request(self, method: str, job: str, body: bytes = b"", timeout: float = 3.0, prefix: str = "/q/") -> tuple[str, Response | None]:
        place = self.rng.choice(self.entries).place
        headers = {"host": HOST, "authorization": f"Token {TOKEN}", "x-deadline-ms": str(int(timeout * 1000))}
        return place.name, await call((place.ip, FRONT), method, f"{prefix}{job}", body, headers, timeout)

    async def start(self) -> None:
        self.store.put("keyed.op", "config", configuration(1, {"/q/": 1, "/u/": 0}, self.advice))
        for process in self.processes:
            ip, _, port = process.place.store.partition(":")
            await self.store.open_for(process.place.name, (ip, int(port)))
        for process in self.processes:
            process.start()
        for machine in self.machines:
            await machine.power_on()
        async with asyncio.timeout(20):
            while True:
                _, answer = await self.request("GET", "00000000000000ff", timeout=1.0)
                if answer is not None and answer.status == 410:
                    return
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for process in self.processes:
            process.is_wanted = False
            if process.child is not None and process.child.returncode is None:
                process.is_killed = True
                process.child.kill()
                await process.child.wait()
        for server in self.store.servers + [machine.server for machine in self.machines]:
            server.close()
        self.keeper.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, script: str) -> None:
        self.file = (Path(script).resolve().parent / "record.txt").open("w")

    def take_notes_of(self, judge: Judge) -> None:
        """Starts and ends at the endpoints, and the acknowledgements of ends."""
        judge.log.close()
        judge.log = self.file

    def say(self, text: str) -> None:
        self.file.write(f"{clock_text()} {text}\n")
        self.file.flush()
        print(text, flush=True)


def play(case: Callable[[Record], Awaitable[int]], script: str) -> None:
    """Runs the case and ends with its status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(script)
    if not PROGRAM.exists():
        record.say(f"{PROGRAM.relative_to(ROOT)} is missing: run the build of deploy/system.toml")
        sys.exit(NOT_RUN)
    try:
        status = asyncio.run(asyncio.wait_for(case(record), 115))
    except (TimeoutError, OSError, AssertionError) as failure:
        record.say(f"the case could not run: {failure!r}")
        status = NOT_RUN
    record.say(f"result {status}: " + {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
