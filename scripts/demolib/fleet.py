"""The fleet of the demo: a log service, workers and endpoints that stand in for the platform, and the system's own agents and entries."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .httpjson import Answer, request
from .processes import Process, Processes
from .waiting import wait_until

OPERATOR_TOKEN = "operator-token-of-the-demo"
STREAM = "knapweedstage"
ACCELERATORS = 8
RACKS = {"w1": "r1", "w2": "r1", "w3": "r2", "w4": "r2"}
DOMAINS = {"r1": "west-1", "r2": "west-2"}  # a rack stands in one failure domain
ENTRIES = 3

CONFIGURATION: dict[str, Any] = {
    "accounts": {
        "kothari-fit": {"token": "token-of-kothari", "weight": 1, "guarantee": [{"tasks": 2, "accelerators_per_task": 4, "adjacency": "rack"}]},
        "paraguas-recovery": {"token": "token-of-paraguas", "weight": 1, "guarantee": [{"tasks": 1, "accelerators_per_task": 8, "adjacency": "worker"}]},
    },
    "defaults": {"hold_ms": 2000, "gang_lease_ms": 3000, "preemption_grace_ms": 2000},
    "exceptions": [],
}


def bearer(token: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {token}"}


def socket_address(address: str) -> dict[str, Any]:
    ip, _, port = address.rpartition(":")
    return {"ip": ip, "port": int(port)}


@dataclass
class Fleet:
    processes: Processes
    build: Path
    log: Process
    workers: dict[str, Process]
    agents: dict[str, Process]
    endpoints: dict[str, Process]
    entries: list[Process]

    def starts(self, job: str) -> int:
        """How many parts of the job the endpoints have started: the truth."""
        return sum(self.counts(worker)["started"].get(job, 0) for worker in self.endpoints)

    def counts(self, worker: str) -> dict[str, Any]:
        return request(self.endpoints[worker].address, "GET", "/v1/counts").body

    def fault(self, process: Process, faults: dict[str, Any]) -> None:
        answer = request(process.address, "POST", "/v1/faults", faults)
        assert answer.status == 200, answer.text

    def operator(self, method: str, path: str, body: Any = None, entry: int = 0) -> Answer:
        return request(self.entries[entry].address, method, path, body, bearer(OPERATOR_TOKEN))

    def available_workers(self, entry: int) -> set[str]:
        status = self.operator("GET", "/v1/status", entry=entry)
        return {worker["worker"] for worker in status.get("workers", []) if worker.get("available")}

    def wait_for_workers(self, expected: set[str], deadline_s: float = 30.0) -> None:
        """Waits until every entry sees exactly these workers as available."""
        wait_until(
            f"every entry sees the workers {sorted(expected)}",
            lambda: all(self.available_workers(entry) == expected for entry in range(len(self.entries))),
            deadline_s,
        )

    def wait_for_version(self, version: int, deadline_s: float = 30.0) -> None:
        wait_until(
            f"configuration {version} at every entry",
            lambda: all(self.operator("GET", "/v1/configuration", entry=entry).get("version", 0) >= version for entry in range(len(self.entries))),
            deadline_s,
        )


def write_settings(folder: Path, name: str, settings: dict[str, Any]) -> str:
    path = folder / f"{name}.json"
    path.write_text(json.dumps(settings, indent=2) + "\n")
    return str(path)


def common_settings(role: str, domain: str, seeds: list[str], log: str) -> dict[str, Any]:
    return {
        "role": role,
        "listen": {"ip": "127.0.0.1", "port": 0},
        "region": "west",
        "failure_domain": domain,
        "seeds": [socket_address(seed) for seed in seeds],
        "log_service": socket_address(log),
        "log_stream": STREAM,
    }


def start_fleet(build: Path, folder: Path, processes: Processes) -> Fleet:
    standins = str(build / "tests" / "knapweed-standins")
    daemon = str(build / "src" / "knapweedstaged")
    log = processes.start("log", [standins, "--role", "log"])
    fleet = Fleet(processes, build, log, {}, {}, {}, [])
    for number in range(1, ENTRIES + 1):
        seeds = [entry.address for entry in fleet.entries]
        settings = common_settings("entry", f"west-{number}", seeds, log.address)
        settings["operator_token"] = OPERATOR_TOKEN
        fleet.entries.append(processes.start(f"entry-{number}", [daemon, "--settings", write_settings(folder, f"entry-{number}", settings)]))
    for worker, rack in RACKS.items():
        start_worker(fleet, folder, standins, daemon, worker, rack)
    return fleet


def start_worker(fleet: Fleet, folder: Path, standins: str, daemon: str, worker: str, rack: str) -> None:
    """Starts a worker, the agent with authority over it, and the endpoint beside that agent."""
    processes = fleet.processes
    fleet.workers[worker] = processes.start(f"worker-{worker}", [standins, "--role", "worker", "--accelerators", str(ACCELERATORS)])
    settings = common_settings("agent", DOMAINS[rack], [entry.address for entry in fleet.entries], fleet.log.address)
    settings["worker"] = {
        "id": worker,
        **socket_address(fleet.workers[worker].address),
        "rack": rack,
        "accelerators": ACCELERATORS,
        "processors": 130,
        "memory_mib": 256000,
    }
    fleet.agents[worker] = processes.start(f"agent-{worker}", [daemon, "--settings", write_settings(folder, f"agent-{worker}", settings)])
    fleet.endpoints[worker] = processes.start(
        f"endpoint-{worker}", [standins, "--role", "endpoint", "--slots", "8", "--agent", fleet.agents[worker].address]
    )
