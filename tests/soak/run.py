"""Plays a cell of real processes with faults by seed and prints each broken rule with its trace. The exit status tells whether the rules held.

Example, in tests/: python3 -B -m soak.run --build ../build --seed 3 --seconds 40 --faults foreign-reports,agent-kill"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from soak.adviser import Adviser, Times
from soak.callers import FINISH_S, Callers
from soak.cell import ADVICE, APP, CONTROL, STORE, Place, Process, settings_of
from soak.channels import Channels
from soak.endpoint import Machine, Shared
from soak.evacuations import EVACUATE_S
from soak.faults import ADVISER, APART, Faults
from soak.judge import Job, Judge, Violation, clock_text
from soak.links import LISTEN, Links
from soak.planned import CONTACT_S
from soak.store import Store

TOKEN = "soak-token"
SERVICE = "soak-service"
ZONES = ("west-a", "west-b", "west-c", "west-d")
RACK_SIZE = 3
LOCK_PORT = 19999
START_S = 20.0
TRACED = 3
TRACE_LINES = 24
TRACE_AFTER_S = 0.5
TRACE_EVENTS = (" endpoint.", "hold.failed", "start.failed", "stop.failed")


def free_net() -> tuple[int, socket.socket]:
    """A part 127.NET of the loopback network that no other run uses, and the socket that keeps it."""
    for net in range(10, 60):
        keeper = socket.socket()
        try:
            keeper.bind((f"127.{net}.0.1", LOCK_PORT))
            return net, keeper
        except OSError:
            keeper.close()
    raise SystemExit("no free part of the loopback network")


def seeds_of(places: list[Place]) -> list[str]:
    return [f"{place.ip}:{CONTROL}" for place in places if place.role == "entry"][:3]


class Cell:
    """The stand-ins and the processes of one run."""

    def __init__(self, options: argparse.Namespace, folder: Path, net: int) -> None:
        self.options, self.net = options, net
        self.judge = Judge(folder)
        self.links = Links()
        self.store = Store(random.Random(f"{options.seed}-store"))
        self.judge.evacuations.store = self.store
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.machines: list[Machine] = []
        advice: Times | None = getattr(options, "advice", None)  # scripts that drive a cell themselves have no such option
        self.adviser = Adviser(options.seed, advice, self.judge, self.machines) if advice else None
        self.store.advice = advice.policy() if advice else None
        self.shared = Shared(SERVICE, options.lease_ms, options.seed, self.judge, adviser=self.adviser)
        places = [self._place("entry", "front", index, 1 + index) for index in range(options.entries)]
        places += [self._place("agent", "side", index, 100 + index) for index in range(options.agents)]
        self.folder, self.places_made, self.entries_made = folder, 0, options.entries
        self.seeds = seeds_of(places)
        for place in places:
            (self.entries if place.role == "entry" else self.agents).append(self._process(place))
        for index, agent in enumerate(self.agents):
            ip, zone = agent.place.ip, agent.place.zone
            self.machines.append(Machine(agent.place.name, (ip, APP), (ip, CONTROL), zone, f"rack-{index // RACK_SIZE}", self.shared))
        self.channels = Channels(self.judge, self.entries, options.open_connections, options.seed) if options.open_connections else None
        self.callers = Callers(self.judge, [entry.place for entry in self.entries], TOKEN, options.seed, options.cancels, self.channels)
        self.faults = Faults(options.seed, self.judge, self.store, self.machines, self.entries, self.agents, self.replace_entry, self.callers, self.links, self.adviser)

    def _place(self, role: str, word: str, index: int, host: int) -> Place:
        zone = index % len(ZONES)
        return Place(role, f"{word}-{ZONES[zone]}-{index + 1}", f"127.{self.net}.{zone + 1}.{host}", ZONES[zone], "")

    def _process(self, place: Place) -> Process:
        place.store = f"127.{self.net}.0.1:{STORE + self.places_made}"
        place.adviser = f"127.{self.net}.0.1:{ADVICE + self.places_made}" if self.adviser is not None and place.role == "entry" else None
        self.places_made += 1
        return Process(self.options.build / "src" / "knapweedstaged", place, self.folder, self._settings(place), self.judge.findings, self.judge.history)

    def _settings(self, place: Place) -> str:
        evacuate_ms = int(EVACUATE_S * 1000) if "evacuate" in getattr(self.options, "faults", []) else None
        text = settings_of(place, self.seeds, self.options.lease_ms, SERVICE, evacuate_ms)
        return json.dumps(json.loads(text) | {"peer_listen": f"{place.ip}:{LISTEN}"}) if self.options.has_proxies else text

    async def _open_ports(self, process: Process) -> None:
        """Of the stand-ins that the process and its peers connect to."""
        if self.options.has_proxies:
            await self.links.open_for(process.place.ip)
        ip, _, port = process.place.store.partition(":")
        await self.store.open_for(process.place.name, (ip, int(port)))
        if self.adviser is not None and process.place.adviser is not None:
            ip, _, port = process.place.adviser.partition(":")
            await self.adviser.open_for((ip, int(port)))

    async def replace_entry(self, process: Process, is_planned: bool, seed_lag_s: float, is_signalled: bool) -> None:
        """An entry leaves for good, and another one comes at another address. The seeds in the settings of all processes follow after a time."""
        successor = self._process(self._place("entry", "front", self.entries_made, 1 + self.entries_made))
        self.entries_made += 1
        await self._open_ports(successor)
        if is_planned:
            successor.start()
            await asyncio.sleep(1)
        process.is_wanted = False
        leaving = asyncio.create_task(process.kill(signal.SIGTERM if is_planned else signal.SIGKILL, None))
        if not is_planned:
            await asyncio.sleep(2)
            successor.start()
        self.entries[self.entries.index(process)] = successor
        self.callers.entries[:] = [entry.place for entry in self.entries]
        await leaving
        await asyncio.sleep(seed_lag_s)
        self.seeds = seeds_of([entry.place for entry in self.entries])
        for other in self.entries + self.agents:
            other.settings.write_text(self._settings(other.place))
            if is_signalled:
                other.send(signal.SIGHUP)

    async def start(self) -> None:
        self.store.configuration(1, SERVICE, TOKEN)
        for process in self.entries + self.agents:
            await self._open_ports(process)
        for process in self.entries + self.agents:
            process.start()
        for machine in self.machines:
            await machine.power_on()
        async with asyncio.timeout(START_S):
            while not await self.callers.is_serving():
                await asyncio.sleep(0.1)

    async def play(self) -> list[Job]:
        """Returns the jobs that did not end in time."""
        seconds = self.options.seconds
        work = [self.callers.submit_for(seconds, self.options.rate), self.faults.run(self.options.faults, seconds)]
        if self.channels is None:
            await asyncio.gather(*work)
            return await self.callers.settle(self.options.settle)
        measuring = asyncio.create_task(self.channels.measure_lag())
        await asyncio.gather(*work, self.callers.ask_for(seconds))
        finish = time.monotonic() + FINISH_S
        stuck = await self.callers.settle(self.options.settle)
        await asyncio.sleep(max(0.0, finish - time.monotonic()))
        while not all(process.is_up_for(CONTACT_S) for process in self.entries + self.agents):
            await asyncio.sleep(0.1)
        await self.callers.ask_at_the_end()
        self.judge.check_cuts()
        measuring.cancel()
        self.channels.close()
        return stuck

    async def stop(self) -> None:
        await asyncio.gather(*(process.stop() for process in self.entries + self.agents))
        for server in self.store.servers + [machine.server for machine in self.machines]:
            server.close()
        if self.adviser is not None:
            self.adviser.close()
        self.links.close()


def trace(folder: Path, violation: Violation) -> list[str]:
    """The lines of all logs about the task until shortly after the violation, and what changed at the endpoints concerned. Repetitions are left out."""
    job, _, task = violation.task.partition(".")
    names = violation.agents + violation.endpoints
    lines = set()
    for log in folder.glob("*.log"):
        for line in log.read_text(errors="replace").splitlines():
            line = line.split("T", 1)[1] if line[4:5] == "-" else line
            is_of_task = violation.task in line or (f"job={job} " in line and (f"task={task} " in line or "task=" not in line) and "call=2 " not in line)
            is_of_place = any(name in line for name in names) and (" fault " in line or any(event in line for event in TRACE_EVENTS))
            if (is_of_task or is_of_place) and line[:12] <= clock_text(violation.at + TRACE_AFTER_S) and "VIOLATION" not in line:
                lines.add(f"{line[:12]} {log.stem}: {line[12:].removeprefix('Z').strip()[:260]}")
    shown: dict[str, str] = {}
    for line in sorted(lines):
        shown.setdefault(line[13:], line)
    return [f"    {line}" for line in list(shown.values())[-TRACE_LINES:]]


async def run(options: argparse.Namespace, folder: Path, net: int) -> int:
    cell = Cell(options, folder, net)
    findings: list[str] = []
    stuck: list[Job] = []
    try:
        await cell.start()
        stuck = await cell.play()
        findings = [f"STUCK job={job.id} state={job.state} count={job.count} gang={job.gang} long after the last fault" for job in stuck]
    except TimeoutError:
        findings = ["the cell did not serve in time"]
    finally:
        await cell.stop()
    judge = cell.judge
    for job in judge.jobs.values():
        if job.is_refused and job.is_started:
            judge.violated("REFUSED", judge.tasks(job)[0], "was started although all attempts to submit it were refused", [])
    by_job = {violation.task.partition(".")[0]: violation for violation in reversed(judge.violations)}
    for violation in list(reversed(by_job.values()))[:TRACED]:
        print(f"trace of {violation.rule} task={violation.task}:", *trace(folder, violation), sep="\n")
    for finding in judge.findings + findings:
        print(f"finding {finding}")
    jobs = judge.jobs.values()
    served = sum(job.succeeded_at is not None for job in jobs)
    accepted = sum(job.is_accepted for job in jobs)
    cancelled = sum(job.cancelled_at is not None for job in jobs)
    faults = ",".join(options.faults) or "none"
    rules: dict[str, str] = {}
    for rule in sorted({violation.rule for violation in judge.violations}):
        tasks = [violation.task for violation in judge.violations if violation.rule == rule]
        rules[rule] = f"{len(tasks)} in {len({task.partition('.')[0] for task in tasks})} jobs"
    print(f"seed {options.seed} faults {faults}: jobs {len(jobs)} accepted {accepted} succeeded {served} cancelled {cancelled} starts {judge.starts}", end=" ")
    if cell.channels is not None:
        print(f"on open connections {cell.channels.counts}, {judge.history.judged_answers()} answered beside SIGTERM or SIGHUP, longest cut {max((cut.ended_at - cut.sent_at for cut in judge.history.cuts), default=0):.3f} s", end=" ")
    if cell.adviser is not None:
        print(cell.adviser.summary(), end=" ")
    print(f"violations {rules or 0} logs {folder}")
    is_finished = not stuck or not options.must_finish
    return 0 if served > 0 and not judge.violations and is_finished else 1


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=Path, required=True, help="build directory with src/knapweedstaged")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30, help="time with callers and faults")
    parser.add_argument("--settle", type=float, default=30, help="time after the last fault for accepted jobs to end")
    parser.add_argument("--faults", default="", help="kinds separated by commas; 'all' or 'all-but:KIND+KIND' stands for those without cut links; see --list")
    parser.add_argument("--list", action="store_true", help="print the kinds of faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=9)
    parser.add_argument("--rate", type=float, default=1.2, help="jobs a second")
    parser.add_argument("--cancels", type=float, default=0.2, help="share of the jobs that their callers cancel, at any time")
    parser.add_argument("--lease-ms", type=int, default=6000)
    parser.add_argument("--advice", help="the queue needs advice, with these milliseconds: a call, each endpoint named, a ticket's validity; such as 100,50,3000")
    parser.add_argument("--open-connections", type=int, default=0, help="connections that callers keep open; with them, cut requests and unknown jobs at the end are judged")
    parser.add_argument("--must-finish", action="store_true", help="fail if an accepted job has not ended when the time to settle is over")
    parser.add_argument("--logs", type=Path, help="directory for the logs; by default a new one")
    options = parser.parse_args()
    options.build = options.build.resolve()
    folder = options.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    faults = Faults(0, None, None, [], [], [], None, None, Links())  # type: ignore[arg-type]
    known = list(faults.kinds)
    if options.list:
        print(*known, sep="\n")
        return 0
    kinds: list[str] = []
    for item in options.faults.split(","):
        if item.startswith("all"):
            left_out = faults.cut_kinds + APART + item.partition(":")[2].split("+")
            kinds += [kind for kind in known if kind not in left_out and (kind == "foreign-reports" or not kind.startswith("foreign-"))]
        elif item:
            kinds.append(item)
    options.faults = list(dict.fromkeys(kinds))  # the jobs of two series of one kind would have the same names
    unknown = [kind for kind in options.faults if kind not in known]
    if unknown:
        parser.error(f"unknown kinds of faults: {', '.join(unknown)}")
    options.advice = Times(*(int(word) for word in options.advice.split(","))) if options.advice else None
    if options.advice is None and any(kind in ADVISER for kind in options.faults):
        parser.error("faults of the adviser need --advice")
    options.has_proxies = any(kind in faults.cut_kinds for kind in options.faults)
    net, keeper = free_net()
    with keeper:
        return asyncio.run(run(options, folder, net))


if __name__ == "__main__":
    sys.exit(main())
