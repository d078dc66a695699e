"""Runs callers against real processes under failure: python3 -m demolib.scenario BUILD_FOLDER drain|kill SEED SECONDS

drain: two of three entries get SIGTERM, twice each, while callers wait. No caller may be cut off.
kill: agents and entries are frozen (SIGSTOP) and continued, agents are killed, the log service goes away and comes back.
In both, what callers were told is held against the endpoints' own counts of started parts. Ends with 1 when a promise was broken.
"""

import json
import os
import random
import signal
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from . import fleet as fleets
from .__main__ import prepare
from .httpjson import request
from .processes import Processes

CALLERS = 24
RUN_MS = 120
DEADLINE_MS = 20000
DRAIN_LIMIT_S = 3.6  # a change of the planner must not hold up urgent starts for longer
LONGEST_FREEZE_S = 8.0
LONGEST_OUTAGE_S = 3.0


@dataclass
class Told:
    """What one caller was told of one job."""

    is_repeatable: bool
    tasks: int
    job: str
    status: int  # 0 when the connection was cut
    outcome: str


def call(fleet: fleets.Fleet, address: str, key: str, draw: random.Random) -> Told:
    is_repeatable, tasks = draw.random() < 0.5, draw.choice([1, 1, 1, 2])
    behaviour = {"run_ms": draw.randint(0, RUN_MS), "output_bytes": 50}
    body = {"kind": "small", "tasks": tasks, "repeatable": is_repeatable, "deadline_ms": DEADLINE_MS, "input": json.dumps(behaviour)}
    headers = {**fleets.bearer("token-of-kothari"), "Idempotency-Key": key}
    try:
        answer = request(address, "POST", "/v1/jobs", body, headers)
    except OSError:
        return Told(is_repeatable, tasks, "", 0, "cut off")
    return Told(is_repeatable, tasks, str(answer.get("job", "")), answer.status, str(answer.get("outcome", "")))


def call_until(end: float, fleet: fleets.Fleet, addresses: list[str], seed: int) -> list[Told]:
    draw = random.Random(seed)
    told = []
    while time.monotonic() < end:
        told.append(call(fleet, draw.choice(addresses), f"key-{seed}-{len(told)}", draw))
    return told


def drain_entries(fleet: fleets.Fleet, addresses: list[str]) -> list[str]:
    """The balancer's part: an entry gets no new callers once it has been told to stop. Names the drains that took too long."""
    slow = []
    for entry in fleet.entries[1:]:
        begin = time.monotonic()
        addresses.remove(entry.address)
        entry.child.terminate()
        entry.child.terminate()
        entry.child.wait(40)
        took = time.monotonic() - begin
        if took > DRAIN_LIMIT_S:
            slow.append(f"{entry.name}: its drain took {took:.1f} s with jobs of {RUN_MS} ms")
    return slow


def freeze(pid: int, seconds: float) -> None:
    os.kill(pid, signal.SIGSTOP)
    time.sleep(seconds)
    os.kill(pid, signal.SIGCONT)


def strike(fleet: fleets.Fleet, draw: random.Random) -> None:
    agents = [agent for agent in fleet.agents.values() if agent.child.poll() is None]
    kind = draw.choice(["freeze agent", "freeze entry", "kill agent", "log outage"])
    if kind == "freeze agent":
        freeze(draw.choice(agents).child.pid, draw.uniform(0.5, LONGEST_FREEZE_S))
    elif kind == "freeze entry":
        freeze(draw.choice(fleet.entries).child.pid, draw.uniform(0.5, LONGEST_FREEZE_S))
    elif kind == "kill agent" and len(agents) > 2:
        draw.choice(agents).child.kill()
    elif kind == "log outage":
        fleet.fault(fleet.log, {"down": True})
        time.sleep(draw.uniform(0.2, LONGEST_OUTAGE_S))
        fleet.fault(fleet.log, {"down": False})


def broken_promises(fleet: fleets.Fleet, told: list[Told]) -> list[str]:
    counts = [fleet.counts(worker)["started"] for worker in fleet.endpoints]
    broken = []
    for one in told:
        starts = sum(count.get(one.job, 0) for count in counts)
        if not one.is_repeatable and starts > one.tasks:
            broken.append(f"{one.job}: not repeatable, {starts} starts of {one.tasks} parts")
        if one.outcome == "not_run" and starts > 0:
            broken.append(f"{one.job}: told not run, {starts} starts")
        if one.outcome == "completed" and starts < one.tasks:
            broken.append(f"{one.job}: told completed, {starts} starts of {one.tasks} parts")
        if one.status == 0:
            broken.append("a caller was cut off")
    return broken


def run(fleet: fleets.Fleet, mode: str, seed: int, seconds: float) -> int:
    limits = {"queued_limit": 100000, "requests_per_second": 100000, "burst": 100000}
    fleets.CONFIGURATION["accounts"]["kothari-fit"].update(limits)
    prepare(fleet)
    end = time.monotonic() + seconds
    addresses = [entry.address for entry in fleet.entries]
    draw = random.Random(seed)
    with ThreadPoolExecutor(CALLERS) as pool:
        calls = [pool.submit(call_until, end, fleet, addresses, seed * 1000 + number) for number in range(CALLERS)]
        time.sleep(seconds / 5)
        slow = drain_entries(fleet, addresses) if mode == "drain" else []
        while mode == "kill" and time.monotonic() < end:
            strike(fleet, draw)
        told = [one for done in calls for one in done.result()]
    outcomes: dict[str, int] = {}
    for one in told:
        name = f"{'repeatable' if one.is_repeatable else 'not repeatable'}, {one.status} {one.outcome}"
        outcomes[name] = outcomes.get(name, 0) + 1
    for name, count in sorted(outcomes.items()):
        print(f"{count:7} {name}")
    broken = slow + broken_promises(fleet, told)
    print(*broken[:20], f"{len(told)} jobs, seed {seed}, {len(broken)} broken promises", sep="\n")
    return 1 if broken else 0


def main() -> int:
    build, mode, seed, seconds = Path(sys.argv[1]).resolve(), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    folder = Path(tempfile.mkdtemp(prefix="knapweed-scenario-"))
    processes = Processes(folder)
    try:
        return run(fleets.start_fleet(build, folder, processes), mode, seed, seconds)
    finally:
        processes.stop()


if __name__ == "__main__":
    sys.exit(main())
