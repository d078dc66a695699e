"""Faults by seed. Each kind runs in a series of its own, so that faults of several kinds overlap."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable

from soak.adviser import Adviser
from soak.callers import Callers
from soak.cell import Process
from soak.endpoint import Boot, Machine
from soak.judge import Judge
from soak.links import Cuts, Links
from soak.store import Store
from soak.trouble import Trouble

FOREIGN_GAP_S = (0.1, 0.5)  # about 2.6 s for each of 9 agents
QUICK_RESTART_S = (0.001, 0.03)
# No part of 'all', so that the commands on record play what they played.
APART = ["agent-restart", "entry-restart", "leader-restart", "entries-away", "cell-kill", "store-away-pause", "store-leader-away", "store-reassign-at-once"]
ADVISER = ["adviser-slow", "adviser-refuses", "adviser-away", "adviser-lost"]
APART += ADVISER
# Work of the operator. These are no impairments; all others are.
PLANNED = ["entries-roll", "entries-stop", "entry-hup", "entries-hup", "config-change", "config-series", "evacuate"]
APART += [kind for kind in PLANNED if kind != "config-change"]


# process, whether it is planned, seconds until the settings name the new seeds, whether SIGHUP says so
ReplaceEntry = Callable[[Process, bool, float, bool], Awaitable[None]]


class Faults:
    def __init__(
        self,
        seed: int,
        judge: Judge,
        store: Store,
        machines: list[Machine],
        entries: list[Process],
        agents: list[Process],
        replace_entry: ReplaceEntry,
        callers: Callers,
        links: Links,
        adviser: Adviser | None = None,
    ) -> None:
        self.seed, self.judge, self.store, self.machines, self.entries, self.agents = seed, judge, store, machines, entries, agents
        self.replace, self.adviser = replace_entry, adviser
        self.version = 1
        self.kinds: dict[str, tuple[Callable[[random.Random], Awaitable[None]], tuple[float, float]]] = {
            "agent-kill": (self.agent_kill, (1, 4)),
            "agent-away": (self.agent_away, (5, 12)),
            "agent-pause": (lambda rng: self.pause(rng, self.agents), (0.5, 3)),
            "agent-throttle": (lambda rng: self.throttle(rng, self.agents), (0.1, 1)),
            "agent-restart": (lambda rng: self.restart(rng, self.agents), (0.5, 3)),
            "entry-kill": (self.entry_kill, (4, 10)),
            "entry-restart": (lambda rng: self.restart(rng, self.entries), (2, 6)),
            "leader-kill": (self.leader_kill, (9, 14)),
            "leader-restart": (lambda rng: self.leader_kill(rng, QUICK_RESTART_S), (5, 10)),
            "entries-away": (self.entries_away, (6, 12)),
            "cell-kill": (self.cell_kill, (6, 12)),
            "entry-replace": (self.entry_replace, (0.5, 4)),
            "entry-pause": (lambda rng: self.pause(rng, self.entries), (2, 6)),
            "entry-throttle": (lambda rng: self.throttle(rng, self.entries), (1, 4)),
            "endpoint-crash": (lambda rng: self.endpoint_crash(rng, False), (1, 4)),
            "endpoint-restart": (lambda rng: self.endpoint_crash(rng, True), (1, 4)),
            "endpoint-leave": (self.endpoint_leave, (2, 6)),
            "answers-lost": (lambda rng: self.endpoint_trouble(rng, Trouble(lost=0.5)), (0.5, 3)),
            "answers-mute": (lambda rng: self.endpoint_trouble(rng, Trouble(lost=1), (8, 16)), (0.5, 3)),
            "mute-leader-kill": (self.mute_leader_kill, (2, 6)),
            "answers-slow": (lambda rng: self.endpoint_trouble(rng, Trouble(slow_s=1.5)), (0.5, 3)),
            "orders-late": (lambda rng: self.endpoint_trouble(rng, Trouble(late=0.5)), (0.5, 3)),
            "orders-refused": (lambda rng: self.endpoint_trouble(rng, Trouble(refused=0.6)), (0.5, 3)),
            "endpoint-reset": (lambda rng: self.endpoint_trouble(rng, Trouble(reset=0.5)), (0.5, 3)),
            "endpoint-closes": (self.endpoint_closes, (0.1, 2)),
            "store-away": (lambda rng: self.store_trouble(rng, self.away(rng), False), (4, 10)),
            "store-away-pause": (self.store_away_pause, (4, 10)),
            "store-slow": (lambda rng: self.store_trouble(rng, Trouble(slow_s=0.8), False), (4, 10)),
            "store-lost": (lambda rng: self.store_trouble(rng, Trouble(lost=0.3, late=0.1, late_s=(0.5, 4)), False), (3, 8)),
            "store-one-away": (lambda rng: self.store_trouble(rng, self.away(rng), True), (1, 4)),
            "store-leader-away": (self.store_leader_away, (3, 8)),
            "store-one-lost": (lambda rng: self.store_trouble(rng, Trouble(lost=0.5, late=0.2, late_s=(0.5, 4)), True), (1, 4)),
            "store-reassign": (self.store_reassign, (3, 10)),
            "store-reassign-at-once": (self.store_reassign_at_once, (3, 10)),
            "adviser-slow": (self.adviser_slow, (2, 6)),
            "adviser-refuses": (lambda rng: self.adviser_trouble(rng, Trouble(refused=1)), (2, 6)),
            "adviser-away": (lambda rng: self.adviser_trouble(rng, self.away(rng)), (4, 10)),
            "adviser-lost": (lambda rng: self.adviser_trouble(rng, Trouble(lost=0.5)), (2, 6)),
            "lasting-cancel": (lambda rng: callers.cancel_lasting(rng), (0.5, 3)),
            "entries-roll": (self.entries_roll, (0.5, 4)),
            "entries-stop": (self.entries_stop, (4, 9)),
            "entry-hup": (lambda rng: self.tell_of_settings(rng, [rng.choice(self.entries)]), (0.3, 3)),
            "entries-hup": (lambda rng: self.tell_of_settings(rng, self.entries), (2, 5)),
            "config-series": (self.config_series, (2, 6)),
            "config-change": (self.config_change, (2, 6)),
            "evacuate": (self.evacuate, (0.5, 3)),
            "foreign-reports": (lambda rng: self.foreign_report(rng, None), FOREIGN_GAP_S),
        }
        cuts = Cuts(links, store, entries, agents, self.note)
        self.cut_kinds = list(cuts.kinds)
        self.kinds |= cuts.kinds
        for name in FOREIGN:
            self.kinds[f"foreign-{name}"] = (lambda rng, name=name: self.foreign_report(rng, name), FOREIGN_GAP_S)  # type: ignore[misc]

    async def run(self, kinds: list[str], seconds: float) -> None:
        end = time.monotonic() + seconds
        await asyncio.gather(*(self._series(kind, end) for kind in kinds))

    async def _series(self, kind: str, end: float) -> None:
        rng = random.Random(f"{self.seed}-{kind}")
        strike, gap = self.kinds[kind]
        while True:
            await asyncio.sleep(rng.uniform(*gap))
            if time.monotonic() >= end:
                return
            with contextlib.nullcontext() if kind in PLANNED else self.judge.history.impaired():
                await strike(rng)

    def note(self, text: str) -> None:
        self.judge.note(f"fault {text}")

    async def agent_kill(self, rng: random.Random) -> None:
        await self._kill(rng, rng.choice(self.agents), None)

    async def agent_away(self, rng: random.Random) -> None:
        """Longer than a lease."""
        await self._kill(rng, rng.choice(self.agents), rng.uniform(4, 12))

    async def entry_kill(self, rng: random.Random) -> None:
        await self._kill(rng, rng.choice(self.entries), None)

    async def restart(self, rng: random.Random, processes: list[Process]) -> None:
        """At the same address, before its peers miss it."""
        await self._kill(rng, rng.choice(processes), rng.uniform(*QUICK_RESTART_S))

    async def leader_kill(self, rng: random.Random, away_s: tuple[float, float] = (0.3, 2)) -> None:
        """The entry that holds the partition by which the leader is chosen."""
        for entry in self._leaders():
            await self._kill(rng, entry, rng.uniform(*away_s))

    async def entries_away(self, rng: random.Random) -> None:
        """All of them, for about the length of a lease."""
        seconds = rng.uniform(2, 12)
        await asyncio.gather(*(self._kill(rng, entry, seconds) for entry in self.entries))

    async def cell_kill(self, rng: random.Random) -> None:
        """All entries and agents; the endpoints run on."""
        await asyncio.gather(*(self._kill(rng, process, None) for process in self.entries + self.agents))

    async def entries_roll(self, rng: random.Random) -> None:
        """SIGTERM of each entry in turn. The next one may get it before this one is up again."""
        for entry in rng.sample(self.entries, len(self.entries)):
            self.note(f"SIGTERM {entry.place.name} in turn")
            await entry.kill(signal.SIGTERM, rng.uniform(0.05, 1.5))
            await asyncio.sleep(rng.uniform(0, 3))

    async def entries_stop(self, rng: random.Random) -> None:
        """SIGTERM of all entries, faster than the first one ends."""
        stops = []
        for entry in rng.sample(self.entries, len(self.entries)):
            self.note(f"SIGTERM {entry.place.name} with the others")
            stops.append(asyncio.create_task(entry.kill(signal.SIGTERM, rng.uniform(0.05, 5))))
            await asyncio.sleep(rng.uniform(0, 1.5))
        await asyncio.gather(*stops)

    async def tell_of_settings(self, rng: random.Random, processes: list[Process]) -> None:
        """Several signals, close together or apart."""
        for _ in range(rng.choice((1, 1, 2, 4))):
            for process in processes:
                process.send(signal.SIGHUP)
            await asyncio.sleep(rng.choice((0, rng.uniform(0, 0.5))))

    def _leaders(self) -> list[Process]:
        holder = self.store.groups["scheduler"].holders.get(0, "") if "scheduler" in self.store.groups else ""
        return [entry for entry in self.entries if holder.startswith(f"{entry.place.ip}:")]

    async def mute_leader_kill(self, rng: random.Random) -> None:
        """The leader changes while an endpoint at work does not answer, for longer than a recovery."""
        machine = rng.choice([machine for machine in self.machines if machine.boot is not None and machine.boot.runs] or self.machines)
        self.note(f"no answers at {machine.name}")
        seconds = machine.lease_ms / 1000 + rng.uniform(3, 10)
        muted = asyncio.create_task(self._trouble(machine.troubles, Trouble(lost=1), seconds))
        await asyncio.sleep(rng.uniform(0, 3))
        await self.leader_kill(rng)
        await muted

    async def entry_replace(self, rng: random.Random) -> None:
        """All entries, faster than news of the new ones spreads."""
        replacements = []
        for process in rng.sample(self.entries, len(self.entries)):
            is_planned = rng.random() < 0.5
            self.note(f"replace {process.place.name} {'planned' if is_planned else 'lost'}")
            replacements.append(asyncio.create_task(self.replace(process, is_planned, rng.uniform(0, 3), rng.random() < 0.5)))
            await asyncio.sleep(rng.uniform(0.5, 1.7))
        await asyncio.gather(*replacements)

    async def _kill(self, rng: random.Random, process: Process, away_s: float | None) -> None:
        number = rng.choice((signal.SIGKILL, signal.SIGKILL, signal.SIGTERM))
        self.note(f"{number.name} {process.place.name} away {away_s or 0:.3f}")
        await process.kill(number, away_s)

    async def pause(self, rng: random.Random, processes: list[Process]) -> None:
        process, seconds = rng.choice(processes), rng.uniform(0.5, 8)
        self.note(f"pause {process.place.name} {seconds:.1f}")
        process.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send(signal.SIGCONT)

    async def throttle(self, rng: random.Random, processes: list[Process]) -> None:
        """Some processes get short turns of the processor only."""
        await asyncio.gather(*(self._throttle(rng, process) for process in rng.sample(processes, 1 + len(processes) // 4)))

    async def _throttle(self, rng: random.Random, process: Process) -> None:
        end = time.monotonic() + rng.uniform(1, 5)
        self.note(f"throttle {process.place.name}")
        while time.monotonic() < end:
            turn = 0.0001 * 300 ** rng.random()
            if turn < 0.001:
                time.sleep(turn)  # the event loop's timers are too coarse
            else:
                await asyncio.sleep(turn)
            process.send(signal.SIGSTOP, is_noted=False)
            try:
                await asyncio.sleep(rng.uniform(0.05, 0.9))
            finally:
                process.send(signal.SIGCONT, is_noted=False)

    async def endpoint_leave(self, rng: random.Random) -> None:
        machine = rng.choice(self.machines)
        self.note(f"leave {machine.name}")
        await machine.leave(2.0)
        await asyncio.sleep(rng.uniform(0.05, 2.5))
        if machine.boot is None:
            await machine.power_on(None)

    async def endpoint_crash(self, rng: random.Random, keeps_id: bool) -> None:
        machine = rng.choice(self.machines)
        if machine.boot is None:
            return
        identity = machine.boot.id if keeps_id else None
        machine.power_off()
        await asyncio.sleep(rng.uniform(0.05, 2.5))
        if machine.boot is None:
            await machine.power_on(identity)

    async def endpoint_trouble(self, rng: random.Random, trouble: Trouble, length_s: tuple[float, float] = (0.5, 5)) -> None:
        machine, seconds = rng.choice(self.machines), rng.uniform(*length_s)
        self.note(f"{trouble} at {machine.name} {seconds:.1f}")
        await self._trouble(machine.troubles, trouble, seconds)

    async def endpoint_closes(self, rng: random.Random) -> None:
        """All endpoints: most calls need a new connection."""
        trouble = Trouble(closes=0.7)
        self.note(f"{trouble} at all endpoints")
        await asyncio.gather(*(self._trouble(machine.troubles, trouble, 8) for machine in self.machines))

    def away(self, rng: random.Random) -> Trouble:
        return rng.choice((Trouble(refused=1), Trouble(reset=1), Trouble(unheard=1)))

    async def store_trouble(self, rng: random.Random, trouble: Trouble, is_one: bool) -> None:
        whom, seconds = rng.choice(sorted(self.store.own_troubles)) if is_one else "", rng.uniform(0.5, 6)
        self.note(f"{trouble} at the store for {whom or 'all'} {seconds:.1f}")
        await self._trouble(self.store.own_troubles[whom] if is_one else self.store.troubles, trouble, seconds)

    async def store_away_pause(self, rng: random.Random) -> None:
        """No membership expires while the store is away."""
        self.note("memberships pause")
        self.store.pause_memberships()
        try:
            await self.store_trouble(rng, self.away(rng), False)
        finally:
            self.store.resume_memberships()

    async def store_leader_away(self, rng: random.Random) -> None:
        """The store rejects the leader alone, and ends its membership at once."""
        trouble, seconds = self.away(rng), rng.uniform(2, 9)
        for entry in self._leaders():
            self.note(f"{trouble} at the store for {entry.place.name} {seconds:.1f}, leadership revoked")
            self.store.revoke(self.store.groups["scheduler"], 0)
            await self._trouble(self.store.own_troubles[entry.place.name], trouble, seconds)

    async def _trouble(self, troubles: list[Trouble], trouble: Trouble, seconds: float) -> None:
        troubles.append(trouble)
        try:
            await asyncio.sleep(seconds)
        finally:
            troubles[:] = [other for other in troubles if other is not trouble]

    async def adviser_slow(self, rng: random.Random) -> None:
        factor, seconds = rng.uniform(2, 6), rng.uniform(1, 6)
        self.note(f"adviser slow x{factor:.1f} {seconds:.1f}")
        if self.adviser is not None:
            await self.adviser.be_slow(factor, seconds)

    async def adviser_trouble(self, rng: random.Random, trouble: Trouble) -> None:
        seconds = rng.uniform(0.5, 6)
        self.note(f"{trouble} at the adviser {seconds:.1f}")
        if self.adviser is not None:
            await self._trouble(self.adviser.troubles, trouble, seconds)

    async def store_reassign(self, rng: random.Random) -> None:
        self.note("reassign")
        for group in self.store.groups.values():
            self.store.rebalance(group, shift=True)

    async def store_reassign_at_once(self, rng: random.Random) -> None:
        self.note("reassign at once")
        for group in self.store.groups.values():
            self.store.reassign_at_once(group)

    async def config_change(self, rng: random.Random) -> None:
        self.version += rng.randrange(1, 4)
        self.note(f"configuration {self.version}")
        self.judge.history.changes.append(time.monotonic())
        self.store.configuration(self.version, self.machines[0].service, "soak-token")

    async def config_series(self, rng: random.Random) -> None:
        for _ in range(rng.randrange(2, 8)):
            await self.config_change(rng)
            await asyncio.sleep(rng.uniform(0, 0.6))

    async def evacuate(self, rng: random.Random) -> None:
        await self.judge.evacuations.strike(rng, sorted({machine.zone for machine in self.machines}), self.note)

    async def foreign_report(self, rng: random.Random, name: str | None) -> None:
        """A report of another writer, or a delayed one of an earlier life, at an agent's report address."""
        machine = rng.choice(self.machines)
        if machine.boot is None:
            return
        name = name or rng.choice(sorted(FOREIGN))
        drawn = draw_foreign(rng, name, machine, rng.choice(self.machines))
        if drawn is not None:
            identity, body = drawn
            self.note(f"foreign report {name} at {machine.name} as {identity}: {body[:240]!r}")
            with contextlib.suppress(OSError):
                await machine.send_report(identity, body)


def other_type(rng: random.Random) -> object:
    return rng.choice(("17", None, [], {}, True, -1, 1.5, "", [1, "x"]))


FOREIGN = {
    # name: the fields that are wrong for certain; the id, born and seq vary in all of them
    "service": ("service",),
    "state": ("state",),
    "missing": ("capacity", "labels", "zone", "address", "version", "slots", "coldLeftMs", "clockMs", "born", "seq", "service", "state"),
    "type": ("capacity", "labels", "zone", "address", "version", "slots", "coldLeftMs", "clockMs", "born", "seq", "service", "state"),
    "number": ("slots", "coldLeftMs", "clockMs", "seq", "born", "capacity"),
    "port": ("address",),
    "deep": (),
    "bytes": (),
    "delayed": (),
}


def draw_foreign(rng: random.Random, name: str, machine: Machine, other: Machine) -> tuple[str, bytes] | None:
    boot = machine.boot
    assert boot is not None
    if name == "delayed":
        return delayed_report(rng, machine)
    stranger = other.boot.id if other.boot is not None else "i-00000000"
    identity = rng.choice((boot.id, boot.id, stranger, f"i-{rng.getrandbits(32):08x}"))
    if name == "bytes":
        return identity, rng.choice((b"", b"\xff\xfe\x00", b'{"service":', b"[]", b'"ready"', rng.randbytes(40)))
    report = machine.report(boot)
    boot.sequence -= 1
    if name == "deep":
        depth = rng.choice((100, 10_000, 400_000))
        return identity, json.dumps(report)[:-1].encode() + b',"extra":' + b"[" * depth + b"]" * depth + b"}"
    report["born"] = boot.born + rng.choice((0, 0, -60_000, 60_000, 1, int(1000 * (time.time() - boot.born / 1000))))
    report["seq"] = boot.sequence + rng.choice((-1, 0, 1, 1, 1000, 1_000_000))
    report["capacity"] = rng.choice((report["capacity"], report["capacity"], {}, {"cpu": 1, "memMb": 1, "gpu": 0}))
    if rng.random() < 0.1:
        report |= {"state": "draining", "remainingMs": rng.choice((0, 0, 2000))}
    wrong = rng.choice(FOREIGN[name])
    if name == "service":
        report["service"] = rng.choice(("other-service", "-", "fitline2"))
        report["capacity"] = rng.choice((report["capacity"], {"cpu": 999_000, "memMb": 999_000, "gpu": 64}))
    elif name == "state":
        report["state"] = rng.choice(("starting", "unknown", "READY", "stopped"))
    elif name == "number":
        large = rng.choice((2**63 - 1, 2**64, 1e300, 2**53 + 1))
        report[wrong] = {"cpu": large, "memMb": large, "gpu": large} if wrong == "capacity" else large
    elif name == "port":
        report["address"] = rng.choice(("10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1"))
    elif name == "missing":
        del report[wrong]
    else:
        report[wrong] = other_type(rng)
    return identity, json.dumps(report).encode()


def delayed_report(rng: random.Random, machine: Machine) -> tuple[str, bytes] | None:
    if not machine.earlier:
        return None
    boot: Boot = rng.choice(machine.earlier[-3:])
    return boot.id, json.dumps(machine.report(boot)).encode()
