"""Runs the demo: python3 -m demolib BUILD_FOLDER"""

import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .caller import WrongOutcome
from .fleet import CONFIGURATION, Fleet, start_fleet
from .jobcases import JOB_CASES, Case
from .operatorcases import OPERATOR_CASES
from .processes import Processes, StartError
from .fleet import RACKS
from .httpjson import request
from .waiting import DeadlinePassed, wait_until


@dataclass
class Row:
    name: str
    is_right: bool
    said: str
    took_s: float


def run_case(case: Case, fleet: Fleet) -> Row:
    name, run = case
    begin = time.monotonic()
    try:
        said, is_right = run(fleet), True
    except (WrongOutcome, DeadlinePassed, OSError, ValueError, KeyError, TypeError, AttributeError) as failure:
        said, is_right = f"{type(failure).__name__}: {failure}", False
    row = Row(name, is_right, said, time.monotonic() - begin)
    print_row(row)
    return row


def print_row(row: Row) -> None:
    verdict = "ok   " if row.is_right else "WRONG"
    print(f"{verdict} {row.took_s:6.2f} s  {row.name:42}  {row.said}", flush=True)


def prepare(fleet: Fleet) -> str:
    """Publishes the first configuration and waits until the fleet is there."""
    for entry in fleet.entries:
        wait_until(f"{entry.name} is ready", lambda: request(entry.address, "GET", "/readyz").status == 200)
    first = fleet.operator("PUT", "/v1/configuration", {"base_version": 0, "author": "rota-a", "configuration": CONFIGURATION})
    if first.status != 200:
        raise WrongOutcome(f"first configuration: {first.status} {first.text}")
    fleet.wait_for_version(1)
    fleet.wait_for_workers(set(RACKS))
    return f"{len(fleet.processes.running)} processes, configuration 1, 4 workers available"


def run_cases(build: Path, folder: Path, processes: Processes) -> list[Row]:
    fleet = start_fleet(build, folder, processes)
    rows = [run_case(("start", prepare), fleet)]
    if rows[0].is_right:
        rows += [run_case(case, fleet) for case in JOB_CASES + OPERATOR_CASES]
    dead = processes.dead()
    rows.append(Row("no process died", not dead, " ".join(dead) or "all alive", 0))
    print_row(rows[-1])
    return rows


def stop_all(processes: Processes) -> Row:
    begin = time.monotonic()
    count = len(processes.running)
    unclean = processes.stop()
    row = Row("stop", not unclean, " ".join(unclean) or f"{count} processes ended with exit 0", time.monotonic() - begin)
    print_row(row)
    return row


def print_logs(folder: Path) -> None:
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()
        print(f"--- {log.name}, last lines", *lines[-15:], sep="\n", file=sys.stderr)


def main() -> int:
    build = Path(sys.argv[1]).resolve()
    folder = Path(tempfile.mkdtemp(prefix="knapweed-demo-"))
    processes = Processes(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    rows: list[Row] = []
    try:
        rows = run_cases(build, folder, processes)
    except (StartError, OSError) as failure:
        rows = [Row("start", False, str(failure), 0)]
        print_row(rows[0])
    finally:
        rows.append(stop_all(processes))
    wrong = [row.name for row in rows if not row.is_right]
    if wrong:
        print_logs(folder)
    shutil.rmtree(folder)
    print(f"{len(rows) - len(wrong)} of {len(rows)} right" + (f"; wrong: {', '.join(wrong)}" if wrong else ""))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
