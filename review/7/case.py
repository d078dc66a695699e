"""TWICE: a draining runner works on after its announced time; when its agent can't connect to it for a moment, its tasks are started elsewhere at once."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness"))

from deployment import Deployment, run_case  # noqa: E402

REMAINING_S = 2.0  # announced, the minimum time that is left
STAYS_S = 14.0  # from the announcement until the runner leaves
REFUSED_FROM_S, REFUSED_S = 5.0, 3.0  # from the announcement, and how long
WORK_S = 60.0


async def unheard(_identity: str, _body: bytes) -> bool:
    """A report of the runner that does not reach its agent."""
    return False


async def scenario(cell: Deployment, has_trouble: bool) -> bool:
    job = await cell.submit({"cpu": 11_000, "memMb": 4096, "gpu": 1}, WORK_S)
    while not job.is_started:
        await asyncio.sleep(0.02)
    await asyncio.sleep(3.0)
    machine = next(machine for machine in cell.machines if machine.boot.runs)
    boot = machine.boot
    cell.note(f"{machine.name} {boot.id} drains, with at least {REMAINING_S} s left")
    boot.leaves_at = time.monotonic() + REMAINING_S
    await asyncio.sleep(REFUSED_FROM_S)
    if has_trouble:
        cell.note(f"{machine.name} is cut off from its agent for {REFUSED_S} s: connections are reset and refused")
        reaching = machine.send_report
        machine.send_report = unheard  # type: ignore[method-assign]
        machine.server.close()
        await asyncio.sleep(REFUSED_S)
        machine.send_report = reaching  # type: ignore[method-assign]
        await machine.server.open()
        cell.note("the cut has healed")
    else:
        await asyncio.sleep(REFUSED_S)
    await asyncio.sleep(STAYS_S - REFUSED_FROM_S - REFUSED_S)
    is_broken = any(violation.rule == "TWICE" for violation in cell.judge.violations)
    await machine.leave(0.0)
    await asyncio.sleep(2.0)
    return is_broken


run_case(__file__, scenario, entries=2, agents=13)
