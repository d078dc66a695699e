"""A job that lasts is cancelled while the agent of its runner is being restarted, and goes on for good."""

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from rig import Cell, NotRun, has_trouble, play, route  # noqa: E402

JOB = "5a2b3c4d5e6f7081"
AWAY_S = 1.0  # until the killed process is started again
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.4
WATCHED_S = 60.0


async def script(cell: Cell) -> bool:
    await cell.submit(f"/q/{JOB}", [{"count": 1, "cpu": 4000, "memMb": 1024, "gpu": 1, "longRunning": True}], "work=inf")
    if not await cell.until(lambda: cell.running(JOB), 10):
        raise NotRun("the job did not start")
    await asyncio.sleep(4)
    runner, run = cell.running(JOB)[0]
    back = time.monotonic()
    if has_trouble():
        agent = next(agent for agent in cell.agents if agent.place.name == runner.name)
        cell.record.write(f"SIGKILL to the agent on {runner.name}; it is started again after {AWAY_S} s")
        await agent.kill(signal.SIGKILL, AWAY_S)
        back += AWAY_S
        await asyncio.sleep(0.3)
    answer = await cell.request("DELETE", f"/q/{JOB}")
    if answer is None or answer.status != 200:
        raise NotRun("the cancel was not acknowledged")
    acknowledged = time.monotonic()
    # The latest that the rule allows: a stretch of cancel_ms + stopMs with no disruption near.
    allowed = max(acknowledged, back + CONTACT_S + 1.0) + CANCEL_S + STOP_S
    while time.monotonic() < acknowledged + WATCHED_S and cell.running(JOB):
        await asyncio.sleep(0.1)
    gone = time.monotonic()
    is_there = bool(cell.running(JOB))
    cell.record.write(f"{gone - acknowledged:.1f} s after the cancel was acknowledged the task {'is still there' if is_there else 'is gone'}")
    await cell.state(f"/q/{JOB}")
    return not is_there and gone <= allowed


if __name__ == "__main__":
    sys.exit(play(CASE, [route("q", "/q/", "svc")], [{"service": "svc"} for _ in range(7)], script))
