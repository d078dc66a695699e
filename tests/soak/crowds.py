"""Sends crowds of misbehaving clients to the ports of a cell and checks that its processes live, stay within their limits, and run a job afterwards.

In tests/: python3 -B -m soak.crowds --build ../build CASE"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from soak.callers import HOST
from soak.cell import CONTROL, FRONT, METRICS, PEERS, READINESS, Process
from soak.crowd import Crowd, request_head
from soak.httplite import Address, call
from soak.judge import Job
from soak.run import TOKEN, Cell, free_net

MEMORY_MIB = 48  # of each machine, and the bound of resident memory at any time; an idle entry uses 9 MiB
DESCRIPTORS = 512  # of each process, and the bound of its open descriptors
BODY_BYTES = 262_144  # the limit that the stand-in configures
MISSING_BYTES = 10
BODIES = 300  # connections with a body each: 79 MB in all, more than the memory of the machine
CONNECTIONS = 700  # more than the descriptors of the process
PIPELINED = 300  # connections that read nothing
DOCUMENTS = 40
STEPS = 85_000
PEER_LINKS = 60
PEER_BYTES = 1 << 20
LEGAL_CALLERS = 64
LEGAL_MEMORY_MIB = 160  # of the smallest entry of the two deployments
LARGE_BODIES = 6
LARGE_BYTES = 60 << 20
WATCH_S = 0.05
SETTLE_S = 1.0
JOB_S = 60.0  # until an ordinary job is accepted, and until it has run; passing does not depend on the speed of the machine
CALL_S = 3.0


@dataclass
class Ports:
    """Of the entry and the agent that the crowd reaches."""

    entry: Process
    agent: Process

    def __getattr__(self, name: str) -> Address:
        ports = {"front": (self.entry, FRONT), "readiness": (self.entry, READINESS), "metrics": (self.entry, METRICS), "peers": (self.entry, PEERS)}
        ports |= {"reports": (self.agent, CONTROL), "agent_peers": (self.agent, PEERS)}
        process, port = ports[name]
        return process.place.ip, port

    def all(self) -> list[Address]:
        return [self.front, self.readiness, self.metrics, self.peers, self.reports, self.agent_peers]


class Watch:
    """The largest number of open descriptors of each process, and its memory."""

    def __init__(self, processes: list[Process], memory_mib: int) -> None:
        self.processes, self.memory_mib = processes, memory_mib
        self.descriptors = {process.place.name: 0 for process in processes}
        self.pids = {process.place.name: self._pid(process) for process in processes}

    @staticmethod
    def _pid(process: Process) -> int:
        assert process.child is not None
        return process.child.pid

    async def run(self) -> None:
        while True:
            for process in self.processes:
                try:
                    count = len(os.listdir(f"/proc/{self._pid(process)}/fd"))
                except OSError:
                    continue  # has ended; check() says so
                self.descriptors[process.place.name] = max(self.descriptors[process.place.name], count)
            await asyncio.sleep(WATCH_S)

    def check(self) -> list[str]:
        faults = []
        for process in self.processes:
            name, pid = process.place.name, self._pid(process)
            if pid != self.pids[name] or process.child is None or process.child.returncode is not None:
                faults.append(f"{name} has ended")
                continue
            lines = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
            peak_kib, now_kib = (int(lines[key].split()[0]) for key in ("VmHWM", "VmRSS"))
            print(f"{name}: at most {peak_kib / 1024:.1f} MiB, now {now_kib / 1024:.1f} MiB, at most {self.descriptors[name]} descriptors")
            if peak_kib > self.memory_mib * 1024:
                faults.append(f"{name} used {peak_kib / 1024:.1f} MiB of {self.memory_mib}")
            if self.descriptors[name] > DESCRIPTORS:
                faults.append(f"{name} had {self.descriptors[name]} descriptors of {DESCRIPTORS}")
        return faults


def head(path: str, headers: dict[str, str], method: str = "POST") -> bytes:
    return request_head(method, path, HOST, {"authorization": f"Token {TOKEN}", "content-type": "application/json"} | headers)


CROWD_JOB = "00000000000000aa"
ROUTED, UNROUTED = f"/q/{CROWD_JOB}", "/nowhere"
LENGTH = {"content-length": str(BODY_BYTES)}


def body_targets(ports: Ports) -> list[tuple[Address, str]]:
    rest = [(address, ROUTED) for address in ports.all()[1:4]]
    return [(ports.front, ROUTED), (ports.front, UNROUTED), *rest, (ports.reports, "/-/instances/x"), (ports.agent_peers, ROUTED)]


async def whole_bodies(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory without bound for bodies of legal size that stop just short of their end."""
    for address, path in body_targets(ports):
        await crowd.send(address, BODIES, [head(path, LENGTH) + b"x" * (BODY_BYTES - MISSING_BYTES)])
        await asyncio.sleep(SETTLE_S)


async def pieced_bodies(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory without bound for bodies that come in small pieces."""
    piece = b"x" * ((BODY_BYTES - MISSING_BYTES) // 16)
    for address, path in body_targets(ports):
        await crowd.send(address, BODIES, [head(path, LENGTH)] + [piece] * 16, pause_s=0.02)


async def chunked_bodies(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory without bound for bodies in chunks."""
    chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
    for address, path in body_targets(ports):
        await crowd.send(address, BODIES, [head(path, {"transfer-encoding": "chunked"})] + [chunk] * 15)


async def large_bodies(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory for bodies far over the limit."""
    for address, path in body_targets(ports):
        await crowd.send(address, LARGE_BODIES, [head(path, {"content-length": str(LARGE_BYTES)})] + [b"x" * (1 << 18)] * (LARGE_BYTES >> 18))


async def many_fields(crowd: Crowd, ports: Ports) -> None:
    """Guards against documents that take many times their size once they are built, and hold up other calls."""
    steps = '{"steps":[' + ",".join(["{}"] * STEPS) + "]}"
    members = '{"steps":[{' + ",".join(f'"{number:x}":0' for number in range(26_000)) + "}]}"
    lists = '{"steps":[' + ",".join(["[]"] * STEPS) + "]}"
    for document in (steps, members, lists):
        body = document.encode()
        assert len(body) <= BODY_BYTES
        for address, path in ((ports.front, ROUTED), (ports.reports, "/-/instances/x")):
            await crowd.send(address, DOCUMENTS, [head(path, {"content-length": str(len(body))}) + body])


async def pipelined_requests(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory without bound for requests that are sent without reading the answers."""
    for address in ports.all():
        request = head("/metrics" if address == ports.metrics else ROUTED, {}, "GET")
        await crowd.send(address, PIPELINED, [request * 100] * 30, reads=False)


async def slow_senders(crowd: Crowd, ports: Ports) -> None:
    """Guards against connections and descriptors without bound for clients that send very slowly."""
    text = head(ROUTED, LENGTH)
    for address in ports.all():
        await crowd.send(address, CONNECTIONS // 2, [text[:20], text[20:60], text[60:]] + [b"x"] * 7, pause_s=0.2)


async def slow_readers(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory and descriptors without bound for answers that nobody reads."""
    for address in ports.all():
        await crowd.send(address, CONNECTIONS // 2, [head("/metrics", {}, "GET") * 20], reads=False)


async def cut_heads(crowd: Crowd, ports: Ports) -> None:
    """Guards against connections and descriptors without bound for heads that stop half-way."""
    for address in ports.all():
        await crowd.send(address, CONNECTIONS, [head(ROUTED, {"x-request-id": "y" * 6000})[:6000]])


async def peer_messages(crowd: Crowd, ports: Ports) -> None:
    """Guards against memory without bound for messages to the peers' port that do not end."""
    upgrade = {"connection": "Upgrade", "upgrade": "websocket", "sec-websocket-version": "13", "sec-websocket-protocol": "knapweed-peer"}
    opening = request_head("GET", "/", HOST, upgrade | {"sec-websocket-key": "dGhlIHNhbXBsZSBub25jZQ=="})
    message = b"\x02\xff" + (PEER_BYTES + MISSING_BYTES).to_bytes(8, "big") + b"\0\0\0\0" + b"x" * PEER_BYTES
    for address in (ports.peers, ports.agent_peers):
        await crowd.send(address, PEER_LINKS, [opening, message], pause_s=0.5)
        await asyncio.sleep(SETTLE_S)


async def legal_bodies(crowd: Crowd, ports: Ports) -> None:
    """Guards against limits that legal callers meet: all of them have sent their body but for its end before the first one is complete."""
    rest = b'","steps":[]}'  # not a job, so that nothing is started
    start = b'{"spec":"'
    body = start + b"x" * (BODY_BYTES - len(start) - len(rest)) + rest
    channels = [await asyncio.open_connection(*ports.front) for _ in range(LEGAL_CALLERS)]
    for _, writer in channels:
        writer.write(head(ROUTED, LENGTH) + body[:-MISSING_BYTES])
        await writer.drain()
    await asyncio.sleep(SETTLE_S)
    statuses = []
    for reader, writer in channels:
        writer.write(body[-MISSING_BYTES:])
        statuses.append((await reader.readline()).split()[1:2])
        writer.transport.abort()
    assert statuses == [[b"400"]] * LEGAL_CALLERS, statuses


CASES: dict[str, Callable[[Crowd, Ports], Awaitable[None]]] = {
    "whole-bodies": whole_bodies,
    "pieced-bodies": pieced_bodies,
    "chunked-bodies": chunked_bodies,
    "large-bodies": large_bodies,
    "many-fields": many_fields,
    "pipelined-requests": pipelined_requests,
    "slow-senders": slow_senders,
    "slow-readers": slow_readers,
    "cut-heads": cut_heads,
    "peer-messages": peer_messages,
    "legal-bodies": legal_bodies,
}


class LimitedCell(Cell):
    """Each process has the limits of a small machine in its settings."""

    def _settings(self, place):  # type: ignore[no-untyped-def]
        return json.dumps(json.loads(super()._settings(place)) | {"memory_mb": self.options.memory_mib, "max_descriptors": DESCRIPTORS})


async def job_runs(cell: Cell, address: Address) -> str:
    """Hands in one ordinary job at the entry that the crowd has reached. Returns the fault."""
    job = Job("00000000000000bb", 1, 0.3, {"cpu": 2000, "memMb": 1024, "gpu": 1}, False, False, False)
    cell.judge.jobs[job.id] = job
    headers = {"host": HOST, "authorization": f"Token {TOKEN}", "x-deadline-ms": str(int(CALL_S * 1000))}
    body = json.dumps({"spec": "crowds", "steps": [{"count": 1, **job.needs, "estMs": 300}]}).encode()
    end = time.monotonic() + JOB_S
    while not job.is_accepted:
        if time.monotonic() > end:
            return "an ordinary job was not accepted"
        answer = await call(address, "POST", f"/q/{job.id}", body, headers, CALL_S)
        job.is_accepted = answer is not None and answer.status == 200
        await asyncio.sleep(0.1)
    end = time.monotonic() + JOB_S
    while time.monotonic() < end:
        answer = await call(address, "GET", f"/q/{job.id}", b"", headers, CALL_S)
        if answer is not None and answer.status == 200 and answer.body.get("state") == "succeeded":
            return ""
        await asyncio.sleep(0.2)
    return "an ordinary job was accepted and did not run"


async def run(options: argparse.Namespace, folder: Path, net: int) -> int:
    cell = LimitedCell(options, folder, net)
    crowd = Crowd()
    faults = []
    # One of the documents of many fields is an ordinary job, which may be accepted and run.
    cell.judge.jobs[CROWD_JOB] = Job(CROWD_JOB, 1, 0.3, {"cpu": 0, "memMb": 0, "gpu": 0}, False, False, False)
    try:
        await cell.start()
        processes = cell.entries + cell.agents
        watch = Watch(processes, options.memory_mib)
        watching = asyncio.create_task(watch.run())
        ports = Ports(cell.entries[0], cell.agents[0])
        await CASES[options.case](crowd, ports)
        await asyncio.sleep(SETTLE_S)
        faults.append(await job_runs(cell, ports.front))
        watching.cancel()
        faults += watch.check()
    finally:
        crowd.close()
        await cell.stop()
    faults = [fault for fault in faults if fault] + cell.judge.findings
    for fault in faults:
        print(f"{options.case}: {fault}")
    return 1 if faults else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=Path, required=True, help="build directory with src/knapweedstaged")
    parser.add_argument("--logs", type=Path, help="directory for the logs; by default they are not kept")
    parser.add_argument("case", choices=list(CASES))
    options = parser.parse_args()
    options.build = options.build.resolve()
    options.entries, options.agents, options.seed, options.cancels, options.lease_ms = 2, 2, 1, 0.0, 6000
    options.memory_mib = LEGAL_MEMORY_MIB if options.case == "legal-bodies" else MEMORY_MIB
    options.open_connections, options.has_proxies, options.faults = 0, False, []
    net, keeper = free_net()
    with keeper, tempfile.TemporaryDirectory(prefix="crowds-") as temporary:
        folder = options.logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(options, folder, net))


if __name__ == "__main__":
    sys.exit(main())
