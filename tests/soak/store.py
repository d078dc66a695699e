"""The platform's store: partitioned logs, keyed topics and groups. Each process may reach it at a port of its own, so that troubles can affect one process."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import time
from collections import deque
from dataclasses import dataclass, field

from soak.httplite import Address, Request, Response, Server
from soak.trouble import Trouble, serve

PARTS = 12
CALL_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclass
class Producer:
    epoch: int
    sequence: int | None = None  # of the last append; none if the epoch has only been set
    answers: deque[tuple[int, dict[str, int]]] = field(default_factory=lambda: deque(maxlen=5))


@dataclass
class Partition:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    first: int = 0  # oldest record that has not been deleted


@dataclass
class Member:
    expires: float
    since: int  # order of joining


@dataclass
class Group:
    generation: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    holders: dict[int, str] = field(default_factory=dict)
    target: dict[int, str] = field(default_factory=dict)
    joins: int = 0
    turn: int = 0


class Store:
    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.groups: dict[str, Group] = {}
        self.troubles: list[Trouble] = []  # of all callers
        self.own_troubles: dict[str, list[Trouble]] = {}  # by caller
        self.servers: list[Server] = []
        self.advice: dict[str, int] | None = None  # of the queue, in the configuration
        self.paused_at: float | None = None
        self.paused_s = 0.0
        self._troubled_at = 0.0  # when a call last met a trouble of all callers

    async def open_for(self, caller: str, address: Address) -> None:
        own = self.own_troubles.setdefault(caller, [])

        async def handle(request: Request) -> Response:
            await asyncio.sleep(CALL_S)
            self.troubled_at()
            await self._wait_for_records(request)
            return await serve(self.troubles + own, self.rng, request, lambda is_late: self.execute(request))

        server = Server(address, handle)
        await server.open()
        self.servers.append(server)

    def troubled_at(self) -> float:
        """When all callers last had a trouble, as far as calls have shown it. Entries call all the time."""
        if self.troubles:
            self._troubled_at = time.monotonic()
        return self._troubled_at

    def forget(self, topic: str) -> None:
        """Deletes the log of the topic. The newest record of each key stays in its list."""
        partition = self.partition(topic)
        partition.first = len(partition.records)

    def partition(self, topic: str, part: int = 0) -> Partition:
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        self._append(topic, self.partition(topic), [bytes([len(key)]) + key.encode() + value])

    def execute(self, request: Request) -> Response:
        topic, part = request.query.get("topic", ""), int(request.query.get("part", "0"))
        if request.path == "/-/log-append":
            return self._log_append(request, topic, self.partition(topic, part))
        if request.path == "/-/log-read":
            return self._log_read(request, self.partition(topic, part))
        if request.path == "/-/log-newest":
            return self._log_newest(request, self.partition(topic, part))
        if request.path == "/-/log-join":
            return self._log_join(request)
        if request.path == "/-/log-leave":
            return self._log_leave(request)
        if request.path == "/-/log-owners":
            group = self._group(request.query.get("group", ""))
            rows = [["turn", number, member, 0] for number, member in sorted(group.holders.items())]
            return Response(200, {"owners": rows})
        return Response(404, {})

    def _append(self, topic: str, partition: Partition, records: list[bytes]) -> None:
        for record in records:
            if topic.startswith("keyed."):
                length = record[0]
                key, value = record[1 : 1 + length].decode(), record[1 + length :]
                partition.newest.pop(key, None)
                if value:
                    partition.newest[key] = (value, len(partition.records))
            partition.records.append(record)
        for waiter in partition.waiters:
            if not waiter.done():
                waiter.set_result(None)
        partition.waiters.clear()

    def _log_append(self, request: Request, topic: str, partition: Partition) -> Response:
        records, at, body = [], 0, request.body
        while at < len(body):
            length = int.from_bytes(body[at : at + 4], "big")
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        name = request.query.get("producer")
        producer: Producer | None = None
        sequence = int(request.query.get("seq", "0"))
        if name is not None:
            epoch = int(request.query.get("epoch", "0"))
            producer = partition.producers.setdefault(name, Producer(epoch))
            if epoch < producer.epoch:
                return Response(409, {"reason": "fenced"})
            if epoch > producer.epoch:
                producer = partition.producers[name] = Producer(epoch)
            for answered, answer in producer.answers:
                if records and answered == sequence:
                    return Response(200, answer)
            if records and producer.sequence is not None and sequence != producer.sequence + 1:
                return Response(409, {"reason": "seq", "seq": producer.sequence + 1})
        offset = len(partition.records)
        self._append(topic, partition, records)
        answer = {"offset": offset, "end": len(partition.records)}
        if producer is not None and records:
            producer.sequence = sequence
            producer.answers.append((sequence, answer))
        return Response(200, answer)

    async def _wait_for_records(self, request: Request) -> None:
        if request.path != "/-/log-read":
            return
        partition = self.partition(request.query["topic"], int(request.query.get("part", "0")))
        if int(request.query.get("from", "0")) < len(partition.records):
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        partition.waiters.append(waiter)
        await asyncio.wait([waiter], timeout=int(request.query.get("waitMs", "0")) / 1000)

    def _log_read(self, request: Request, partition: Partition) -> Response:
        if int(request.query.get("from", "0")) < partition.first:
            return Response(410, {"reason": "deleted", "first": partition.first})
        out = bytearray(len(partition.records).to_bytes(8, "big") + partition.first.to_bytes(8, "big"))
        for record in partition.records[int(request.query.get("from", "0")) :]:
            if len(out) + len(record) > 1024 * int(request.query.get("maxFetchKb", "1024")):
                break
            out += len(record).to_bytes(4, "big") + record
        return Response(200, bytes(out))

    def _log_newest(self, request: Request, partition: Partition) -> Response:
        after, items, size = request.query.get("dependsOn", ""), [], 0
        keys = sorted(key for key in partition.newest if key > after)
        for key in keys[:PAGE_ITEMS]:
            value, offset = partition.newest[key]
            size += len(value)
            if items and size > PAGE_BYTES:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return Response(200, {"items": items, "truncated": len(items) < len(keys), "end": len(partition.records)})

    def membership_time(self) -> float:
        return (time.monotonic() if self.paused_at is None else self.paused_at) - self.paused_s

    def pause_memberships(self) -> None:
        self.paused_at = self.paused_at or time.monotonic()

    def resume_memberships(self) -> None:
        if self.paused_at is not None:
            self.paused_s += time.monotonic() - self.paused_at
            self.paused_at = None

    def _group(self, name: str) -> Group:
        group = self.groups.setdefault(name, Group())
        now = self.membership_time()
        for member in [name for name, member in group.members.items() if member.expires <= now]:
            self._drop(group, member)
        return group

    def _drop(self, group: Group, member: str) -> None:
        del group.members[member]
        group.holders = {number: holder for number, holder in group.holders.items() if holder != member}
        self.rebalance(group)

    def rebalance(self, group: Group, shift: bool = False) -> None:
        """Assigns the partitions evenly. A holder keeps a partition until its next join, unless it has left."""
        group.generation += 1
        group.turn += 1 if shift else 0
        names = sorted(group.members, key=lambda name: group.members[name].since)
        group.target = {number: names[(number + group.turn) % len(names)] for number in range(PARTS)} if names else {}
        for number, member in group.target.items():
            group.holders.setdefault(number, member)

    def reassign_at_once(self, group: Group) -> None:
        """Assigns all partitions anew without waiting for their holders."""
        self.rebalance(group, shift=True)
        group.holders = dict(group.target)

    def revoke(self, group: Group, number: int) -> None:
        """Ends the membership of the partition's holder, if there is one."""
        if group.holders.get(number) in group.members:
            self._drop(group, group.holders[number])

    def _log_join(self, request: Request) -> Response:
        body = request.json()
        group, name = self._group(body["group"]), str(body["member"])
        expires = self.membership_time() + body["ttlMs"] / 1000
        if name in group.members:
            group.members[name].expires = expires
        else:
            group.joins += 1
            group.members[name] = Member(expires, group.joins)
            self.rebalance(group)
        if int(body.get("generation", 0)) >= group.generation:
            for number, target in group.target.items():
                if target != name and group.holders.get(number) == name:
                    group.holders[number] = target
        mine = [number for number, holder in sorted(group.holders.items()) if holder == name and group.target.get(number) == name]
        return Response(200, {"generation": group.generation, "ttlMs": body["ttlMs"], "parts": [["turn", number, 0] for number in mine]})

    def _log_leave(self, request: Request) -> Response:
        body = request.json()
        group = self._group(body["group"])
        if body["member"] in group.members:
            self._drop(group, body["member"])
        return Response(200, {})

    def configuration(self, version: int, service: str, token: str) -> None:
        """The operator's configuration: one service, and one queue that all callers use."""
        route = {"name": "r-soak", "host": "soak.example", "pathPrefix": "/q/", "kind": "non_idempotent", "timeoutMs": 3000, "sloMs": 1000, "priority": 1}
        route |= {"service": service, "maxAttempts": 4, "stretch": 3.0, "public": False}
        route |= {"advice": self.advice} if self.advice is not None else {}
        services = [{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False, "rejectsOverload": False, "spare": False}]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        tenants = [{"name": "soak", "apiKeys": [token], "priority": 1, "guaranteed": {"gpu": 16}}]
        document = {"version": version, "routes": [route], "services": services, "limits": limits, "tenants": tenants}
        self.put("keyed.op", "config", json.dumps(document).encode())
