"""Measures the whole path: python3 -m demolib.measure BUILD_FOLDER. Prints one line for each figure, medians of several runs in one go."""

import json
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from . import fleet as fleets
from .httpjson import request
from .processes import Process, Processes
from .waiting import wait_until

RUNS = 5
LATENCY_JOBS = 200
LOAD_JOBS = 3000
LOAD_CALLERS = 64
IDLE_S = 10.0
WORKERS = 11
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024


def start(build: Path, folder: Path, processes: Processes, entries: int) -> fleets.Fleet:
    fleets.ENTRIES = entries
    fleets.RACKS = {f"w{number}": f"r{(number - 1) // 3}" for number in range(1, WORKERS + 1)}
    fleets.DOMAINS = {f"r{rack}": f"west-{rack}" for rack in range(4)}
    fleet = fleets.start_fleet(build, folder, processes)
    for entry in fleet.entries:
        wait_until(f"{entry.name} is ready", lambda: request(entry.address, "GET", "/readyz").status == 200)
    configuration = json.loads(json.dumps(fleets.CONFIGURATION))
    for account in configuration["accounts"].values():
        account.update({"queued_limit": 100000, "requests_per_second": 100000, "burst": 100000})
    answer = fleet.operator("PUT", "/v1/configuration", {"base_version": 0, "author": "rota-a", "configuration": configuration})
    assert answer.status == 200, answer.text
    fleet.wait_for_version(1)
    fleet.wait_for_workers(set(fleets.RACKS))
    return fleet


def load(fleet: fleets.Fleet, callers: int, count: int, seed: int, *more: str) -> dict[str, Any]:
    command = [str(fleet.build / "src" / "knapweedload"), "--entry", fleet.entries[0].address, "--token", "token-of-kothari"]
    command += ["--connections", str(callers), "--count", str(count), "--seed", str(seed), "--json", *more]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise SystemExit(f"knapweedload ended with {done.returncode}: {done.stdout}{done.stderr}")
    return json.loads(done.stdout)


def direct_latency_ms(fleet: fleets.Fleet, run: int) -> float:
    """The median of reserving and starting a part at the endpoint stand-in itself, on one connection each."""
    address = fleet.endpoints["w1"].address
    times = []
    for number in range(LATENCY_JOBS):
        part = f"direct{run}.0.{number}.0"
        begin = time.perf_counter()
        request(address, "PUT", f"/v1/parts/{part}", {"job": part, "kind": "direct", "lease_ms": 5000, "input": "x"})
        request(address, "POST", f"/v1/parts/{part}/start", {"lease_ms": 5000, "wait_ms": 5000})
        times.append((time.perf_counter() - begin) * 1000)
        request(address, "DELETE", f"/v1/parts/{part}")
    return statistics.median(times)


def usage(process: Process) -> tuple[float, float]:
    """Processor seconds and resident MiB."""
    fields = Path(f"/proc/{process.child.pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{process.child.pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * PAGE_KIB / 1024


def print_idle(name: str, processes: list[Process]) -> None:
    before = [usage(process)[0] for process in processes]
    time.sleep(IDLE_S)
    after = [usage(process) for process in processes]
    cores = [(cpu - start) / IDLE_S * 100 for (cpu, _), start in zip(after, before)]
    print(f"{name:32} {statistics.median(cores):8.2f} % of a core   {statistics.median(mib for _, mib in after):8.1f} MiB resident", flush=True)


def entry_latency_ms(fleet: fleets.Fleet, run: int) -> float:
    """The median of one job without a key after another, so without the log, on a connection each like the direct calls."""
    times = []
    for number in range(LATENCY_JOBS):
        begin = time.perf_counter()
        answer = request(fleet.entries[0].address, "POST", "/v1/jobs", {"kind": "small", "input": f"{run}.{number}"}, fleets.bearer("token-of-kothari"))
        times.append((time.perf_counter() - begin) * 1000)
        assert answer.get("outcome") == "completed", answer.text
    return statistics.median(times)


def print_runs(name: str, unit: str, runs: list[float]) -> None:
    print(f"{name:44} {statistics.median(runs):9.2f} {unit}, median of {[round(run, 2) for run in runs]}", flush=True)


def measure(fleet: fleets.Fleet) -> None:
    print_runs("direct to the endpoint, median", "ms", [direct_latency_ms(fleet, run) for run in range(RUNS)])
    print_runs("job without a key, median", "ms", [entry_latency_ms(fleet, run) for run in range(RUNS)])
    seed = 0
    for name, more in (("repeatable with key", []), ("not repeatable", ["--not-repeatable", "100"])):
        for callers, count, field in ((1, LATENCY_JOBS, "p50"), (LOAD_CALLERS, LOAD_JOBS, "rate")):
            runs = []
            for _ in range(RUNS):
                seed += 1
                report = load(fleet, callers, count, seed, *more)["all"]
                runs.append(report["completed_per_second"] if field == "rate" else report["latency_ms"]["p50"])
            print_runs(f"{name}, {callers} callers, {field}", "jobs/s" if field == "rate" else "ms", runs)


def main() -> int:
    build = Path(sys.argv[1]).resolve()
    folder = Path(tempfile.mkdtemp(prefix="knapweed-measure-"))
    for entries, work in ((1, measure), (11, None)):
        processes = Processes(folder)
        try:
            fleet = start(build, folder, processes, entries)
            if work is not None:
                work(fleet)
            print_idle(f"idle entry of {entries}, {WORKERS} agents", fleet.entries)
            print_idle(f"idle agent of {WORKERS}, {entries} entries", list(fleet.agents.values()))
        finally:
            processes.stop()
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
