"""The placement adviser: which endpoints may run a step, and the tickets without which they start none of its tasks."""

from __future__ import annotations

import asyncio
import random
import time
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.httplite import Address, Request, Response, Server
from soak.judge import Judge
from soak.trouble import Trouble, serve

if TYPE_CHECKING:
    from soak.endpoint import Boot, Machine

MOST_NAMED, MOST_WAITING = 100, 32


@dataclass
class Times:
    """As the configuration states them."""

    decide_ms: int
    each_ms: int
    valid_ms: int

    def policy(self) -> dict[str, int]:
        return {"decideMs": self.decide_ms, "eachMs": self.each_ms, "validMs": self.valid_ms}


class Caller:
    """A calling machine. Its calls are processed one at a time, in turn."""

    def __init__(self) -> None:
        self.turn = asyncio.Lock()
        self.waiting = 0


class Adviser:
    def __init__(self, seed: int, times: Times, judge: Judge, machines: list[Machine]) -> None:
        self.times, self.judge, self.machines = times, judge, machines
        self.rng = random.Random(f"{seed}-adviser")
        # The page leaves both open.
        self.drops_abandoned = self.rng.random() < 0.5
        self.counts_from_call = self.rng.random() < 0.5
        self.troubles: list[Trouble] = []
        self.slowness = 1.0
        self.servers: list[Server] = []
        self.tickets: dict[tuple[str, str, Boot], float] = {}  # by ticket, step and endpoint: until when it is valid
        self.work: set[asyncio.Task[Response]] = set()
        self.calls = self.refused = self.named = self.rejected_starts = 0

    async def open_for(self, address: Address) -> None:
        """Each calling machine has an address of its own."""
        caller = Caller()
        server = Server(address, lambda request: self._handle(caller, request))
        await server.open()
        self.servers.append(server)

    def allows(self, step: str, machine: Machine) -> bool:
        """Two machines of three, so that every job finds endpoints."""
        return (self.machines.index(machine) + zlib.crc32(step.encode())) % 3 != 0

    def is_valid(self, ticket: str, step: str, boot: Boot) -> bool:
        is_valid = time.monotonic() <= self.tickets.get((ticket, step, boot), 0.0)
        self.rejected_starts += not is_valid
        return is_valid

    async def _handle(self, caller: Caller, request: Request) -> Response:
        body = request.json()
        step, workers, called_at = str(body.get("step", "")), body.get("workers"), time.monotonic()
        self.calls += 1
        if request.path != "/-/advise" or not isinstance(workers, list) or len(workers) > MOST_NAMED:
            self.judge.findings.append(f"ADVICE a call that the page doesn't allow: {request.path} {str(body)[:200]}")
            return Response(400, {})
        if caller.waiting >= MOST_WAITING:
            self.refused += 1
            return Response(429, {})
        # Until it is carried out, a call is not bound to its connection.
        work = asyncio.create_task(self._process(caller, step, workers, called_at))
        self.work.add(work)
        work.add_done_callback(self.work.discard)
        try:
            answer = await (work if self.drops_abandoned else asyncio.shield(work))
        except asyncio.CancelledError:
            self.judge.note(f"advice on {step}: the caller has gone")
            raise
        return await serve(self.troubles, self.rng, request, lambda is_late: answer)

    async def _process(self, caller: Caller, step: str, workers: list[str], called_at: float) -> Response:
        caller.waiting += 1
        try:
            await caller.turn.acquire()
        finally:
            caller.waiting -= 1
        try:
            self.named += len(workers)
            await asyncio.sleep(self.slowness * (self.times.decide_ms + self.times.each_ms * len(workers)) / 1000)
        finally:
            caller.turn.release()
        good = []
        valid_until = (called_at if self.counts_from_call else time.monotonic()) + self.times.valid_ms / 1000
        for machine in self.machines:
            boot = machine.boot
            if boot is not None and boot.id in workers and self.allows(step, machine):
                ticket = f"t-{self.rng.getrandbits(40):010x}"
                self.tickets[(ticket, step, boot)] = valid_until
                good.append([boot.id, ticket])
        self.judge.note(f"advice on {step} for {len(workers)}: {len(good)} allowed, {time.monotonic() - called_at:.2f} s after the call, {caller.waiting} wait")
        return Response(200, {"good": good})

    async def be_slow(self, factor: float, seconds: float) -> None:
        self.slowness = factor
        await asyncio.sleep(seconds)
        self.slowness = 1.0

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for work in self.work:
            work.cancel()

    def summary(self) -> str:
        return f"advice calls {self.calls} refused {self.refused} named {self.named} starts rejected {self.rejected_starts}"
