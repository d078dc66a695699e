"""TWICE: two regions lose each other for 12 s. The leader, another entry and some runners are in the region that does not hold the store."""

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
    processes = cell.entries + cell.agents
    region = {process.place.name: process.place.zone in ("west-a", "west-b") for process in processes}
    near = [process for process in processes if region[process.place.name] == region[leader.place.name]]
    far = [process for process in processes if process not in near]
    cell.note(f"leader {leader.place.name}; its region: {' '.join(process.place.name for process in near)}; the store is in the other region")
    if has_trouble:
        ways = {(one.place.ip, other.place.ip) for one in near for other in far}
        ways |= {(other, one) for one, other in ways}
        cell.note(f"the regions lose each other for {CUT_S:.0f} s")
        for process in near:
            cell.store.own_troubles[process.place.name].append(Trouble(unheard=1))
        await cell.links.hold(ways, CUT_S)
        for process in near:
            cell.store.own_troubles[process.place.name].clear()
        cell.note("the regions reach each other again")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(CALM_S)
    return any(violation.rule == "TWICE" for violation in cell.judge.violations)


run_case(__file__, scenario, entries=4, agents=11, has_proxies=True)
