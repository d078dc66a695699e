"""Entries are replaced and restarted in a planned way. A new one begins with seeds that have just left, takes the leadership alone, and the cell stands still."""

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from rig import Cell, has_trouble, play, route  # noqa: E402

JOBS = [f"2a2b3c4d5e6f70{number:02x}" for number in range(6)]
SEED_LAG_S = 3.0  # for so long the seeds of a new process may be out of date
GAP_S = 1.3  # between two machines of a rolling removal
FINISH_S, IDLE_S = 14.0, 3.0
ROUNDS, RESTART_GAP_S = 2, 5.0  # of the restarts of the others
LEAVING = 3  # the first entries, which are the seeds of the start


async def remove(cell: Cell, process) -> None:  # noqa: ANN001
    cell.record.write(f"SIGTERM to the entry on {process.place.name}, which leaves for good")
    process.is_wanted = False
    await process.kill(signal.SIGTERM, None)
    cell.record.write(f"the entry on {process.place.name} has ended")


async def script(cell: Cell) -> bool:
    for job in JOBS:
        await cell.submit(f"/q/{job}", [{"count": 2, "cpu": 4000, "memMb": 1024, "gpu": 1, "estMs": 100_000}], "work=100")
    leaving, staying, new = cell.entries[:LEAVING], cell.entries[LEAVING:], cell.spare[0]
    cell.entries = staying
    removals = []
    for process in leaving:
        removals.append(asyncio.create_task(remove(cell, process)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*removals)
    old, fresh = cell.seeds_of([process.place for process in leaving]), cell.seeds_of([process.place for process in staying])
    cell.write_settings(new, old if has_trouble() else fresh)
    cell.record.write(f"{new.place.name} is added; its seeds are {old if has_trouble() else fresh}")
    new.start()
    await asyncio.sleep(SEED_LAG_S - 0.5)
    cell.write_settings(new, fresh)
    cell.record.write(f"the settings of {new.place.name} name {fresh} from now on; SIGHUP")
    new.send(signal.SIGHUP)
    await asyncio.sleep(8)
    for process in staying * ROUNDS:  # the rest of the planned work, one after the other
        cell.record.write(f"SIGTERM to the entry on {process.place.name}, which is started again")
        cell.write_settings(process, fresh)
        asyncio.create_task(process.kill(signal.SIGTERM, 0.5))
        await asyncio.sleep(RESTART_GAP_S)
    cell.record.write("end of the planned work")
    await asyncio.sleep(FINISH_S)
    states = await asyncio.gather(*(cell.state(f"/q/{job}") for job in JOBS))
    unanswered = [state for state in states if state not in ("running", "succeeded")]
    idle_since, longest, end = time.monotonic(), 0.0, time.monotonic() + 8
    while time.monotonic() < end:
        if any(cell.running(job) for job in JOBS):
            idle_since = time.monotonic()
        longest = max(longest, time.monotonic() - idle_since)
        await asyncio.sleep(0.1)
    cell.record.write(f"{FINISH_S} s after the planned work: no answer about {len(unanswered)} of {len(JOBS)} jobs; nothing ran for {longest:.1f} s")
    return not unanswered and longest < IDLE_S


if __name__ == "__main__":
    sys.exit(play(CASE, [route("q", "/q/", "svc")], [{"service": "svc"} for _ in range(4)], script, entries=7, spare=1))
