"""A small HTTP/1.1 server and client for the stand-ins. A handler may leave a request without an answer or reset its connection."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Address = tuple[str, int]


class Silence(Exception):
    """Raised by a handler: the connection stays open and never carries anything again."""


class Reset(Exception):
    """Raised by a handler: the connection is reset."""


class Closed(Exception):
    """The server ends the connection in order."""


@dataclass
class Request:
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        value = json.loads(self.body or b"{}")
        return value if isinstance(value, dict) else {}


@dataclass
class Response:
    status: int = 200
    body: Any = field(default_factory=dict)
    closes: bool = False  # the connection, after the answer

    def data(self) -> bytes:
        return self.body if isinstance(self.body, bytes) else json.dumps(self.body).encode()


Handler = Callable[[Request], Awaitable[Response]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves one address. It can be closed, which also resets its connections, and opened again."""

    def __init__(self, address: Address, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, asyncio.Task[None]] = {}

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._connected, *self.address)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> None:
        for writer, task in list(self._open.items()):
            writer.transport.abort()
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open[writer] = task
        try:
            while True:
                await self._exchange(reader, writer)
        except (Reset, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            writer.transport.abort()
        except Closed:
            writer.close()
        except Silence:
            try:
                await reader.read()
            except (OSError, asyncio.CancelledError):
                pass
            writer.transport.abort()
        finally:
            self._open.pop(writer, None)

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        start, headers = await _read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        method, target, _ = start.split(" ", 2)
        url = urlsplit(target)
        response = await self.handler(Request(method, url.path, dict(parse_qsl(url.query, keep_blank_values=True)), headers, body))
        data = response.data()
        close = "connection: close\r\n" if response.closes else ""
        kind = "application/octet-stream" if isinstance(response.body, bytes) else "application/json"
        writer.write(f"HTTP/1.1 {response.status} X\r\ncontent-type: {kind}\r\ncontent-length: {len(data)}\r\n{close}\r\n".encode() + data)
        await writer.drain()
        if response.closes:
            writer.write_eof()
            raise Closed


class Connection:
    """Of a client. It stays open between requests unless either side says otherwise."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: Address) -> None:
        self._reader, self._writer, self._address = reader, writer, address
        self.sent_at: float | None = None  # the last byte of the current request, on the monotonic clock

    @staticmethod
    async def to(address: Address) -> Connection:
        reader, writer = await asyncio.open_connection(*address)
        return Connection(reader, writer, address)

    def is_open(self) -> bool:
        return not self._reader.at_eof() and self._reader.exception() is None and not self._writer.transport.is_closing()

    def close(self) -> None:
        self._writer.transport.abort()

    async def request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response:
        self.sent_at = None
        head = {"host": f"{self._address[0]}:{self._address[1]}", "content-length": str(len(body)), "content-type": "application/json"} | headers
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        self._writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        await self._writer.drain()
        self.sent_at = time.monotonic()
        start, answer = await _read_head(self._reader)
        length = answer.get("content-length")
        data = await (self._reader.readexactly(int(length)) if length is not None else self._reader.read())
        closes = length is None or answer.get("connection", "").lower() == "close"
        try:
            return Response(int(start.split(" ")[1]), json.loads(data or b"{}"), closes)
        except ValueError:
            return Response(int(start.split(" ")[1]), data, closes)


async def call(address: Address, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None, timeout: float = 1.0) -> Response | None:
    """One request on a connection of its own. Returns nothing if there is no answer in time."""
    connection: Connection | None = None
    try:
        async with asyncio.timeout(timeout):
            connection = await Connection.to(address)
            return await connection.request(method, path, body, {"connection": "close"} | (headers or {}))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if connection is not None:
            connection.close()
