"""Links between the processes of the cell. A proxy at the address that a process names to its peers forwards their connections, and can interrupt them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import re
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable

from soak.cell import PEERS, Process
from soak.store import Store
from soak.trouble import Trouble

LISTEN = 7100  # port of the process behind its proxy
CHUNK = 65536
HEAD_END = b"\r\n\r\n"
LONG_FRAME = 126  # length that says that a longer one follows
SECONDS = (1, 12)
BOTH_WAYS = ("silent", "silent", "reset")
PARTITION_S = (6, 25)  # longer than a lease and an election
APART_S = 48  # longer than an entry counts another one that it doesn't hear
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: no time to send what is left

Way = tuple[str, str]  # IP numbers of a sender and a receiver
Draw = Callable[[random.Random], Awaitable[None]]


async def read_hello(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """The first frame of the process that opened the connection, and the IP number that it contains."""
    head = await reader.readexactly(2)
    length = head[1] & 127
    if length == LONG_FRAME:
        head += await reader.readexactly(2)
        length = int.from_bytes(head[2:], "big")
    mask, payload = await reader.readexactly(4), await reader.readexactly(length)
    text = bytes(byte ^ mask[index % 4] for index, byte in enumerate(payload))
    found = re.search(rb"(127\.\d+\.\d+\.\d+):", text)
    if found is None:
        raise ConnectionResetError("first message without an address")
    return head + mask + payload, found[1].decode()


def reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Links:
    def __init__(self) -> None:
        self._held: Counter[Way] = Counter()
        self._refused: Counter[Way] = Counter()
        self._healed = asyncio.Condition()
        self._open: dict[asyncio.StreamWriter, Way] = {}
        self._servers: list[asyncio.Server] = []

    async def open_for(self, ip: str) -> None:
        self._servers.append(await asyncio.start_server(functools.partial(self._connected, ip), ip, PEERS))

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def hold(self, ways: set[Way], seconds: float) -> None:
        """Nothing arrives on these ways, as if each packet were lost. What was sent meanwhile arrives afterwards."""
        await self._interrupt(self._held, ways, seconds)

    async def refuse(self, ways: set[Way], seconds: float) -> None:
        """Connections that use one of these ways are reset, also those that are opened meanwhile."""
        for writer, (source, target) in list(self._open.items()):
            if (source, target) in ways or (target, source) in ways:
                reset(writer)
        await self._interrupt(self._refused, ways, seconds)

    async def _interrupt(self, interrupted: Counter[Way], ways: set[Way], seconds: float) -> None:
        interrupted.update(ways)
        try:
            await asyncio.sleep(seconds)
        finally:
            interrupted.subtract(ways)
            async with self._healed:
                self._healed.notify_all()

    async def _passable(self, *ways: Way) -> None:
        if any(self._held[way] > 0 for way in ways):
            async with self._healed:
                await self._healed.wait_for(lambda: all(self._held[way] == 0 for way in ways))

    async def _connected(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        onward: asyncio.StreamWriter | None = None
        try:
            answers, onward = await asyncio.open_connection(target, LISTEN)
            onward.write(await reader.readuntil(HEAD_END))
            writer.write(await answers.readuntil(HEAD_END))
            hello, source = await read_hello(reader)
            # A connection can't be opened while either of its ways is interrupted.
            await self._passable((source, target), (target, source))
            if self._refused[source, target] > 0 or self._refused[target, source] > 0:
                raise ConnectionResetError
            self._open |= {writer: (source, target), onward: (source, target)}
            onward.write(hello)
            await asyncio.gather(self._forward(reader, onward, (source, target)), self._forward(answers, writer, (target, source)))
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reset(writer)
            if onward is not None:
                reset(onward)
        finally:
            for end in filter(None, (writer, onward)):
                self._open.pop(end, None)
                end.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        try:
            while data := await reader.read(CHUNK):
                await self._passable(way)
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
            await self._passable(way)
            writer.close()
        except OSError:
            await self._passable(way)
            reset(writer)


class Cuts:
    """The kinds of faults that interrupt links."""

    def __init__(self, links: Links, store: Store, entries: list[Process], agents: list[Process], note: Callable[[str], None]) -> None:
        self.links, self.store, self.entries, self.agents, self.note = links, store, entries, agents, note
        self.kinds: dict[str, tuple[Draw, tuple[float, float]]] = {
            "links-cut": (self.links_cut, (0.5, 4)),
            "agent-cut": (self.agent_cut, (1, 4)),
            "entry-cut": (self.entry_cut, (2, 6)),
            "leader-cut": (self.leader_cut, (2, 6)),
            "leader-partition": (self.leader_partition, (4, 8)),
            "side-partition": (self.side_partition, (4, 8)),
            "regions-apart": (self.regions_apart, (4, 8)),
        }

    async def links_cut(self, rng: random.Random) -> None:
        """Some single links."""
        pairs = [(entry, other) for entry in self.entries for other in [*self.entries, *self.agents] if other is not entry]
        chosen = rng.sample(pairs, rng.randint(1, 4))
        seconds = rng.uniform(*SECONDS)
        await asyncio.gather(*(self._cut(rng, [entry], [other], seconds) for entry, other in chosen))

    async def agent_cut(self, rng: random.Random) -> None:
        """One agent from some or all of the entries."""
        agent = rng.choice(self.agents)
        count = rng.choice((len(self.entries), rng.randint(1, len(self.entries))))
        await self._cut(rng, [agent], rng.sample(self.entries, count), rng.uniform(*SECONDS))

    async def entry_cut(self, rng: random.Random) -> None:
        """One entry from the store, from all other entries and from some of the agents."""
        await self._isolate(rng, rng.choice(self.entries), rng.randint(0, len(self.agents)), rng.uniform(*SECONDS))

    async def leader_cut(self, rng: random.Random) -> None:
        """The leader from the store, from all other entries and perhaps from some of the agents."""
        for leader in self._leaders():
            await self._isolate(rng, leader, rng.randint(1, len(self.agents)), rng.uniform(*SECONDS))

    async def leader_partition(self, rng: random.Random) -> None:
        """The leader and some agents from the store, from all other entries and from the other agents."""
        for leader in self._leaders():
            await self._partition(rng, [leader, *rng.sample(self.agents, rng.randint(1, len(self.agents)))])

    async def side_partition(self, rng: random.Random) -> None:
        """The leader, other entries up to half of them and some agents from the store and from all others. The new leader has no majority then."""
        for leader in self._leaders():
            others = [entry for entry in self.entries if entry is not leader]
            entries = rng.sample(others, rng.randint(1, max(1, len(self.entries) // 2 - 1)))
            await self._partition(rng, [leader, *entries, *rng.sample(self.agents, rng.randint(1, len(self.agents) // 2))])

    async def _partition(self, rng: random.Random, side: list[Process]) -> None:
        others = [process for process in [*self.entries, *self.agents] if process not in side]
        seconds = rng.uniform(*PARTITION_S)
        cuts = [self._cut_store(rng, process, seconds) for process in side if process in self.entries]
        await asyncio.gather(self._cut(rng, side, others, seconds, BOTH_WAYS), *cuts)

    async def regions_apart(self, rng: random.Random) -> None:
        """Two halves of the entries and agents lose each other. When their entries have forgotten each other, the leader's half loses the store as well."""
        half, there = len(self.entries) // 2, rng.sample(self.agents, len(self.agents) // 2)
        entries = [self.entries[:half], self.entries[half:]]
        sides = [[*entries[0], *there], [*entries[1], *(agent for agent in self.agents if agent not in there)]]
        seconds = rng.uniform(*PARTITION_S)

        async def cut_store() -> None:
            await asyncio.sleep(APART_S)
            with_leader = next((side for side in entries if any(leader in side for leader in self._leaders())), entries[0])
            await asyncio.gather(*(self._cut_store(rng, entry, seconds) for entry in with_leader))

        await asyncio.gather(self._cut(rng, sides[0], sides[1], APART_S + seconds, BOTH_WAYS), cut_store())

    def _leaders(self) -> list[Process]:
        holder = self.store.groups["scheduler"].holders.get(0, "") if "scheduler" in self.store.groups else ""
        return [entry for entry in self.entries if holder.startswith(f"{entry.place.ip}:")]

    async def _isolate(self, rng: random.Random, entry: Process, kept: int, seconds: float) -> None:
        others = [other for other in self.entries if other is not entry] + rng.sample(self.agents, len(self.agents) - kept)
        await asyncio.gather(self._cut(rng, [entry], others, seconds), self._cut_store(rng, entry, seconds))

    async def _cut_store(self, rng: random.Random, entry: Process, seconds: float) -> None:
        troubles, trouble = self.store.own_troubles[entry.place.name], rng.choice((Trouble(unheard=1), Trouble(unheard=1), Trouble(refused=1)))
        self.note(f"{trouble} at the store for {entry.place.name} {seconds:.1f}")
        troubles.append(trouble)
        try:
            await asyncio.sleep(seconds)
        finally:
            troubles[:] = [other for other in troubles if other is not trouble]

    async def _cut(self, rng: random.Random, side: list[Process], others: list[Process], seconds: float, kinds: tuple[str, ...] = (*BOTH_WAYS, "one way", "other way")) -> None:
        there = {(one.place.ip, other.place.ip) for one in side for other in others}
        back = {(target, source) for source, target in there}
        kind = rng.choice(kinds)
        ways = {"one way": there, "other way": back}.get(kind, there | back)
        names = [" ".join(process.place.name for process in processes) for processes in (side, others)]
        self.note(f"cut {kind} {names[0]} from {names[1]} {seconds:.1f}")
        for process in [*side, *others]:
            process.history.disturb(process.place.name)
        try:
            await (self.links.refuse if kind == "reset" else self.links.hold)(ways, seconds)
        finally:
            for process in [*side, *others]:
                process.history.settle(process.place.name)
