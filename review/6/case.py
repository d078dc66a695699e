"""TWICE: five of fifteen machines, the leader, another entry and three runners' machines among them, are cut off together from the others and the store."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness"))

from deployment import Deployment, run_case  # noqa: E402
from soak.trouble import Trouble  # noqa: E402

CUT_S = 12.0
JOBS = 18  # two fill a runner; two of the eleven runners stay free
WORK_S = 60.0
CALM_S = 3.0


async def scenario(cell: Deployment, has_trouble: bool) -> bool:
    for _ in range(JOBS):
        await cell.submit({"cpu": 60_000, "memMb": 4096, "gpu": 4}, WORK_S)
    await asyncio.sleep(CALM_S)
    leader = cell.leader()
    other = next(entry for entry in cell.entries if entry is not leader)
    busy = [agent for agent, machine in zip(cell.agents, cell.machines, strict=True) if machine.boot.runs]
    inside = [leader, other, *busy[:3]]
    outside = [process for process in cell.entries + cell.agents if process not in inside]
    if has_trouble:
        ways = {(one.place.ip, far.place.ip) for one in inside for far in outside}
        ways |= {(far, one) for one, far in ways}
        cell.note(f"cut off together for {CUT_S:.0f} s: {' '.join(process.place.name for process in inside)}, with the leader {leader.place.name}")
        for process in inside:
            cell.store.own_troubles[process.place.name].append(Trouble(unheard=1))
        await cell.links.hold(ways, CUT_S)
        for process in inside:
            cell.store.own_troubles[process.place.name].clear()
        cell.note("the cut has healed")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(CALM_S)
    return any(violation.rule == "TWICE" for violation in cell.judge.violations)


run_case(__file__, scenario, entries=4, agents=11, has_proxies=True)
