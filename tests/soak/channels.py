"""Connections that callers keep open, and use until the process at their other end is gone or says that it closes them."""

from __future__ import annotations

import asyncio
import random
import time

from soak.cell import FRONT, Process
from soak.httplite import Connection, Response
from soak.judge import Judge
from soak.planned import Cut

LAG_S = 0.02


class Channel:
    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.entry = ""
        self.answers = 0
        self.is_busy = False

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Channels:
    def __init__(self, judge: Judge, entries: list[Process], count: int, seed: int) -> None:
        self.judge, self.entries = judge, entries
        self.rng = random.Random(f"{seed}-channels")
        self.channels = [Channel() for _ in range(count)]
        self.lags: list[tuple[float, float]] = []  # when this process was late, and by how much
        self.counts = {"answered": 0, "cut": 0, "late": 0, "refused": 0}

    async def measure_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_S)
            lag = time.monotonic() - before - LAG_S
            if lag > LAG_S:
                self.lags.append((time.monotonic(), lag))

    async def request(self, method: str, path: str, body: bytes, headers: dict[str, str], timeout: float) -> tuple[str, Response | None] | None:
        """Returns nothing if no connection is idle."""
        idle = [channel for channel in self.channels if not channel.is_busy]
        if not idle:
            return None
        channel = self.rng.choice(idle)
        channel.is_busy = True
        try:
            answer = await self._exchange(channel, method, path, body, headers, timeout)
            return channel.entry, answer
        finally:
            channel.is_busy = False

    async def _exchange(self, channel: Channel, method: str, path: str, body: bytes, headers: dict[str, str], timeout: float) -> Response | None:
        connection = channel.connection
        try:
            async with asyncio.timeout(timeout):
                if connection is None or not connection.is_open():
                    connection = None
                    channel.close()
                    entry = self.rng.choice(self.entries).place
                    channel.entry, channel.answers = entry.name, 0
                    connection = channel.connection = await Connection.to((entry.ip, FRONT))
                answer = await connection.request(method, path, body, headers)
        except TimeoutError:
            self.counts["late"] += 1
            channel.close()
            return None
        except (OSError, asyncio.IncompleteReadError) as error:
            if connection is not None and connection.sent_at is not None:
                self._cut(channel, connection.sent_at, method, path, timeout, error)
            else:
                self.counts["refused"] += 1
            channel.close()
            return None
        except asyncio.CancelledError:
            channel.close()
            raise
        self.counts["answered"] += 1
        channel.answers += 1
        self.judge.history.answers.setdefault(channel.entry, []).append(connection.sent_at or 0)
        if answer.closes:
            channel.close()
        return answer

    def _cut(self, channel: Channel, sent_at: float, method: str, path: str, timeout: float, error: Exception) -> None:
        """The end was seen late by as much as this process was late itself."""
        now = time.monotonic()
        self.counts["cut"] += 1
        lag = max((lag for at, lag in self.lags if at >= sent_at), default=0.0)
        after_ms, job = int((now - sent_at) * 1000), path.rpartition("/")[2]
        text = f"{method} to {channel.entry}, after {channel.answers} answers on its connection, was cut after {after_ms} ms (this process late by {int(lag * 1000)} ms): {error!r}"
        self.judge.note(f"cut job={job} {text}")
        self.judge.history.cuts.append(Cut(channel.entry, job, text, sent_at, now - lag, timeout))

    def close(self) -> None:
        for channel in self.channels:
            channel.close()
