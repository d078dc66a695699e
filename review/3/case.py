"""Planned work only: a runner leaves in order, and the entries are restarted in turn, twice. A job that waits for room is shown as failed."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from rig import Cell, NotRun, has_trouble, play, route  # noqa: E402

LATER, URGENT = "3a2b3c4d5e6f7081", "3a2b3c4d5e6f7082"
NOTICE_S = 2.0
NEXT_BOOT_S = 4.0  # until the next runner of the machine comes
GAP_S = 6.0  # between two restarts
ROUNDS = 2
RUNNERS = 7  # one of them leaves: a share of 0.15


async def script(cell: Cell) -> bool:
    whole = {"count": 1, "cpu": 4000, "memMb": 1024, "gpu": 8, "estMs": 20_000}
    await cell.submit(f"/later/{LATER}", [whole], "work=20")
    if not await cell.until(lambda: cell.running(LATER), 10):
        raise NotRun("the job did not start")
    first = cell.running(LATER)[0][0]
    await cell.submit(f"/q/{URGENT}", [whole | {"count": RUNNERS, "estMs": 60_000}], "work=60")
    if not await cell.until(lambda: len(cell.running(URGENT)) == RUNNERS - 1, 10):
        raise NotRun("the other runners were not used")
    await asyncio.sleep(2)
    await first.drain(NOTICE_S)
    await asyncio.sleep(NOTICE_S + 0.5)
    await first.leave()
    await asyncio.sleep(NEXT_BOOT_S)
    await first.boot()
    if not await cell.until(lambda: len(cell.running(URGENT)) == RUNNERS, 10):
        raise NotRun("the new runner was not used")
    states = []
    for _ in range(ROUNDS):
        for entry in cell.entries:
            if has_trouble():
                cell.record.write(f"SIGTERM to the entry on {entry.place.name}, which is started again")
                asyncio.create_task(entry.kill(signal.SIGTERM, 0.5))
            await asyncio.sleep(GAP_S)
            states.append(await cell.state(f"/later/{LATER}"))
    if "failed" not in states:
        await cell.until(lambda: cell.starts(LATER) == 2 and not cell.running(LATER), 50)
        await asyncio.sleep(3)
    states.append(await cell.state(f"/later/{LATER}"))
    cell.record.write(f"the job was shown as {', '.join(states)}; none of its runs ended failed, and no runner crashed")
    return "failed" not in states


if __name__ == "__main__":
    routes = [route("q", "/q/", "svc", 1), route("later", "/later/", "svc", 2)]
    sys.exit(play(CASE, routes, [{"service": "svc"} for _ in range(RUNNERS)], script))
