"""The leader is killed while a runner's answers are lost. The next scheduler extends the lease of the runner's task, and starts it a second time."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from rig import Cell, NotRun, has_trouble, play, route  # noqa: E402

ROUNDS = 2
AWAY_S = 1.5  # until the killed process is started again
LOST_FROM_S, LOST_S = 1.0, 6.5  # the answers, counted from the kill
ROUND_S = 22.0


def leader_of(cell: Cell):  # noqa: ANN201
    """The entry that holds the partition by which the leader is chosen."""
    holder = cell.store.groups["scheduler"].holders[0]
    return next(entry for entry in cell.entries if holder.startswith(f"{entry.place.ip}:"))


async def script(cell: Cell) -> bool:
    doubles = 0
    for number in range(ROUNDS):
        job = f"1a2b3c4d5e6f70{number:02x}"
        await cell.submit(f"/q/{job}", [{"count": 1, "cpu": 4000, "memMb": 1024, "gpu": 1, "estMs": 18_000}], "work=18")
        if not await cell.until(lambda job=job: cell.running(job), 10):
            raise NotRun("the job did not start")
        await asyncio.sleep(1)
        runner = cell.running(job)[0][0]
        if has_trouble():
            leader = leader_of(cell)
            cell.record.write(f"SIGKILL to the leader on {leader.place.name}; it is started again after {AWAY_S} s")
            await leader.kill(signal.SIGKILL, AWAY_S)
            await asyncio.sleep(LOST_FROM_S)
            cell.record.write(f"{runner.name} carries out what it is told, but its answers are lost for {LOST_S} s")
            runner.lose_answers(LOST_S)
        is_double = False
        for _ in range(int(ROUND_S / 0.05)):
            await asyncio.sleep(0.05)
            present = cell.running(job)
            if len(present) > 1 and not is_double:
                is_double = True
                cell.record.write("two runs of one task at once: " + ", ".join(f"run {run.number} on {other.name}" for other, run in present))
            if not present:
                break
        doubles += is_double
        await cell.state(f"/q/{job}")
    cell.record.write(f"in {doubles} of {ROUNDS} rounds the task ran twice at once")
    return doubles == 0


if __name__ == "__main__":
    sys.exit(play(CASE, [route("q", "/q/", "svc")], [{"service": "svc"} for _ in range(10)], script))
