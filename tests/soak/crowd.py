"""A crowd of misbehaving clients: connections that stay open until the crowd is closed, whatever the server does with them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from soak.httplite import Address

CONNECT_S = 10.0
SEND_S = 20.0  # after which a member stops sending; the server may read slowly or not at all
WAVE = 50  # connections that are opened at once
UNREAD_BYTES = 4096  # a member stops reading after twice as much


class Crowd:
    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def _member(self, address: Address, parts: AsyncIterator[bytes], reads: bool) -> None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=UNREAD_BYTES), CONNECT_S)
            self._writers.append(writer)
            if reads:
                self._tasks.append(asyncio.create_task(self._read(reader)))
            else:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            async with asyncio.timeout(SEND_S):
                async for part in parts:
                    writer.write(part)
                    await writer.drain()
        except (OSError, TimeoutError):
            pass  # refused, closed or not read from: allowed

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    async def send(self, address: Address, count: int, parts: list[bytes], pause_s: float = 0.0, reads: bool = True) -> None:
        """Each member sends all parts, with pauses between them. Returns when all have sent what the server takes."""

        async def paced() -> AsyncIterator[bytes]:
            for number, part in enumerate(parts):
                if number and pause_s:
                    await asyncio.sleep(pause_s)
                yield part

        members = []
        for number in range(count):
            if number and number % WAVE == 0:
                await asyncio.sleep(0.05)
            members.append(asyncio.create_task(self._member(address, paced(), reads)))
        await asyncio.gather(*members)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()
        self._tasks.clear()
        self._writers.clear()


def request_head(method: str, path: str, host: str, headers: dict[str, str]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in ({"host": host} | headers).items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
