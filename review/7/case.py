"""LOST: a scheduled job with many occurrences grows beyond what one record of the store holds. From then on nothing is stored or started any more."""

import asyncio
import time
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness"))

from deployment import FINISH_S, Deployment, run_case  # noqa: E402

COUNT, INTERVAL_MS = 60, 400
TIMES, FEW_TIMES = 120, 40  # tasks in all: 7,200 with the disruption, 2,400 without it
OTHER_INTERVAL_MS = 2000
FULL_S = 60.0  # after which all tasks of the wide job have had their turn
ASKED_FOR_S = 6.0


async def scenario(cell: Deployment, has_trouble: bool) -> bool:
    now = int(time.time() * 1000)
    # A plain job of another kind, due until the end of the case: one task of half a second every two seconds.
    other = await cell.submit({"cpu": 1000, "memMb": 64}, 0.5, times=60, firstMs=now, intervalMs=OTHER_INTERVAL_MS)
    times = TIMES if has_trouble else FEW_TIMES
    await cell.submit({"count": COUNT, "cpu": 500, "memMb": 64}, 0.2, times=times, firstMs=now, intervalMs=INTERVAL_MS)
    cell.note("end of the traffic")
    await asyncio.sleep(max(FULL_S, FINISH_S))
    lost = await cell.idle_jobs([other])
    # More of what clients see then; not part of the verdict.
    await cell.ask("POST", "00000000000000aa", b'{"spec":"review","steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":500}]}')
    await cell.ask("DELETE", other.id)
    cell.note(f"largest record that the store refused: {cell.store.refused_bytes} bytes")  # type: ignore[attr-defined]
    return bool(lost)


run_case(__file__, scenario, entries=2, agents=4, left_out=("0000000000000002.",))
